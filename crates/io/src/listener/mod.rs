//! HTTP listener with timeouts and disconnect detection, which `tiny_http` lacks.

mod disconnects;
mod http_listener;

pub(crate) use disconnects::DisconnectDetector;
pub use http_listener::HttpListener;
