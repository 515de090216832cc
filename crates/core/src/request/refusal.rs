//! Refusals: error responses to callers that get no complete answer.

use crate::units::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Proven: no upstream executed any part of the request that matters to the caller.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

/// Reason why a request got no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The workspace does not exist.
    UnknownWorkspace,
    /// The model does not exist or does not serve this workspace.
    UnknownModel,
    /// The plain service does not exist.
    UnknownService,
    /// The prompt needs more memory than any engine or group has.
    PromptTooLong,
    /// No capacity is available before the deadline.
    NoCapacity,
    /// The deadline passed.
    DeadlineExceeded,
    /// No daemon or upstream that could serve the request can be reached.
    Unreachable,
    /// Every attempt failed.
    UpstreamFailed,
    /// The retry budget of the service or model is exhausted.
    RetryBudgetSpent,
    /// The idempotency key was used with another call before.
    KeyReused,
    /// A call under this idempotency key is still running or its result is unknown.
    KeyUnresolved,
    /// The platform's store is unavailable, so the idempotency key can't be claimed.
    StoreUnavailable,
    /// The daemon is shutting down or has no configuration yet.
    NotReady,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// Too many connections or requests are open at this daemon.
    TooManyRequests,
}

impl RefusalCode {
    /// All codes, in order of declaration.
    pub const ALL: [Self; 16] = [
        Self::BadRequest,
        Self::UnknownWorkspace,
        Self::UnknownModel,
        Self::UnknownService,
        Self::PromptTooLong,
        Self::NoCapacity,
        Self::DeadlineExceeded,
        Self::Unreachable,
        Self::UpstreamFailed,
        Self::RetryBudgetSpent,
        Self::KeyReused,
        Self::KeyUnresolved,
        Self::StoreUnavailable,
        Self::NotReady,
        Self::BodyTooLarge,
        Self::TooManyRequests,
    ];

    /// HTTP status of a response with this code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownWorkspace | Self::UnknownModel | Self::UnknownService => 404,
            Self::BodyTooLarge | Self::PromptTooLong => 413,
            Self::KeyReused => 422,
            Self::KeyUnresolved => 409,
            Self::TooManyRequests => 429,
            Self::UpstreamFailed => 502,
            Self::DeadlineExceeded => 504,
            Self::NoCapacity
            | Self::NotReady
            | Self::RetryBudgetSpent
            | Self::StoreUnavailable
            | Self::Unreachable => 503,
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::BadRequest => "bad_request",
            Self::UnknownWorkspace => "unknown_workspace",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::PromptTooLong => "prompt_too_long",
            Self::NoCapacity => "no_capacity",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Unreachable => "unreachable",
            Self::UpstreamFailed => "upstream_failed",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::KeyReused => "key_reused",
            Self::KeyUnresolved => "key_unresolved",
            Self::StoreUnavailable => "store_unavailable",
            Self::NotReady => "not_ready",
            Self::BodyTooLarge => "body_too_large",
            Self::TooManyRequests => "too_many_requests",
        };
        f.write_str(text)
    }
}

/// A refusal. Serialised as the JSON body that a caller gets in place of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason as a code.
    pub code: RefusalCode,
    /// Reason in words, with what the caller can do.
    pub message: String,
    /// Delay after which to retry; absent if a retry does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
}

impl Refusal {
    /// A refusal of a request that was not executed.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
            outcome: Outcome::NotRun,
        }
    }

    /// A refusal of a request that may have been executed.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
            outcome: Outcome::Unknown,
        }
    }

    /// Sets the delay after which to retry.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after_ms = Some(span);
        self
    }
}
