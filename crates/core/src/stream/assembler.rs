//! Reassembles the chunks of one request's answer in order.

use super::AssembleError;
use crate::{ids::AttemptId, units::Tokens};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Maximum number of chunks that wait for an earlier one.
const BUFFER_MAX_LEN: usize = 1024;
/// Maximum size of the chunks that wait for an earlier one.
const BUFFER_MAX_BYTES: usize = 1 << 20;

/// Outcome of [`Assembler::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The chunk is the next one, and [`Assembler::pop`] returns it.
    Ready,
    /// The chunk is buffered until the ones before it arrive.
    Buffered,
    /// The chunk was received before and is dropped.
    Duplicate,
    /// The chunk belongs to another attempt than the current one and is dropped.
    Stale,
}

/// Reassembles the answer of one request over all of its attempts.
///
/// A traffic thread has one per request. It calls [`Assembler::begin`] for each attempt,
/// [`Assembler::push`] for each chunk from any connection and [`Assembler::finish`] for a finish
/// marker, and forwards what [`Assembler::pop`] returns until that is `None`. Offsets count tokens
/// from 0 over the whole answer; a chunk is one token. When [`Assembler::is_complete`] returns
/// true, the caller has the whole answer and can be sent the finish marker.
///
/// Only chunks of the current attempt are accepted, so that an abandoned attempt cannot add to the
/// answer after its successor began. Chunks below the offset that was already returned are dropped,
/// so that a replay can start at a lower offset than needed.
#[derive(Debug)]
pub struct Assembler {
    attempt: AttemptId,
    delivered: u64,
    end: Option<u64>,
    buffered: BTreeMap<u64, Bytes>,
    buffered_bytes: usize,
}

impl Assembler {
    /// Creates the assembler of an answer whose first attempt is `attempt`.
    pub const fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            delivered: 0,
            end: None,
            buffered: BTreeMap::new(),
            buffered_bytes: 0,
        }
    }

    /// Starts another attempt, and drops the chunks buffered from the previous one. Returns false
    /// and changes nothing if the attempt is older than the current one or of another request.
    pub fn begin(&mut self, attempt: AttemptId) -> bool {
        let accepted =
            attempt.request == self.attempt.request && attempt.number >= self.attempt.number;
        if accepted && attempt != self.attempt {
            self.attempt = attempt;
            self.end = None;
            self.buffered.clear();
            self.buffered_bytes = 0;
        }
        accepted
    }

    /// Accepts a chunk.
    ///
    /// # Errors
    ///
    /// The chunk lies after the end, or the buffer is full. The attempt must be ended.
    pub fn push(
        &mut self,
        attempt: AttemptId,
        offset: Tokens,
        chunk: Bytes,
    ) -> Result<PushOutcome, AssembleError> {
        if attempt != self.attempt {
            return Ok(PushOutcome::Stale);
        }
        let at = offset.get();
        if let Some(end) = self.end.filter(|end| at >= *end) {
            let end = Tokens::new(end);
            return Err(AssembleError::AfterEnd { offset, end });
        }
        if at < self.delivered || self.buffered.contains_key(&at) {
            return Ok(PushOutcome::Duplicate);
        }
        self.buffer(at, chunk)
    }

    fn buffer(&mut self, at: u64, chunk: Bytes) -> Result<PushOutcome, AssembleError> {
        let is_next = at == self.delivered;
        let bytes = self.buffered_bytes + chunk.len();
        let full = self.buffered.len() >= BUFFER_MAX_LEN || bytes > BUFFER_MAX_BYTES;
        if full && !is_next {
            let missing = Tokens::new(self.delivered);
            return Err(AssembleError::BufferFull { missing });
        }
        self.buffered_bytes = bytes;
        self.buffered.insert(at, chunk);
        Ok(if is_next {
            PushOutcome::Ready
        } else {
            PushOutcome::Buffered
        })
    }

    /// Accepts the finish marker of an attempt, which gives the length of the whole answer.
    ///
    /// # Errors
    ///
    /// A chunk after that end was received. The attempt must be ended.
    pub fn finish(&mut self, attempt: AttemptId, end: Tokens) -> Result<(), AssembleError> {
        if attempt != self.attempt {
            return Ok(());
        }
        let highest = self.buffered.last_key_value().map(|(at, _)| at + 1);
        let seen = highest.unwrap_or(0).max(self.delivered);
        if end.get() < seen {
            let offset = Tokens::new(seen - 1);
            return Err(AssembleError::EndTooLow { end, offset });
        }
        self.end = Some(end.get());
        Ok(())
    }

    /// Returns the next chunk in order, with its offset.
    pub fn pop(&mut self) -> Option<(Tokens, Bytes)> {
        let chunk = self.buffered.remove(&self.delivered)?;
        self.buffered_bytes -= chunk.len();
        let offset = Tokens::new(self.delivered);
        self.delivered += 1;
        Some((offset, chunk))
    }

    /// Number of tokens returned so far, over all attempts.
    pub const fn delivered(&self) -> Tokens {
        Tokens::new(self.delivered)
    }

    /// Whether all chunks up to the finish marker were returned.
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.delivered)
    }
}
