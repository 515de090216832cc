//! Listens for operators.

use super::{OperatorCallError, OperatorDesk};
use crate::settings::OperatorToken;
use persimmon_core::{
    ids::OperatorName,
    operator::{OperatorCommand, OperatorReply},
};
use serde_json::json;
use std::{
    fmt,
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tiny_http::{Header, Method, Request, Response, Server};

/// Largest command: a whole configuration must fit.
const COMMAND_MAX_BYTES: usize = 16 << 20;

/// Longest wait for a reply. A confirm waits for the fleet.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves operators.
pub struct OperatorServer {
    address: SocketAddr,
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl fmt::Debug for OperatorServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
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
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let stopped = Arc::new(AtomicBool::new(false));
        let accept = {
            let (server, stopped) = (Arc::clone(&server), Arc::clone(&stopped));
            move || {
                while !stopped.load(Ordering::Relaxed) {
                    if let Ok(request) = server.recv() {
                        let (desk, token) = (Arc::clone(&desk), token.clone());
                        thread::spawn(move || serve(request, &token, &desk));
                    }
                }
            }
        };
        Ok(Self {
            address,
            server,
            stopped,
            acceptor: Some(thread::spawn(accept)),
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more calls.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor has already been printed.
            let _ = acceptor.join();
        }
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.stop();
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
