//! Helpers shared by the HTTP clients of the daemon.

use minreq::{Method, Response};

/// Reason phrase that `minreq` sets when the connection ends before a status line arrives.
const NO_STATUS_REASON: &str = "Server did not provide a status line";

/// Whether a response head is no answer: its status is not one of a final response, which `minreq` does not check, or
/// it is the placeholder that `minreq` returns for a connection that ended without a response.
pub(crate) fn is_no_answer(status: u16, reason: &str) -> bool {
    !is_final_status(status) || (status == 503 && reason == NO_STATUS_REASON)
}

/// Whether a status is one with which a server ends an exchange.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Whether the body differs from its stated length or, without one, is declared as JSON but does
/// not parse.
pub(crate) fn is_truncated(answer: &Response) -> bool {
    if let Some(length) = answer.header("content-length") {
        return length.trim().parse() != Ok(answer.as_bytes().len());
    }
    // `minreq` does not distinguish a complete chunked body from a truncated one.
    let is_json = answer
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("application/json"));
    is_json && serde_json::from_slice::<serde::de::IgnoredAny>(answer.as_bytes()).is_err()
}

/// Returns the HTTP method of a name.
pub(crate) fn method(name: &str) -> Method {
    match name {
        "DELETE" => Method::Delete,
        "GET" => Method::Get,
        "HEAD" => Method::Head,
        "OPTIONS" => Method::Options,
        "PATCH" => Method::Patch,
        "POST" => Method::Post,
        "PUT" => Method::Put,
        other => Method::Custom(other.into()),
    }
}
