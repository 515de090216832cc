//! A listener that serves each request on a thread of its own.

use crate::StandinError;
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};
use tiny_http::{Request, Server};

/// Further attempts to bind a port that is in use.
const BIND_ATTEMPTS: u32 = 50;
/// Pause between them.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A listener; its port closes when it is stopped or dropped.
pub struct Listener {
    address: SocketAddr,
    server: Option<Arc<Server>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on `address` and gives each request to `serve`.
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

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening: new connections are refused.
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

/// Binds an address; a port that its last listener has not closed yet gets some time.
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
