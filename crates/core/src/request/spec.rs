//! Specification of a validated request.

use crate::{
    ids::{
        AdapterName, BlockHash, BodyHash, IdempotencyKey, ModelName, RequestId, ServiceName,
        WorkspaceId,
    },
    units::{Millis, Tokens},
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A validated request of a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestSpec {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace to which the request is charged.
    pub workspace: WorkspaceId,
    /// The model or service to call.
    pub target: CallTarget,
    /// The caller's time-out for the complete answer.
    pub timeout_ms: Millis,
}

/// Target of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallTarget {
    /// A model.
    Model(ModelCall),
    /// A plain service.
    Service(ServiceCall),
}

/// A call of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelCall {
    /// Name of the model. The configuration says which of its versions serve the workspace.
    pub model: ModelName,
    /// Name of the adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens in the answer.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's prefixes, one per block, shortest first, salted by workspace.
    pub prefix_blocks: Vec<BlockHash>,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
}

impl ModelCall {
    /// Length class of the prompt.
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }
}

/// A call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Name of the service.
    pub service: ServiceName,
    /// Whether the call may be executed more than once: GET, HEAD, OPTIONS, PUT and DELETE without
    /// a key.
    pub idempotent: bool,
    /// Idempotency key under which the call is executed at most once.
    pub key: Option<IdempotencyKey>,
    /// Hash of the call, to detect a different call under the same key.
    pub body_hash: BodyHash,
}

/// Classes of prompt length, for queues and reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthClass {
    /// At most 2,000 tokens.
    Short,
    /// At most 16,000 tokens.
    Medium,
    /// At most 100,000 tokens.
    Long,
    /// More than 100,000 tokens.
    Huge,
}

impl LengthClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Length class of a prompt.
    pub fn of(prompt_tokens: Tokens) -> Self {
        match prompt_tokens.get() {
            0..=2_000 => Self::Short,
            2_001..=16_000 => Self::Medium,
            16_001..=100_000 => Self::Long,
            _ => Self::Huge,
        }
    }
}

impl fmt::Display for LengthClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        })
    }
}
