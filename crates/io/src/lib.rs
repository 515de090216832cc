//! The borders of a daemon: callers, operators, upstreams, the platform, peers, settings and logs.
//!
//! Each border is a trait with one implementation for real use; tests bring their own.

mod http_client_util;

mod clock;

pub mod http;
pub mod link;
pub mod listener;
pub mod logs;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod shutdown;
pub mod telemetry;
pub mod traffic;
pub mod transport;
pub mod upstream;

pub use clock::BootClock;
