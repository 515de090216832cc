//! One attempt of a request at an upstream.

use super::{Refusal, UpstreamError};
use crate::{
    ids::{AttemptId, FencingNumber, ModelVersion, UpstreamId},
    units::{Millis, Tokens},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use std::net::SocketAddr;

/// Priority at an engine: the lower runs first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// What a traffic thread needs to send one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptPlan {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The model's version, for a model call.
    pub model: Option<ModelVersion>,
    /// The owner's fencing number, for upstreams that check it.
    pub fencing: Option<FencingNumber>,
    /// Tokens that the caller already has: the answer starts after them.
    pub offset_tokens: Tokens,
    /// Whether the engine still holds this request's stream and only needs to resume it.
    pub resume: bool,
    /// Priority at the engine.
    pub priority: Priority,
    /// Time left until the deadline.
    pub remaining_ms: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The whole answer came; `result` is set where the core must keep it (a keyed call).
    Complete {
        /// Tokens of the answer, over all attempts.
        output_tokens: Tokens,
        /// The answer of a keyed service call.
        result: Option<StoredResult>,
    },
    /// It failed.
    Failed {
        /// Tokens that the caller has, over all attempts.
        delivered_tokens: Tokens,
        /// How.
        error: UpstreamError,
    },
}

/// The kept answer of a keyed service call.
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

/// The last word to a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FinalResponse {
    /// The whole answer has been passed on: write the finish marker.
    Complete,
    /// Give this earlier answer of the same key.
    Stored(StoredResult),
    /// Give this refusal, or end the open stream with it as an error event.
    Refused(Refusal),
}
