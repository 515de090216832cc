//! What is sent to an upstream, and how long it may take.

use crate::{
    ids::{CallId, SendId, UpstreamId, WorkspaceId},
    units::Millis,
};
use std::net::SocketAddr;

/// An engine that reads a part of a prompt for another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillHelper {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its reservation of memory, where it keeps a part of the prompt.
    pub ticket: Option<String>,
}

/// One transmission of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendPlan {
    /// The call.
    pub call: CallId,
    /// This transmission.
    pub send: SendId,
    /// The upstream that is to run it, and no other one at its address.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Most connections that this daemon opens to it.
    pub connections_max_len: u32,
    /// The workspace that the caller belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Time that is left for the answer.
    pub deadline_ms: Millis,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Silence until the answer's first byte after which the upstream counts as stalled.
    pub first_byte_timeout_ms: Millis,
    /// Silence between events after which the upstream counts as stalled.
    pub pause_timeout_ms: Millis,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<PrefillHelper>,
}
