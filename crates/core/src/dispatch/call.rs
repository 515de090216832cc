//! A caller's request, as far as decisions need it.

use crate::{
    catalog::ApiKey,
    ids::CallId,
    units::{Millis, Tokens},
};
use std::sync::Arc;

/// Sizes of a prompt and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer: the caller's estimate, or the most that it allows.
    pub output_tokens: Tokens,
}

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its number at this daemon.
    pub id: CallId,
    /// The id that the caller gave it.
    pub request_id: Arc<str>,
    /// Host that it is for.
    pub host: String,
    /// Its path, without a query.
    pub path: String,
    /// The caller's key.
    pub key: Option<ApiKey>,
    /// How long the caller waits, counted from the request's arrival.
    pub deadline_ms: Option<Millis>,
    /// Sizes, where it is for a model.
    pub prompt: Option<PromptSize>,
    /// Time since its head arrived.
    pub age_ms: Millis,
}
