//! A validated request of a caller, with the payload for the upstream.

use bytes::Bytes;
use persimmon_core::{
    ids::{AdapterName, IdempotencyKey, ModelName},
    request::RequestSpec,
    units::Tokens,
};
use std::sync::Arc;

/// A validated request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedCall {
    /// What the core needs to route the request.
    pub spec: RequestSpec,
    /// The content that is forwarded to the upstream.
    pub payload: Payload,
}

/// The content that is forwarded to the upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// A model call.
    Model(ModelPayload),
    /// A plain service call.
    Service(ServicePayload),
}

/// The payload of a model call.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelPayload {
    /// Name of the model.
    pub model: ModelName,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<AdapterName>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Largest number of tokens in the answer.
    pub max_output_tokens: Tokens,
    /// JSON format of the answer.
    pub format: AnswerFormat,
    /// Whether tokens are streamed to the caller as they arrive.
    pub stream: bool,
}

/// JSON format of a model's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// Chat completion.
    Chat,
    /// Text completion.
    Text,
}

/// The payload of a plain service call.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePayload {
    /// HTTP method.
    pub method: String,
    /// Path and query after `/services/<name>`, with a leading slash.
    pub path: String,
    /// Value of the `Content-Type` header, if any.
    pub content_type: Option<String>,
    /// Value of the `Idempotency-Key` header, if any.
    pub key: Option<IdempotencyKey>,
    /// Request body, unchanged.
    pub body: Bytes,
}
