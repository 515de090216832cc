//! A caller's request after it was checked.

use crate::{
    ids::{
        AdapterName, BlockHash, BodyHash, IdempotencyKey, ModelName, RequestId, ServiceName,
        WorkspaceId,
    },
    units::{Millis, Tokens},
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A caller's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestSpec {
    /// The request.
    pub id: RequestId,
    /// The workspace that pays for it.
    pub workspace: WorkspaceId,
    /// What is called.
    pub target: CallTarget,
    /// Time the caller gives for the whole answer.
    pub timeout_ms: Millis,
}

/// What a request calls.
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
    /// The model: the configuration says which versions serve the workspace.
    pub model: ModelName,
    /// The adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's prefixes, one a block, shortest first, salted by workspace.
    pub prefix_blocks: Vec<BlockHash>,
    /// Whether the answer goes to the caller token by token.
    pub stream: bool,
}

impl ModelCall {
    /// The class of the prompt's length.
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }
}

/// A call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceName,
    /// Whether the call may run twice: GET, HEAD, OPTIONS, PUT and DELETE without a key.
    pub idempotent: bool,
    /// The key under which it runs at most once.
    pub key: Option<IdempotencyKey>,
    /// Tells two calls with one key apart.
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

    /// The class of a prompt.
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
