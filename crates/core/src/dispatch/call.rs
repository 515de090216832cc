//! The parts of a caller's request that dispatch decisions use.

use crate::{
    catalog::ApiKey,
    ids::{CallId, Fingerprint},
    prefix::PromptPrefix,
    units::{ByteCount, Millis, Tokens},
};
use std::sync::Arc;

/// Token counts of a prompt and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSize {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens in the answer: the caller's estimate, or the maximum that it allows.
    pub output_tokens: Tokens,
}

/// The parts of a caller's request that dispatch decisions use.
#[derive(Clone, Debug)]
pub struct Call {
    /// The call's number at this daemon.
    pub id: CallId,
    /// The request id that the caller chose.
    pub request_id: Arc<str>,
    /// The host that the request is addressed to.
    pub host: String,
    /// The request's path, without the query.
    pub path: String,
    /// The caller's API key.
    pub key: Option<ApiKey>,
    /// The caller's timeout, counted from the request's arrival.
    pub deadline_ms: Option<Millis>,
    /// Prompt and answer sizes, if the request is for a model.
    pub prompt: Option<PromptSize>,
    /// Fingerprints of the parts of the prompt that other requests may share, in order. Admission adds that of
    /// the request as a whole.
    pub fingerprints: Vec<Fingerprint>,
    /// The leading parts of the prompt with their tokens, in order, as far as the caller states them.
    pub prefix: PromptPrefix,
    /// Fingerprint of all that stays the same when the request is repeated, other than its caller.
    pub content: Fingerprint,
    /// Size of the request's body.
    pub body_bytes: ByteCount,
    /// Time since the request's head arrived.
    pub age_ms: Millis,
}
