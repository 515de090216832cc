//! What all HTTP clients of the daemon share.

use minreq::{Method, Response};

/// What `minreq` says where the connection ended before any status line came.
const NO_STATUS_REASON: &str = "Server did not provide a status line";

/// Whether the answer is `minreq`'s stand-in for a connection that ended without an answer.
pub(crate) fn has_no_status(status: u16, reason: &str) -> bool {
    status == 503 && reason == NO_STATUS_REASON
}

/// Whether the body is shorter than its stated length, or is JSON that breaks off.
pub(crate) fn is_truncated(answer: &Response) -> bool {
    if let Some(length) = answer.header("content-length") {
        return length.trim().parse() != Ok(answer.as_bytes().len());
    }
    // `minreq` does not tell a finished chunked body from one that broke off.
    let is_json = answer
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("application/json"));
    is_json && serde_json::from_slice::<serde::de::IgnoredAny>(answer.as_bytes()).is_err()
}

/// An HTTP method by name.
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
