//! Heartbeats.

use crate::{
    ids::{FailureDomain, Generation, Incarnation, ModelVersion, ServiceName, VmId},
    units::{KvBytes, Millis, Tokens},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One run of a daemon, as its peers know it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
}

/// A heartbeat: liveness, and what rides on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Counts up from 0 in each incarnation.
    pub seq_index: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The highest generation the sender applies.
    pub generation: Generation,
    /// What the sender's upstreams can take, when due.
    pub summary: Option<OwnerSummary>,
    /// Other members the sender knows to be alive or gone, a few at a time.
    pub members: Vec<(Member, bool)>,
    /// Whether the sender asks for an answer at once.
    pub wants_answer: bool,
}

/// What the upstreams of one owner can take.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OwnerSummary {
    /// One entry a model version.
    pub models: Vec<(ModelVersion, ModelCapacity)>,
    /// Free places a plain service.
    pub services: Vec<(ServiceName, u32)>,
    /// Engines that short prompts keep busy with prefill, in thousandths.
    pub short_busy_permille: u32,
    /// Engines that long prompts keep busy with prefill, in thousandths.
    pub long_busy_permille: u32,
}

/// What the engines of one owner can take for one model version.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ModelCapacity {
    /// Engines that serve it.
    pub engines: u32,
    /// Free places for requests.
    pub free_requests: u32,
    /// Free KV memory over all engines.
    pub free_kv_bytes: KvBytes,
    /// Largest prompt that one engine holds when empty.
    pub max_prompt_tokens: Tokens,
    /// Predicted wait of a new short request.
    pub short_wait_ms: Millis,
    /// Predicted wait of a new long request.
    pub long_wait_ms: Millis,
}
