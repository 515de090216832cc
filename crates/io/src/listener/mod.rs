//! Listens for HTTP connections with bounds that `tiny_http` does not set itself.

mod departures;
mod http_listener;

pub(crate) use departures::Departures;
pub use http_listener::HttpListener;
