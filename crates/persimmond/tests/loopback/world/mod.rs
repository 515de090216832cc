//! A small world on loopback: fake platform, fake upstreams, real daemons.

pub(crate) mod client;
pub(crate) mod daemons;
pub(crate) mod load;
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

/// Longest wait of a test for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Serves each request on a thread of its own, for as long as the test runs.
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

/// Answers with JSON. A daemon that is gone needs no answer.
pub(crate) fn answer(request: Request, status: u16, value: &impl serde::Serialize) {
    let body = serde_json::to_string(value).unwrap();
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}

/// Waits until `check` gives something; else it tells what it saw.
pub(crate) fn wait<T>(what: &str, mut check: impl FnMut() -> Result<T, String>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        match check() {
            Ok(found) => return found,
            Err(seen) => assert!(Instant::now() < until, "not in time: {what}: {seen}"),
        }
        thread::sleep(Duration::from_millis(10));
    }
}
