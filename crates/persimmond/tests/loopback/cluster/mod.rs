//! Test cluster on loopback: fake platform, fake upstreams, real daemons.

pub(crate) mod client;
pub(crate) mod daemons;
pub(crate) mod load_generator;
pub(crate) mod platform;
pub(crate) mod process;
pub(crate) mod upstream;

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Request, Response, Server};

/// Longest wait of a test for any condition.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves each request on a separate thread until the test process ends.
pub(crate) fn serve(handle: impl Fn(Request) + Send + Sync + 'static) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(request));
        }
    });
    address
}

pub(crate) fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).unwrap();
    body
}

/// Answers with JSON. Errors are ignored, as the daemon may have closed the connection.
pub(crate) fn answer(request: Request, status: u16, value: &impl serde::Serialize) {
    let body = serde_json::to_string(value).unwrap();
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}

/// Waits until `check` succeeds. On timeout, panics with the last error of `check`.
pub(crate) fn wait<T>(what: &str, mut check: impl FnMut() -> Result<T, String>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        match check() {
            Ok(value) => return value,
            Err(error) => assert!(
                Instant::now() < deadline,
                "timed out waiting for {what}: {error}"
            ),
        }
        thread::sleep(Duration::from_millis(10));
    }
}
