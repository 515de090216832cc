//! Heartbeats and the membership and capacity data that they carry.

use crate::{
    ids::{FailureDomain, Generation, Incarnation, ModelVersion, ServiceName, VmId},
    units::{KvBytes, Millis, Tokens},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of a daemon, as known to its peers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// VM on which the daemon runs.
    pub vm: VmId,
    /// Incarnation: distinguishes restarts of the daemon on one VM.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Address on which the daemon accepts peer connections.
    pub peer_address: SocketAddr,
}

/// A heartbeat: a sign of life that also carries configuration, capacity and membership data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub member: Member,
    /// Number of the heartbeat round in the sender's failure domain.
    pub seq_index: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Highest configuration generation that the sender applies.
    pub generation: Generation,
    /// Free capacity of the sender's upstreams. Present in heartbeats between failure domains.
    pub summary: Option<CapacitySummary>,
    /// The sender's view of its failure domain. Present in heartbeats within one failure domain.
    pub digest: Option<Box<DomainDigest>>,
    /// A sample of members of other failure domains.
    pub members: Vec<RemoteMember>,
    /// Whether the sender requests an immediate heartbeat in reply.
    pub wants_answer: bool,
}

/// Status of a member of another failure domain, as passed on by a third daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RemoteMember {
    /// The member.
    pub member: Member,
    /// Time since the last sign of life of the member.
    pub age_ms: Millis,
    /// Configuration generation last reported by the member.
    pub generation: Generation,
}

/// A daemon's view of its failure domain. Members are identified by their index in the sender's
/// member list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainDigest {
    /// Hash of the member list.
    pub list_id: u32,
    /// One byte per member: age of the last sign of life, and whether the member applies the
    /// sender's generation.
    pub ages: Bytes,
    /// The member list, empty if the receiver is known to have the same list.
    pub names: Vec<Member>,
    /// Indices of members that are leaving.
    pub leaving: Vec<u16>,
    /// Capacity summaries that are being spread in this round, with the index of their member.
    pub summaries: Vec<(u16, QuantizedSummary)>,
}

/// A capacity summary in compact form: names as 16-bit hashes, numbers rounded to three significant
/// bits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuantizedSummary {
    /// Per model version, in this order: engines, free request slots, free KV memory, longest
    /// prompt, predicted wait of short and of long requests.
    pub models: Vec<(u16, [u8; 6])>,
    /// Free request slots per plain service.
    pub services: Vec<(u16, u32)>,
    /// Engines kept busy with prefill by short and by long prompts, in thousandths of an engine.
    pub busy: [u8; 2],
}

/// Free capacity of the upstreams of one owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacitySummary {
    /// Capacity per model version.
    pub models: Vec<(ModelVersion, ModelCapacity)>,
    /// Free request slots per plain service.
    pub services: Vec<(ServiceName, u32)>,
    /// Engines kept busy with prefill by short prompts, in thousandths of an engine.
    pub short_busy_permille: u32,
    /// Engines kept busy with prefill by long prompts, in thousandths of an engine.
    pub long_busy_permille: u32,
}

/// Free capacity of one owner's engines for one model version.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ModelCapacity {
    /// Number of engines that serve the model version.
    pub engines: u32,
    /// Free request slots over all engines.
    pub free_requests: u32,
    /// Free KV cache memory over all engines.
    pub free_kv_bytes: KvBytes,
    /// Largest prompt that fits one engine when the engine is idle.
    pub max_prompt_tokens: Tokens,
    /// Predicted wait of a new short request.
    pub short_wait_ms: Millis,
    /// Predicted wait of a new long request.
    pub long_wait_ms: Millis,
}
