//! Grants: an owner's permission to send one attempt of a request to one of its upstreams.

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
    /// Entry daemon to owner: requests a grant.
    Request(Box<GrantRequest>),
    /// Entry daemon to owner: withdraws a grant request.
    Withdraw {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Owner to entry daemon: answers a grant request.
    Answer {
        /// Id of the attempt.
        attempt: AttemptId,
        /// The owner's answer.
        answer: GrantAnswer,
    },
    /// Entry daemon to owner: releases a grant.
    Release {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Id of the upstream.
        upstream: UpstreamId,
        /// Report on the attempt.
        end: GrantReport,
    },
    /// New owner to entry daemon: asks for the grants held at these upstreams after a take-over.
    Collect {
        /// Ids of the upstreams.
        upstreams: Vec<UpstreamId>,
        /// Fencing number of the new owner.
        fencing: FencingNumber,
    },
    /// Entry daemon to owner: lists the grants held, in answer to `Collect`.
    Held {
        /// The held grants.
        grants: Vec<HeldGrant>,
        /// Highest fencing number that the sender has seen for these upstreams.
        fencing: FencingNumber,
    },
    /// Owner to entry daemon: revokes a grant, because its upstream is leaving or the grant lapsed.
    Revoke {
        /// Id of the attempt.
        attempt: AttemptId,
    },
}

/// A request for a grant. Idempotent by attempt, so it can be sent again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Specification of the request.
    pub spec: RequestSpec,
    /// Model version to run, for a model call.
    pub model: Option<ModelVersion>,
    /// Time left until the deadline.
    pub remaining_ms: Millis,
    /// Tokens already delivered to the caller.
    pub offset_tokens: Tokens,
    /// Upstreams that must not be used, because they failed or revoked this request.
    pub avoid: Vec<UpstreamId>,
    /// Preferred upstream, which still holds the request's stream.
    pub resume_at: Option<UpstreamId>,
    /// Configuration generation that the sender applies.
    pub generation: Generation,
}

/// An owner's answer to a grant request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GrantAnswer {
    /// The grant is issued.
    Granted(GrantOffer),
    /// The request waits in the owner's queue.
    Queued {
        /// Predicted queueing time.
        wait_ms: Millis,
    },
    /// The grant is denied.
    Denied(GrantDenial),
}

/// An issued grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantOffer {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Network address of the upstream.
    pub address: SocketAddr,
    /// Fencing number of the owner.
    pub fencing: FencingNumber,
    /// Scheduling priority at the engine.
    pub priority: Priority,
    /// Predicted time to first token.
    pub predicted_ms: Millis,
    /// Second-best upstream, for the log.
    pub runner_up: Option<UpstreamId>,
    /// Estimated number of prompt tokens in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Whether the engine still holds the stream, so that it only needs to resume.
    pub resume: bool,
}

/// Reason why a grant is denied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GrantDenial {
    /// The daemon owns no suitable upstream; `better` may own one.
    NotOwner {
        /// Daemon that may own a suitable upstream.
        better: Option<VmId>,
    },
    /// No capacity before the deadline.
    Busy {
        /// Daemon that may have capacity.
        better: Option<VmId>,
        /// Delay after which to retry.
        retry_after_ms: Millis,
        /// Free capacity of the owner's upstreams.
        summary: CapacitySummary,
    },
    /// No engine or group has enough memory for the request.
    TooLong {
        /// Largest prompt that fits.
        max_prompt_tokens: Tokens,
    },
    /// The owner is still collecting the outstanding grants after a take-over.
    Learning {
        /// Delay after which the owner issues grants again.
        retry_after_ms: Millis,
    },
    /// The failure domain or all suitable upstreams are drained.
    Drained,
}

/// Report on a granted attempt: its result and its measured times.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantReport {
    /// Whether the answer was complete.
    pub complete: bool,
    /// Whether the attempt failed through a fault of the upstream.
    pub upstream_failed: bool,
    /// Whether the engine may still be running the attempt, in which case the owner orders a
    /// cancel.
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
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Specification of the request.
    pub spec: RequestSpec,
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Model version that runs, for a model call.
    pub model: Option<ModelVersion>,
    /// KV cache memory that the grant occupies at the upstream.
    pub kv_bytes: KvBytes,
    /// Time left until the request's deadline.
    pub remaining_ms: Millis,
}
