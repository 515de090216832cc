//! Errors in callers' requests.

use persimmon_core::{
    ids::IdError,
    request::{Refusal, RefusalCode},
    units::{Millis, UnitError},
};
use thiserror::Error;

/// Why a caller's request is refused before it reaches the core. The messages go to the caller.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RequestError {
    /// The body is not JSON of the expected structure.
    #[error("the body is not a valid request ({reason}): send JSON as docs/INTERFACES.md shows")]
    InvalidJson {
        /// The parser's message.
        reason: String,
    },
    /// The body has no `model`.
    #[error("the request names no model: add \"model\"")]
    MissingModel,
    /// The prompt is missing or has no token.
    #[error("the request has no prompt: add \"{field}\" with at least one word")]
    MissingPrompt {
        /// The body's field for the prompt: `prompt` or `messages`.
        field: &'static str,
    },
    /// `max_tokens` is 0.
    #[error("\"max_tokens\" is 0: ask for at least 1")]
    ZeroMaxTokens,
    /// A required header is missing.
    #[error("the header {name} is missing: add it")]
    MissingHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The value of a header is not valid.
    #[error("the header {name} is not valid: {reason}")]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// What is wrong with the value and how to correct it.
        reason: String,
    },
    /// `X-Request-Timeout-Ms` is 0 or above the maximum.
    #[error("the header X-Request-Timeout-Ms says {timeout}: give 1 to {max}")]
    TimeoutOutOfRange {
        /// The requested time-out.
        timeout: Millis,
        /// The largest allowed time-out.
        max: Millis,
    },
    /// A name in the path is not valid.
    #[error("{0}")]
    InvalidName(#[from] IdError),
    /// The path contains a control character or a space.
    #[error("the path holds a control character: percent-encode it")]
    InvalidPath,
    /// No resource has this path.
    #[error("no page {path}: see docs/INTERFACES.md for the paths")]
    UnknownPath {
        /// Path of the request.
        path: String,
    },
    /// The resource does not support the method.
    #[error("{path} does not take {method}: use {allowed}")]
    MethodNotAllowed {
        /// Path of the request.
        path: String,
        /// Method of the request.
        method: String,
        /// The method that the resource supports.
        allowed: &'static str,
    },
    /// The body exceeds the limit.
    #[error("the body is over {max_bytes} bytes: send less, or raise limits.body_max_bytes")]
    BodyTooLarge {
        /// Largest size allowed.
        max_bytes: usize,
    },
    /// Request target and headers exceed the limit.
    #[error("path and headers are over {max_bytes} bytes: send less")]
    HeadTooLarge {
        /// Largest size allowed.
        max_bytes: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {within}: send it faster")]
    BodyTimeout {
        /// Time allowed for the body.
        within: Millis,
    },
    /// The connection ended before the body was complete, or the body differs in length from
    /// `Content-Length`.
    #[error("the body broke off: send as many bytes as Content-Length says")]
    BodyTruncated,
    /// The bodies of other requests leave no room.
    #[error("the bodies of all requests together are over {max_bytes} bytes: retry, or ask another daemon")]
    NoRoomForBody {
        /// Most bytes of bodies that are held at a time.
        max_bytes: usize,
    },
    /// The daemon has as many open requests as it allows.
    #[error("{max_requests} requests are open at this daemon: retry, or ask another daemon")]
    TooManyRequests {
        /// Most open requests allowed.
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
            Self::NoRoomForBody { .. } | Self::TooManyRequests { .. } => {
                RefusalCode::TooManyRequests
            }
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

    /// The refusal that is sent to the caller. Its outcome is `not_run`, as the request never
    /// reached an upstream.
    pub fn refusal(&self) -> Refusal {
        let refusal = Refusal::not_run(self.code(), self.to_string());
        match self {
            Self::NoRoomForBody { .. } | Self::TooManyRequests { .. } => {
                refusal.retry_after(Millis::from_secs(1))
            }
            _ => refusal,
        }
    }
}
