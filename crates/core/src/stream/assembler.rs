//! Puts the pieces of one request's answer in order.

use super::AssembleError;
use crate::{ids::AttemptId, units::Tokens};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Most pieces that wait for an earlier one.
const EARLY_MAX_LEN: usize = 1024;
/// Most bytes that wait for an earlier piece.
const EARLY_MAX_BYTES: usize = 1 << 20;

/// What became of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// It is the next one: [`Assembler::pop`] gives it.
    Ready,
    /// It waits for an earlier one.
    Buffered,
    /// It was there before.
    Duplicate,
    /// It belongs to an attempt that is not the present one.
    Stale,
}

/// The answer of one request over all of its attempts.
///
/// A traffic thread holds one for each request. It calls [`Assembler::begin`] for each attempt,
/// [`Assembler::push`] for each piece of whichever connection, [`Assembler::finish`] for a finish
/// marker, and writes what [`Assembler::pop`] gives until it gives nothing. Offsets count tokens
/// from 0 over the whole answer, one token a piece. The caller has the whole answer, and may get
/// its finish marker, when [`Assembler::is_complete`] says so.
///
/// Only pieces of the present attempt are taken, so that an abandoned attempt can't add to the
/// answer after its successor began. Pieces below the offset that was already handed out are
/// dropped, so that a replay may start too low.
#[derive(Debug)]
pub struct Assembler {
    attempt: AttemptId,
    delivered: u64,
    end: Option<u64>,
    early: BTreeMap<u64, Bytes>,
    early_bytes: usize,
}

impl Assembler {
    /// An empty answer, whose first attempt is `attempt`.
    pub const fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            delivered: 0,
            end: None,
            early: BTreeMap::new(),
            early_bytes: 0,
        }
    }

    /// Starts another attempt. False for an attempt of another request or an older one, which
    /// changes nothing.
    pub fn begin(&mut self, attempt: AttemptId) -> bool {
        let newer =
            attempt.request == self.attempt.request && attempt.number >= self.attempt.number;
        if newer && attempt != self.attempt {
            self.attempt = attempt;
            self.end = None;
            self.early.clear();
            self.early_bytes = 0;
        }
        newer
    }

    /// Takes a piece.
    ///
    /// # Errors
    ///
    /// The answer of the present attempt can't be trusted: end the attempt.
    pub fn push(
        &mut self,
        attempt: AttemptId,
        offset: Tokens,
        piece: Bytes,
    ) -> Result<PushOutcome, AssembleError> {
        if attempt != self.attempt {
            return Ok(PushOutcome::Stale);
        }
        let at = offset.get();
        if let Some(end) = self.end.filter(|end| at >= *end) {
            let end = Tokens::new(end);
            return Err(AssembleError::AfterEnd { offset, end });
        }
        if at < self.delivered || self.early.contains_key(&at) {
            return Ok(PushOutcome::Duplicate);
        }
        self.keep(at, piece)
    }

    fn keep(&mut self, at: u64, piece: Bytes) -> Result<PushOutcome, AssembleError> {
        let is_next = at == self.delivered;
        let bytes = self.early_bytes + piece.len();
        let full = self.early.len() >= EARLY_MAX_LEN || bytes > EARLY_MAX_BYTES;
        if full && !is_next {
            let missing = Tokens::new(self.delivered);
            return Err(AssembleError::BufferFull { missing });
        }
        self.early_bytes = bytes;
        self.early.insert(at, piece);
        Ok(if is_next {
            PushOutcome::Ready
        } else {
            PushOutcome::Buffered
        })
    }

    /// Takes the finish marker of an attempt: the length of the whole answer.
    ///
    /// # Errors
    ///
    /// The marker contradicts the pieces: end the attempt.
    pub fn finish(&mut self, attempt: AttemptId, end: Tokens) -> Result<(), AssembleError> {
        if attempt != self.attempt {
            return Ok(());
        }
        let highest = self.early.last_key_value().map(|(at, _)| at + 1);
        let seen = highest.unwrap_or(0).max(self.delivered);
        if end.get() < seen {
            let offset = Tokens::new(seen - 1);
            return Err(AssembleError::EndTooLow { end, offset });
        }
        self.end = Some(end.get());
        Ok(())
    }

    /// The next piece in order, with its offset.
    pub fn pop(&mut self) -> Option<(Tokens, Bytes)> {
        let piece = self.early.remove(&self.delivered)?;
        self.early_bytes -= piece.len();
        let offset = Tokens::new(self.delivered);
        self.delivered += 1;
        Some((offset, piece))
    }

    /// Tokens handed out so far, over all attempts.
    pub const fn delivered(&self) -> Tokens {
        Tokens::new(self.delivered)
    }

    /// Whether everything up to the finish marker was handed out.
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.delivered)
    }
}
