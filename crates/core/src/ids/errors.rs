//! Errors of identifiers.

use thiserror::Error;

/// Why a text or number is no identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[error("{kind} is empty: give 1 to 128 characters")]
    Empty {
        /// What was being parsed.
        kind: &'static str,
    },
    /// The text is too long.
    #[error("{kind} has {len} characters: give at most 128")]
    TooLong {
        /// What was being parsed.
        kind: &'static str,
        /// Length of the refused text.
        len: usize,
    },
    /// The text has a character outside the allowed set.
    #[error("{kind} holds {character:?}: use letters, digits and any of - _ . : @ /")]
    Character {
        /// What was being parsed.
        kind: &'static str,
        /// The first refused character.
        character: char,
    },
    /// The text is no number.
    #[error("{kind} {text:?} is no number: give a decimal number")]
    Number {
        /// What was being parsed.
        kind: &'static str,
        /// The refused text.
        text: String,
    },
    /// A model version lacks its `@version` part.
    #[error("model version {text:?} has no version: write it as model@version")]
    NoVersion {
        /// The refused text.
        text: String,
    },
}
