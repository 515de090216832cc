//! Maps failures of HTTP calls to the upstream errors of the core.

use minreq::Error;
use persimmon_core::request::{Outcome, UpstreamError};
use serde::Deserialize;
use std::io::ErrorKind;

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Deserialize)]
struct ErrorFields {
    #[serde(default)]
    reason: String,
    outcome: Option<Outcome>,
}

/// Maps the failure of a call that got no HTTP response.
pub fn transport_error(error: &Error) -> UpstreamError {
    match error {
        // Only `connect` fails this way, so no byte of the request has been sent.
        Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => UpstreamError::Refused,
        Error::IoError(io) => io_error(io.kind()),
        other => UpstreamError::Malformed {
            reason: other.to_string(),
        },
    }
}

/// Maps the failure of reading a response.
pub(crate) fn io_error(kind: ErrorKind) -> UpstreamError {
    match kind {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => UpstreamError::Timeout,
        _ => UpstreamError::Broken,
    }
}

/// Maps a response with an error status. Only an explicit `not_run` proves that the call did not
/// run.
pub fn answer_error(status: u16, body: &[u8]) -> UpstreamError {
    let Ok(ErrorBody { error }) = serde_json::from_slice(body) else {
        return UpstreamError::Status { status };
    };
    match (status, error.reason.as_str(), error.outcome) {
        (409, "fenced", Some(Outcome::NotRun)) => UpstreamError::Fenced,
        (503, "overloaded", Some(Outcome::NotRun)) => UpstreamError::Overloaded,
        (_, _, Some(Outcome::NotRun)) => UpstreamError::NotRun {
            reason: error.reason,
        },
        _ => UpstreamError::Status { status },
    }
}
