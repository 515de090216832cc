//! Errors of attempts at upstreams.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error of an attempt or an order at an upstream.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum UpstreamError {
    /// The connection was refused before any byte was sent: the call did not run.
    #[error("connection refused before any byte was sent: check that the upstream is up")]
    Refused,
    /// The upstream reported that it did not run the call.
    #[error("upstream did not run it: {reason}; try another upstream")]
    NotRun {
        /// Reason given by the upstream.
        reason: String,
    },
    /// The upstream has seen a higher fencing number and did not run the call.
    #[error("upstream refused an old fencing number: ask its present owner")]
    Fenced,
    /// The upstream is overloaded and did not run the call.
    #[error("upstream is overloaded: send it less")]
    Overloaded,
    /// The connection broke after bytes were sent: the call may have run.
    #[error("connection broke after the call was sent: it may have run")]
    Broken,
    /// The upstream sent nothing before the time-out: the call may have run.
    #[error("nothing came from the upstream in time: it may have run")]
    Timeout,
    /// The upstream returned an error status: the call may have run.
    #[error("upstream answered status {status}: it may have run")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The upstream's answer could not be parsed.
    #[error("upstream's answer is malformed ({reason}): check its version")]
    Malformed {
        /// Description of the defect.
        reason: String,
    },
}

impl UpstreamError {
    /// Whether the error proves that the call did not run, so that a retry is safe for any call.
    pub const fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::Fenced | Self::NotRun { .. } | Self::Overloaded | Self::Refused
        )
    }
}
