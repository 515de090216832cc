//! What a caller is told when it gets no whole answer.

use crate::units::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Proved: no upstream ran any part of it that matters to the caller.
    NotRun,
    /// It may have run.
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

/// Why a request got no whole answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// No such workspace.
    UnknownWorkspace,
    /// No such model, or none that serves this workspace.
    UnknownModel,
    /// No such plain service.
    UnknownService,
    /// The prompt needs more memory than any engine or group has.
    PromptTooLong,
    /// No capacity before the deadline.
    NoCapacity,
    /// The deadline passed.
    DeadlineExceeded,
    /// No daemon or upstream that could serve it can be reached.
    Unreachable,
    /// Every attempt failed.
    UpstreamFailed,
    /// The retry budget of the service is spent.
    RetryBudgetSpent,
    /// The idempotency key came with another body before.
    KeyReused,
    /// A call under this key is still running or its result is not known.
    KeyUnresolved,
    /// The platform's store can't be asked, so the key can't be claimed.
    StoreUnavailable,
    /// The daemon is shutting down or has no configuration yet.
    NotReady,
    /// The body is over the limit.
    BodyTooLarge,
    /// Too many connections or requests at this daemon.
    TooManyRequests,
}

impl RefusalCode {
    /// All codes.
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

    /// The HTTP status that carries this code.
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

/// A refusal: the JSON that a caller gets in place of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Why, in words, with the remedy.
    pub message: String,
    /// When to come back; absent where coming back does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// Whether it ran.
    pub outcome: Outcome,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
            outcome: Outcome::NotRun,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
            outcome: Outcome::Unknown,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after_ms = Some(span);
        self
    }
}
