//! A listener that serves each request on a thread of its own.

use crate::StandinError;
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};
use tiny_http::{Request, Server};

/// Number of retries to bind a port that is in use.
const BIND_ATTEMPTS: u32 = 50;
/// Delay between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A listener whose port closes when the listener is stopped or dropped.
pub struct Listener {
    address: SocketAddr,
    server: Option<Arc<Server>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on `address` and calls `serve` for each request, on a thread of its own.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start<F>(address: SocketAddr, serve: F) -> Result<Self, StandinError>
    where
        F: Fn(Request) + Send + Sync + 'static,
    {
        let failed = |reason: String| StandinError::Listen {
            address: address.to_string(),
            reason,
        };
        let server = bind(address).map_err(failed)?;
        let bound = server.server_addr().to_ip();
        let bound = bound.ok_or_else(|| failed("no IP address".into()))?;
        let server = Arc::new(server);
        let accepting = server.clone();
        let serve = Arc::new(serve);
        let thread = thread::spawn(move || accept(&accepting, &serve));
        Ok(Self {
            address: bound,
            server: Some(server),
            thread: Some(thread),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, so that new connections are refused.
    pub fn stop(&mut self) {
        if let Some(server) = self.server.take() {
            server.unblock();
            if let Some(thread) = self.thread.take() {
                // A panic of the accept thread has already been printed.
                let _ = thread.join();
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds an address. Retries for 1 s if the previous listener has not closed the port yet.
fn bind(address: SocketAddr) -> Result<Server, String> {
    let mut left_attempts = BIND_ATTEMPTS;
    loop {
        match Server::http(address) {
            Ok(server) => return Ok(server),
            Err(error) if left_attempts == 0 || address.port() == 0 => {
                return Err(error.to_string())
            }
            Err(_) => left_attempts -= 1,
        }
        thread::sleep(BIND_PAUSE);
    }
}

fn accept<F>(server: &Server, serve: &Arc<F>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    while let Ok(request) = server.recv() {
        let serve = serve.clone();
        thread::spawn(move || serve(request));
    }
}
