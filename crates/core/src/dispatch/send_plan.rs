//! Instructions for one transmission to an upstream.

use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, SendId, UpstreamId, WorkspaceId},
    path::PathPlan,
    units::Millis,
};
use std::net::SocketAddr;

/// An engine that prefills part of a prompt for the answering engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillHelper {
    /// The address that the upstream listens at.
    pub address: SocketAddr,
    /// The memory reservation at the engine, if it holds part of the prompt's KV memory.
    pub ticket: Option<String>,
}

/// Instructions for one transmission of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendPlan {
    /// The call.
    pub call: CallId,
    /// The transmission.
    pub send: SendId,
    /// The upstream that is to run the call. Another upstream that now has the address must refuse it.
    pub upstream: UpstreamId,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The address that the upstream listens at.
    pub address: SocketAddr,
    /// The paths to the upstream.
    pub paths: PathPlan,
    /// Maximum number of connections from this daemon to the upstream.
    pub connections_max_len: u32,
    /// The workspace of the caller's key.
    pub workspace: Option<WorkspaceId>,
    /// Time left for the complete answer.
    pub deadline_ms: Millis,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Time to the answer's first byte after which the upstream counts as stalled.
    pub first_byte_timeout_ms: Millis,
    /// Time between two events after which the upstream counts as stalled.
    pub pause_timeout_ms: Millis,
    /// Time to the answer's first byte after which the daemon checks its link to the upstream.
    pub first_check_ms: Millis,
    /// Time between two events after which the daemon checks its link to the upstream.
    pub pause_check_ms: Millis,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<PrefillHelper>,
    /// Whether the upstream has a rate limit, which an answer that states none lifts.
    pub is_rate_limited: bool,
}

impl SendPlan {
    /// The incarnation of the upstream that is to run the call.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: self.upstream.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}
