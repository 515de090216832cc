//! The words of one line.

use super::ScriptError;
use persimmon_core::units::Millis;
use std::{iter::Peekable, str::FromStr, vec::IntoIter};

/// The words of one line, read from left to right.
#[derive(Clone, Debug)]
pub(super) struct Words(Peekable<IntoIter<String>>);

impl Words {
    /// Splits a line into words and drops its comment.
    pub(super) fn from_line(line: &str) -> Self {
        let text = line.split('#').next().unwrap_or_default();
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        Self(words.into_iter().peekable())
    }

    /// Whether no word is left.
    pub(super) fn is_empty(&mut self) -> bool {
        self.0.peek().is_none()
    }

    /// Returns the next word; `what` names it in the error.
    pub(super) fn next(&mut self, what: &'static str) -> Result<String, ScriptError> {
        self.0.next().ok_or(ScriptError::Missing { what })
    }

    /// Parses the next word.
    pub(super) fn parse<T: FromStr>(&mut self, what: &'static str) -> Result<T, ScriptError> {
        let word = self.next(what)?;
        word.parse().map_err(|_| ScriptError::Word { word, what })
    }

    /// Parses the next word as a duration such as `300ms` or `2s`.
    pub(super) fn duration(&mut self) -> Result<Millis, ScriptError> {
        let what = "duration such as 300ms or 2s";
        let word = self.next(what)?;
        let ms = word.strip_suffix("ms").and_then(|n| n.parse().ok());
        let secs = word.strip_suffix('s').and_then(|n| n.parse().ok());
        let span = ms.map(Millis::new).or(secs.map(Millis::from_secs));
        span.ok_or(ScriptError::Word { word, what })
    }

    /// Whether the next word is `word`, without taking the word.
    pub(super) fn next_is(&mut self, word: &str) -> bool {
        self.0.peek().is_some_and(|next| next == word)
    }

    /// Takes the next word if it is `word`.
    pub(super) fn take_if(&mut self, word: &str) -> bool {
        self.0.next_if(|next| next == word).is_some()
    }

    /// Takes the next word and fails unless the word is `word`.
    pub(super) fn expect_word(&mut self, word: &'static str) -> Result<(), ScriptError> {
        if self.take_if(word) {
            return Ok(());
        }
        match self.0.next() {
            Some(found) => Err(ScriptError::Word {
                word: found,
                what: word,
            }),
            None => Err(ScriptError::Missing { what: word }),
        }
    }

    /// Takes all remaining words.
    pub(super) fn take_rest(&mut self) -> Self {
        let left: Vec<String> = self.0.by_ref().collect();
        Self(left.into_iter().peekable())
    }

    /// Fails if any word is left.
    pub(super) fn expect_end(&mut self) -> Result<(), ScriptError> {
        let words: Vec<String> = self.0.by_ref().collect();
        if words.is_empty() {
            return Ok(());
        }
        let words = words.join(" ");
        Err(ScriptError::LeftOver { words })
    }
}
