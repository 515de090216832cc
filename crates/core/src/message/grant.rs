//! Grants: an owner's word that a request may go to one of its upstreams.

use super::CapacitySummary;
use crate::{
    ids::{AttemptId, FencingNumber, Generation, ModelVersion, UpstreamId, VmId},
    request::{Priority, RequestSpec},
    units::{KvBytes, Millis, Tokens},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A message about grants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GrantMessage {
    /// Entry daemon to owner.
    Request(Box<GrantRequest>),
    /// Entry daemon to owner: the request no longer waits.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Owner to entry daemon.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: GrantAnswer,
    },
    /// Entry daemon to owner: the grant is given back.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// How it went.
        end: GrantReport,
    },
    /// Owner to entry daemon: take-over, tell me what you hold at these upstreams.
    Collect {
        /// The upstreams.
        upstreams: Vec<UpstreamId>,
        /// The new owner's fencing number.
        fencing: FencingNumber,
    },
    /// Entry daemon to owner: what it holds.
    Held {
        /// The grants.
        grants: Vec<HeldGrant>,
        /// Highest fencing number the sender knows for these upstreams.
        fencing: FencingNumber,
    },
    /// Owner to entry daemon: end this attempt now, its upstream is leaving or the grant lapsed.
    Revoke {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// A request for a grant. Idempotent by attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub spec: RequestSpec,
    /// Version wanted, for a model call.
    pub model: Option<ModelVersion>,
    /// Time left until the deadline.
    pub remaining_ms: Millis,
    /// Tokens that the caller already has.
    pub offset_tokens: Tokens,
    /// Upstreams not to use, since they failed this request.
    pub avoid: Vec<UpstreamId>,
    /// The upstream to use if it can: it still holds the stream.
    pub resume_at: Option<UpstreamId>,
    /// The generation the sender applies.
    pub generation: Generation,
}

/// An owner's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GrantAnswer {
    /// Go.
    Granted(GrantOffer),
    /// It waits in the owner's queue.
    Queued {
        /// Predicted wait.
        wait_ms: Millis,
    },
    /// No.
    Denied(GrantDenial),
}

/// A grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantOffer {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// Priority at the engine.
    pub priority: Priority,
    /// Predicted time to first token.
    pub predicted_ms: Millis,
    /// The second best upstream, for the log.
    pub runner_up: Option<UpstreamId>,
    /// Tokens of the prompt that the engine is thought to have cached.
    pub cached_tokens: Tokens,
    /// Whether the engine still holds the stream.
    pub resume: bool,
}

/// A denied grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GrantDenial {
    /// Not the owner of any fitting upstream; `better` may be.
    NotOwner {
        /// A daemon that may own one.
        better: Option<VmId>,
    },
    /// No capacity before the deadline.
    Busy {
        /// A daemon that may have some.
        better: Option<VmId>,
        /// When to come back.
        retry_after_ms: Millis,
        /// What the owner's upstreams can take now.
        summary: CapacitySummary,
    },
    /// No engine or group is large enough.
    TooLong {
        /// Largest prompt that fits.
        max_prompt_tokens: Tokens,
    },
    /// The owner is learning outstanding grants after a take-over.
    Learning {
        /// When it grants again.
        retry_after_ms: Millis,
    },
    /// The failure domain or all fitting upstreams are drained.
    Drained,
}

/// How a granted attempt went, as evidence.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantReport {
    /// Whether the whole answer came.
    pub complete: bool,
    /// Whether the upstream is to blame for a failure.
    pub upstream_failed: bool,
    /// Whether the engine may still run it: the owner orders a cancel.
    pub needs_cancel: bool,
    /// Time from dispatch to first token.
    pub first_token_ms: Option<Millis>,
    /// Time from dispatch to the end.
    pub total_ms: Millis,
    /// Tokens generated in this attempt.
    pub output_tokens: Tokens,
}

/// A grant that an entry daemon holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldGrant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub spec: RequestSpec,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The version it runs on, for a model call.
    pub model: Option<ModelVersion>,
    /// KV memory it holds there.
    pub kv_bytes: KvBytes,
    /// Time left until its deadline.
    pub remaining_ms: Millis,
}
