//! Listens for HTTP connections with bounds that `tiny_http` does not set itself.

mod disconnects;
mod http_listener;

pub(crate) use disconnects::DisconnectDetector;
pub use http_listener::HttpListener;
