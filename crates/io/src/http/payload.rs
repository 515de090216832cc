//! A caller's request after it was checked, with what goes to the upstream.

use bytes::Bytes;
use persimmon_core::{
    ids::{AdapterName, IdempotencyKey, ModelName},
    request::RequestSpec,
    units::Tokens,
};
use std::sync::Arc;

/// A caller's request after it was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedCall {
    /// What the core decides on.
    pub spec: RequestSpec,
    /// What goes to the upstream.
    pub payload: Payload,
}

/// What goes to the upstream.
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
    /// The model.
    pub model: ModelName,
    /// The adapter, if any.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// The format of the answer.
    pub format: AnswerFormat,
    /// Whether tokens go to the caller as they come.
    pub stream: bool,
}

/// The format of a model's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// As a chat message.
    Chat,
    /// As text.
    Text,
}

/// The payload of a plain service call.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePayload {
    /// HTTP method.
    pub method: String,
    /// Path and query behind `/services/<name>`, with its leading slash.
    pub path: String,
    /// Value of `Content-Type`, if any.
    pub content_type: Option<String>,
    /// The key, if any.
    pub key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}
