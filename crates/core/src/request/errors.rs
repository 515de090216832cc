//! How an attempt at an upstream fails.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How an attempt or order at an upstream failed.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum UpstreamError {
    /// The connection was refused before any byte went out: it did not run.
    #[error("connection refused before any byte was sent: check that the upstream is up")]
    Refused,
    /// The upstream said that it did not run the call.
    #[error("upstream did not run it: {reason}; try another upstream")]
    NotRun {
        /// The upstream's words.
        reason: String,
    },
    /// The upstream carries a newer fencing number: it did not run the call.
    #[error("upstream refused an old fencing number: ask its present owner")]
    Fenced,
    /// The upstream is overloaded and did not run the call.
    #[error("upstream is overloaded: send it less")]
    Overloaded,
    /// The connection broke after bytes went out.
    #[error("connection broke after the call was sent: it may have run")]
    Broken,
    /// Nothing came within the bound.
    #[error("nothing came from the upstream in time: it may have run")]
    Timeout,
    /// The upstream answered an error after it may have run the call.
    #[error("upstream answered status {status}: it may have run")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The upstream's answer could not be read.
    #[error("upstream's answer is malformed ({reason}): check its version")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

impl UpstreamError {
    /// Whether it is proved that the call did not run.
    pub const fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::Fenced | Self::NotRun { .. } | Self::Overloaded | Self::Refused
        )
    }
}
