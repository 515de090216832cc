//! Listens for operators.

use super::{OperatorCallError, OperatorDesk};
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

/// Largest command: a whole configuration must fit.
const COMMAND_MAX_BYTES: usize = 16 << 20;

/// Longest gap between two reads or writes.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a reply. A confirm waits for the fleet.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves operators.
#[derive(Debug)]
pub struct OperatorServer {
    listener: HttpListener,
}

impl OperatorServer {
    /// Listens on `address` and serves until it is stopped.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(
        address: SocketAddr,
        token: OperatorToken,
        desk: Arc<OperatorDesk>,
    ) -> io::Result<Self> {
        let serve = move |request| serve(request, &token, &desk);
        let listener = HttpListener::start(address, IO_TIMEOUT, serve)?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Takes no more calls.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

fn serve(mut request: Request, token: &OperatorToken, desk: &OperatorDesk) {
    let (status, body) = match answer(&mut request, token, desk) {
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
    // An operator who is gone needs no answer.
    let _ = request.respond(response);
}

fn answer(
    request: &mut Request,
    token: &OperatorToken,
    desk: &OperatorDesk,
) -> Result<OperatorReply, OperatorCallError> {
    let shown = header(request, "Authorization").unwrap_or_default();
    let shown = shown.strip_prefix("Bearer ").unwrap_or_default();
    if !token.admits(shown) {
        return Err(OperatorCallError::Unauthorized);
    }
    if *request.method() != Method::Post || request.url() != "/operator" {
        return Err(OperatorCallError::UnknownPath);
    }
    let name = header(request, "X-Operator").ok_or(OperatorCallError::NoOperator)?;
    let operator: OperatorName = name.parse()?;
    let command = command(request)?;
    let (call, reply) = desk.ask(operator, command);
    let reply = reply.recv_timeout(REPLY_TIMEOUT);
    desk.forget(call);
    reply.map_err(|_| OperatorCallError::Timeout)
}

fn command(request: &mut Request) -> Result<OperatorCommand, OperatorCallError> {
    let max_bytes = COMMAND_MAX_BYTES;
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut body);
    let reason = |error: &dyn fmt::Display| OperatorCallError::Command {
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
