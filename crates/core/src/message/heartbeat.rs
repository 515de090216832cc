//! Heartbeats.

use crate::{
    ids::{FailureDomain, Generation, Incarnation, ModelVersion, ServiceName, VmId},
    units::{KvBytes, Millis, Tokens},
};
use bytes::Bytes;
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
    /// The round of the sender's failure domain.
    pub seq_index: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The highest generation the sender applies.
    pub generation: Generation,
    /// What the sender's upstreams can take, in heartbeats between failure domains.
    pub summary: Option<CapacitySummary>,
    /// What the sender knows of its failure domain, in heartbeats inside one.
    pub digest: Option<Box<DomainDigest>>,
    /// A few members of other failure domains.
    pub members: Vec<RemoteMember>,
    /// Whether the sender asks for an answer at once.
    pub wants_answer: bool,
}

/// What is told of a member of another failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RemoteMember {
    /// The member.
    pub member: Member,
    /// Age of its last sign of life.
    pub age_ms: Millis,
    /// The generation last heard from it.
    pub generation: Generation,
}

/// What a daemon knows of its failure domain. Members go by their place in the sender's list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainDigest {
    /// Hash of the list.
    pub list_id: u32,
    /// One byte a member: age of the last sign of life, and whether it applies the sender's generation.
    pub ages: Bytes,
    /// The list itself, where the receiver is not known to have the same one.
    pub names: Vec<Member>,
    /// Places of members that leave.
    pub leaving: Vec<u16>,
    /// Summaries under way in this round.
    pub summaries: Vec<(u16, QuantizedSummary)>,
}

/// A summary coded in few bytes: names by hash, figures to three significant bits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuantizedSummary {
    /// Model versions: engines, free requests, free KV, longest prompt, short and long wait.
    pub models: Vec<(u16, [u8; 6])>,
    /// Free places a plain service.
    pub services: Vec<(u16, u32)>,
    /// Engines that short and long prompts keep busy with prefill, in thousandths.
    pub busy: [u8; 2],
}

/// What the upstreams of one owner can take.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacitySummary {
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
