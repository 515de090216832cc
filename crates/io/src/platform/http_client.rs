//! HTTP client of the platform's services.

use super::PlatformClient;
use crate::http_client_util;
use minreq::{Error, Method, Request};
use persimmon_core::platform::{ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord};
use serde::{de::DeserializeOwned, Serialize};
use std::{io::ErrorKind, net::SocketAddr};

/// Time-out of one call, in seconds.
const CALL_TIMEOUT_S: u64 = 3;

/// Calls the platform's services over HTTP with `minreq`.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// A client of the platform at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    fn post<T: Serialize>(&self, path: &str, op: &T) -> Result<TableAnswer, PlatformError> {
        let body = serde_json::to_vec(op).map_err(|error| PlatformError::Refused {
            reason: error.to_string(),
        })?;
        let request = self
            .request(Method::Post, path)
            .with_header("Content-Type", "application/json");
        call(request.with_body(body))
    }

    fn request(&self, method: Method, path: &str) -> Request {
        Request::new(method, format!("http://{}{path}", self.address))
            .with_follow_redirects(false)
            .with_timeout(CALL_TIMEOUT_S)
    }
}

impl PlatformClient for HttpPlatform {
    fn table(&self, op: &TableOp) -> Result<TableAnswer, PlatformError> {
        let is_write = matches!(op, TableOp::Transact { .. });
        self.post("/table", op)
            .map_err(|error| lost_read_as_unavailable(error, is_write))
    }

    fn object(&self, op: &ObjectOp) -> Result<TableAnswer, PlatformError> {
        let is_write = matches!(op, ObjectOp::Put { .. });
        self.post("/objects", op)
            .map_err(|error| lost_read_as_unavailable(error, is_write))
    }

    fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        call(self.request(Method::Get, "/vms"))
            .map_err(|error| lost_read_as_unavailable(error, false))
    }
}

/// Maps `AnswerLost` of a read to `Unavailable`: a read has no effect, so it may be repeated.
fn lost_read_as_unavailable(error: PlatformError, is_write: bool) -> PlatformError {
    match error {
        PlatformError::AnswerLost if !is_write => PlatformError::Unavailable,
        other => other,
    }
}

fn call<T: DeserializeOwned>(request: Request) -> Result<T, PlatformError> {
    let answer = request.send().map_err(|error| transport_error(&error))?;
    if http_client_util::is_no_answer(answer.status_code, &answer.reason_phrase)
        || http_client_util::is_truncated(&answer)
    {
        return Err(PlatformError::AnswerLost);
    }
    match answer.status_code {
        200 => {
            let parsed = serde_json::from_slice(answer.as_bytes());
            parsed.map_err(|_| PlatformError::AnswerLost)
        }
        503 => Err(PlatformError::Unavailable),
        status @ 400..=499 => Err(PlatformError::Refused {
            reason: format!("status {status}"),
        }),
        _ => Err(PlatformError::AnswerLost),
    }
}

fn transport_error(error: &Error) -> PlatformError {
    match error {
        Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            PlatformError::Unavailable
        }
        _ => PlatformError::AnswerLost,
    }
}
