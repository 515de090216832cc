//! One request on an upstream.

use super::in_flight::OWN_DAEMON_INDEX;
use crate::{
    ids::{SendId, UpstreamId},
    units::{Millis, Time, Tokens},
};
use serde::{Deserialize, Serialize};

/// A request on an upstream: which daemon sent it, and its number there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InFlightId {
    /// The daemon, as numbered here; 0 is this one.
    pub daemon_index: u32,
    /// The transmission.
    pub send: SendId,
    /// The part of the prompt: 0 at the upstream that answers, more at engines that help to read.
    pub part_index: u32,
}

impl InFlightId {
    /// A transmission, at the upstream that answers.
    pub const fn new(daemon_index: u32, send: SendId) -> Self {
        Self {
            daemon_index,
            send,
            part_index: 0,
        }
    }

    /// A transmission of this daemon, at the upstream that answers.
    pub const fn own(send: SendId) -> Self {
        Self::new(OWN_DAEMON_INDEX, send)
    }
}

/// An engine that reads a part of a prompt, and may keep a part of its memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelperAssignment {
    /// The engine.
    pub upstream: UpstreamId,
    /// Memory that is reserved there.
    pub memory_tokens: Tokens,
}

/// How far an upstream is with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The prompt is not read, or nothing was answered yet.
    Prefill,
    /// The answer is being written since then.
    Decode {
        /// When the first event came.
        since: Time,
    },
}

/// One request on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightEntry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Tokens of the prompt; zero where it is for a plain service.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer, estimated.
    pub output_tokens: Tokens,
    /// Memory that it takes there until its end.
    pub memory_tokens: Tokens,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
    /// Engines that read the prompt, this one included.
    pub parts_len: u32,
    /// When it was sent.
    pub sent_at: Time,
    /// When its first event is expected, where no word of it will come.
    pub first_due_at: Option<Time>,
    /// How far it is.
    pub phase: Phase,
}

impl InFlightEntry {
    /// How far it is, where no word of its first event may come.
    pub fn phase_at(&self, now: Time) -> Phase {
        match (self.phase, self.first_due_at) {
            (Phase::Prefill, Some(since)) if since <= now => Phase::Decode { since },
            (phase, _) => phase,
        }
    }
}
