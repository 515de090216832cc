//! Errors of callers' requests.

use persimmon_core::{
    ids::IdError,
    request::{Refusal, RefusalCode},
    units::{Millis, UnitError},
};
use thiserror::Error;

/// Why a caller's request is refused before it reaches the core.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RequestError {
    /// The body is not the expected JSON.
    #[error("the body is not a valid request ({reason}): send JSON as docs/INTERFACES.md shows")]
    InvalidJson {
        /// What the parser says.
        reason: String,
    },
    /// The model is missing.
    #[error("the request names no model: add \"model\"")]
    MissingModel,
    /// The prompt is missing or empty.
    #[error("the request has no prompt: add \"{field}\" with at least one word")]
    MissingPrompt {
        /// The field that is missing.
        field: &'static str,
    },
    /// An answer without tokens is asked for.
    #[error("\"max_tokens\" is 0: ask for at least 1")]
    ZeroMaxTokens,
    /// A header is missing.
    #[error("the header {name} is missing: add it")]
    MissingHeader {
        /// The header.
        name: &'static str,
    },
    /// A header has no valid value.
    #[error("the header {name} is not valid: {reason}")]
    InvalidHeader {
        /// The header.
        name: &'static str,
        /// What is wrong, with the remedy.
        reason: String,
    },
    /// The timeout is out of range.
    #[error("the header X-Request-Timeout-Ms says {timeout}: give 1 to {max}")]
    TimeoutOutOfRange {
        /// The refused value.
        timeout: Millis,
        /// The longest allowed.
        max: Millis,
    },
    /// A name in the body or path is not valid.
    #[error("{0}")]
    InvalidName(#[from] IdError),
    /// The path has a control character or a space.
    #[error("the path holds a control character: percent-encode it")]
    InvalidPath,
    /// No such page.
    #[error("no page {path}: see docs/INTERFACES.md for the paths")]
    UnknownPath {
        /// The refused path.
        path: String,
    },
    /// The page does not take the method.
    #[error("{path} does not take {method}: use {allowed}")]
    MethodNotAllowed {
        /// The path.
        path: String,
        /// The refused method.
        method: String,
        /// The method to use.
        allowed: &'static str,
    },
    /// The body is too large.
    #[error("the body is over {max_bytes} bytes: send less, or raise limits.body_max_bytes")]
    BodyTooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The head is too large.
    #[error("path and headers are over {max_bytes} bytes: send less")]
    HeadTooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The body took too long.
    #[error("the body did not arrive within {within}: send it faster")]
    BodyTimeout {
        /// The limit.
        within: Millis,
    },
    /// The body broke off.
    #[error("the body broke off: send as many bytes as Content-Length says")]
    BodyTruncated,
    /// Too many requests are open here.
    #[error("{max_requests} requests are open at this daemon: retry, or ask another daemon")]
    TooManyRequests {
        /// The limit.
        max_requests: usize,
    },
}

impl RequestError {
    pub(super) fn invalid_header(name: &'static str, error: impl ToString) -> Self {
        let reason = error.to_string();
        Self::InvalidHeader { name, reason }
    }

    pub(super) fn invalid_unit(name: &'static str, error: &UnitError) -> Self {
        Self::invalid_header(name, error)
    }

    const fn code(&self) -> RefusalCode {
        match self {
            Self::BodyTooLarge { .. } => RefusalCode::BodyTooLarge,
            Self::TooManyRequests { .. } => RefusalCode::TooManyRequests,
            _ => RefusalCode::BadRequest,
        }
    }

    /// The HTTP status that carries this error.
    pub const fn status(&self) -> u16 {
        match self {
            Self::HeadTooLarge { .. } => 431,
            Self::MethodNotAllowed { .. } => 405,
            Self::BodyTimeout { .. } => 408,
            Self::UnknownPath { .. } => 404,
            other => other.code().status(),
        }
    }

    /// The refusal that tells the caller. Nothing ran.
    pub fn refusal(&self) -> Refusal {
        let refusal = Refusal::not_run(self.code(), self.to_string());
        match self {
            Self::TooManyRequests { .. } => refusal.retry_after(Millis::from_secs(1)),
            _ => refusal,
        }
    }
}
