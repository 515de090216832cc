//! Puts the pieces of one request's answer in order.

use bytes::Bytes;
use persimmon_core::{ids::AttemptId, units::Tokens};
use std::collections::BTreeMap;

/// Most pieces that wait for an earlier one.
const EARLY_MAX_LEN: usize = 1024;

/// The answer of one request over all of its attempts. Takes pieces of the present attempt alone,
/// drops those that were handed out before and keeps early ones.
#[derive(Debug, Default)]
pub(super) struct Assembler {
    attempt: Option<AttemptId>,
    delivered: u64,
    end: Option<u64>,
    early: BTreeMap<u64, Bytes>,
}

impl Assembler {
    /// Starts another attempt.
    pub(super) fn begin(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
        self.end = None;
        self.early.clear();
    }

    /// Takes a piece. False where it can't belong to the answer, or too many are missing before it.
    pub(super) fn push(&mut self, attempt: AttemptId, offset: Tokens, piece: Bytes) -> bool {
        let at = offset.get();
        if self.attempt != Some(attempt) || at < self.delivered {
            return true;
        }
        let fits = self.early.len() < EARLY_MAX_LEN || at == self.delivered;
        let is_inside = self.end.is_none_or(|end| at < end);
        if fits && is_inside {
            self.early.entry(at).or_insert(piece);
        }
        fits && is_inside
    }

    /// Takes the finish marker: the length of the whole answer. False where pieces contradict it.
    pub(super) fn finish(&mut self, attempt: AttemptId, end: Tokens) -> bool {
        if self.attempt != Some(attempt) {
            return true;
        }
        let highest = self.early.last_key_value().map_or(0, |(at, _)| at + 1);
        self.end = Some(end.get());
        end.get() >= highest.max(self.delivered)
    }

    /// The next piece in order.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let piece = self.early.remove(&self.delivered)?;
        self.delivered += 1;
        Some(piece)
    }

    /// Tokens handed out so far, over all attempts.
    pub(super) const fn delivered(&self) -> Tokens {
        Tokens::new(self.delivered)
    }

    /// Whether everything up to the finish marker was handed out.
    pub(super) fn is_whole(&self) -> bool {
        self.end == Some(self.delivered)
    }
}
