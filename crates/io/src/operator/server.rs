//! HTTP server for operators' commands.

use super::{OperatorCallError, OperatorCalls};
use crate::{listener::HttpListener, settings::OperatorToken};
use persimmon_core::{
    ids::OperatorName,
    operator::{OperatorCommand, OperatorReply},
};
use serde_json::json;
use std::{
    fmt,
    io::{self, Read},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tiny_http::{Header, Method, Request, Response};

/// Largest body of a command; a command may carry a whole configuration.
const COMMAND_MAX_BYTES: usize = 16 << 20;

/// Time-out of one read or write on a connection.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a reply. The reply to `confirm` waits for the other daemons of the fleet.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP server for operators' commands.
#[derive(Debug)]
pub struct OperatorServer {
    listener: HttpListener,
}

impl OperatorServer {
    /// Binds `address` and serves until [`stop`](Self::stop) is called.
    ///
    /// # Errors
    ///
    /// `address` can't be bound.
    pub fn start(
        address: SocketAddr,
        token: OperatorToken,
        calls: Arc<OperatorCalls>,
    ) -> io::Result<Self> {
        let serve = move |request| serve(request, &token, &calls);
        let listener = HttpListener::start(address, IO_TIMEOUT, serve)?;
        Ok(Self { listener })
    }

    /// The address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts no more calls.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

fn serve(mut request: Request, token: &OperatorToken, calls: &OperatorCalls) {
    let (status, body) = match answer(&mut request, token, calls) {
        Ok(reply) => (200, json!(reply)),
        Err(error) => (
            error.status(),
            json!({"error": {"message": error.to_string()}}),
        ),
    };
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A failed write means that the operator has disconnected; nobody is left to answer.
    let _ = request.respond(response);
}

fn answer(
    request: &mut Request,
    token: &OperatorToken,
    calls: &OperatorCalls,
) -> Result<OperatorReply, OperatorCallError> {
    let authorization = header(request, "Authorization").unwrap_or_default();
    let bearer = authorization.strip_prefix("Bearer ").unwrap_or_default();
    if !token.matches(bearer) {
        return Err(OperatorCallError::Unauthorized);
    }
    if *request.method() != Method::Post || request.url() != "/operator" {
        return Err(OperatorCallError::UnknownPath);
    }
    let name = header(request, "X-Operator").ok_or(OperatorCallError::MissingOperator)?;
    let operator: OperatorName = name.parse()?;
    let command = command(request)?;
    let (call, reply) = calls.submit(operator, command);
    let reply = reply.recv_timeout(REPLY_TIMEOUT);
    calls.remove(call);
    reply.map_err(|_| OperatorCallError::Timeout)
}

fn command(request: &mut Request) -> Result<OperatorCommand, OperatorCallError> {
    let max_bytes = COMMAND_MAX_BYTES;
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut body);
    let reason = |error: &dyn fmt::Display| OperatorCallError::InvalidCommand {
        reason: error.to_string(),
    };
    read.map_err(|error| reason(&error))?;
    if body.len() > max_bytes {
        return Err(OperatorCallError::TooLarge { max_bytes });
    }
    serde_json::from_slice(&body).map_err(|error| reason(&error))
}

fn header(request: &Request, name: &str) -> Option<String> {
    let mut headers = request.headers().iter();
    let found = headers.find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.to_string())
}
