//! An attempt of a request at an upstream, and the results of attempts and requests.

use super::{Refusal, UpstreamError};
use crate::{
    ids::{AttemptId, FencingNumber, ModelVersion, UpstreamId},
    units::{Millis, Tokens},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use std::net::SocketAddr;

/// Scheduling priority at an engine. Lower values run first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Parameters with which a traffic thread sends one attempt to an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptPlan {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Network address of the upstream.
    pub address: SocketAddr,
    /// Model version to run; none for a service call.
    pub model: Option<ModelVersion>,
    /// Fencing number of the upstream's owner, for upstreams that check it.
    pub fencing: Option<FencingNumber>,
    /// Tokens already delivered to the caller. The answer continues after them.
    pub offset_tokens: Tokens,
    /// Whether the engine still holds this request's stream, so that it only needs to resume.
    pub resume: bool,
    /// Scheduling priority at the engine.
    pub priority: Priority,
    /// Time left until the request's deadline.
    pub remaining_ms: Millis,
}

/// Result of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The complete answer was delivered.
    Complete {
        /// Tokens of the answer over all attempts.
        output_tokens: Tokens,
        /// The answer to store, set only for a keyed service call.
        result: Option<StoredResult>,
    },
    /// The attempt failed.
    Failed {
        /// Tokens delivered to the caller over all attempts.
        delivered_tokens: Tokens,
        /// Cause of the failure.
        error: UpstreamError,
    },
}

/// Stored answer of a keyed service call, returned to later calls with the same key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResult {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// The body, in base64.
    #[serde_as(as = "Base64")]
    pub body: Bytes,
}

/// Final response to a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FinalResponse {
    /// The complete answer has been delivered; the end marker of the response is still to be
    /// written.
    Complete,
    /// Return this stored answer of an earlier call with the same key.
    Stored(StoredResult),
    /// Return this refusal, or end an open stream with it as an error event.
    Refused(Refusal),
}
