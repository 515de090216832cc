//! Listens for HTTP connections with bounds that `tiny_http` does not set itself.

mod http_listener;

pub use http_listener::HttpListener;
