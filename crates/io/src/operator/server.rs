//! HTTP server for operators' commands.

use super::{OperatorCallError, OperatorCalls};
use crate::{
    listener::{
        BodyLimits, BodyRefusal, HttpListener, ListenerLimits, Received, Responder, Service,
    },
    settings::OperatorToken,
};
use bytes::Bytes;
use http::{header, request::Parts, HeaderValue, Method, Response, StatusCode};
use persimmon_core::{
    ids::OperatorName,
    operator::{OperatorCommand, OperatorReply},
};
use serde_json::{json, Value};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Largest body of a command; a command may carry a whole configuration.
const COMMAND_MAX_BYTES: usize = 16 << 20;

/// Bytes of commands that are held at a time.
const COMMANDS_MAX_BYTES: usize = 2 * COMMAND_MAX_BYTES;

/// Longest head of a call.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Calls that are served at a time. Operators are few.
const CALLS_MAX_LEN: usize = 64;

/// Time limit for a head, and for a write to an operator that does not read.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a whole command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

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
        let limits = ListenerLimits {
            requests_max_len: CALLS_MAX_LEN,
            head_max_bytes: HEAD_MAX_BYTES,
            bodies_max_bytes: COMMANDS_MAX_BYTES,
            io_time: IO_TIMEOUT,
        };
        let listener = HttpListener::start(address, limits, CommandService { token, calls })?;
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

/// Serves operators' commands.
struct CommandService {
    token: OperatorToken,
    calls: Arc<OperatorCalls>,
}

impl Service for CommandService {
    type Open = ();

    fn open(&self) {}

    fn admit(&self, (): &(), head: &Parts) -> Result<BodyLimits, Box<Response<Bytes>>> {
        match self.operator(head) {
            Ok(_) => Ok(BodyLimits {
                max_bytes: COMMAND_MAX_BYTES,
                within: COMMAND_TIMEOUT,
            }),
            Err(error) => Err(Box::new(refusal(&error))),
        }
    }

    fn refusal(&self, (): &(), _: &Parts, refused: BodyRefusal) -> Response<Bytes> {
        let max_bytes = COMMAND_MAX_BYTES;
        let broken = |reason: &str| OperatorCallError::InvalidCommand {
            reason: reason.to_owned(),
        };
        refusal(&match refused {
            BodyRefusal::TooLong => OperatorCallError::TooLarge { max_bytes },
            BodyRefusal::TimedOut => broken("it did not arrive in time"),
            BodyRefusal::Truncated => broken("it broke off"),
            BodyRefusal::NoRoom => OperatorCallError::Busy,
        })
    }

    fn serve(&self, (): (), request: Received, responder: Responder) {
        let response = match self.answer(&request) {
            Ok(reply) => response(200, &json!(reply)),
            Err(error) => refusal(&error),
        };
        // A failed write means that the operator has disconnected; nobody is left to answer.
        let _ = responder.send(response);
    }
}

impl CommandService {
    /// The operator that sends a call, if its head is right.
    fn operator(&self, head: &Parts) -> Result<OperatorName, OperatorCallError> {
        let authorization = field(head, "authorization").unwrap_or_default();
        let bearer = authorization.strip_prefix("Bearer ").unwrap_or_default();
        if !self.token.matches(bearer) {
            return Err(OperatorCallError::Unauthorized);
        }
        if head.method != Method::POST || head.uri.path() != "/operator" {
            return Err(OperatorCallError::UnknownPath);
        }
        let name = field(head, "x-operator").ok_or(OperatorCallError::MissingOperator)?;
        Ok(name.parse()?)
    }

    fn answer(&self, request: &Received) -> Result<OperatorReply, OperatorCallError> {
        let operator = self.operator(&request.head)?;
        let command = serde_json::from_slice(&request.body);
        let command: OperatorCommand =
            command.map_err(|error| OperatorCallError::InvalidCommand {
                reason: error.to_string(),
            })?;
        let (call, reply) = self.calls.submit(operator, command);
        let reply = reply.recv_timeout(REPLY_TIMEOUT);
        self.calls.remove(call);
        reply.map_err(|_| OperatorCallError::Timeout)
    }
}

fn refusal(error: &OperatorCallError) -> Response<Bytes> {
    let message = error.to_string();
    response(error.status(), &json!({"error": {"message": message}}))
}

fn response(status: u16, body: &Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn field<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
