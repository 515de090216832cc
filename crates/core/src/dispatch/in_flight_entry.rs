//! One request in flight at an upstream.

use super::in_flight::OWN_DAEMON_INDEX;
use crate::{
    ids::{SendId, UpstreamId},
    units::{Millis, Time, Tokens},
};
use serde::{Deserialize, Serialize};

/// Identifies a request in flight, or the part of it that one engine prefills.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InFlightId {
    /// The daemon that sent the request, as numbered at this daemon; 0 is this daemon itself.
    pub daemon_index: u32,
    /// The transmission's number at that daemon.
    pub send: SendId,
    /// The part of the prompt: 0 at the answering upstream, from 1 at helper engines.
    pub part_index: u32,
}

impl InFlightId {
    /// The id of a transmission at the answering upstream.
    pub const fn new(daemon_index: u32, send: SendId) -> Self {
        Self {
            daemon_index,
            send,
            part_index: 0,
        }
    }

    /// The id of this daemon's transmission at the answering upstream.
    pub const fn own(send: SendId) -> Self {
        Self::new(OWN_DAEMON_INDEX, send)
    }
}

/// An engine that prefills part of a prompt, and may hold part of its KV memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelperAssignment {
    /// The engine.
    pub upstream: UpstreamId,
    /// KV memory that is reserved at the engine; zero if it holds none.
    pub memory_tokens: Tokens,
}

/// Progress of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The prompt is queued or being prefilled: no event of the answer came yet.
    Prefill,
    /// The answer is being generated.
    Decode {
        /// When the first event of the answer came.
        since: Time,
    },
}

/// One request in flight at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightEntry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Tokens in the prompt; zero for a service without engines.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt that the upstream is expected to hold already.
    pub cached_tokens: Tokens,
    /// Estimated tokens in the answer.
    pub output_tokens: Tokens,
    /// KV memory that the request uses at the upstream until it ends.
    pub memory_tokens: Tokens,
    /// Longest pause between events of an answer that counts as on time.
    pub pause_target_ms: Millis,
    /// Number of engines that prefill the prompt, including this one.
    pub parts_len: u32,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the first event is expected, if it will not be reported.
    pub first_due_at: Option<Time>,
    /// The request's progress.
    pub phase: Phase,
}

impl InFlightEntry {
    /// The request's progress at `now`. A request whose first event will not be reported counts as
    /// decoding from the expected time on.
    pub fn phase_at(&self, now: Time) -> Phase {
        match (self.phase, self.first_due_at) {
            (Phase::Prefill, Some(since)) if since <= now => Phase::Decode { since },
            (phase, _) => phase,
        }
    }
}
