//! Input and output of a daemon: callers, operators, upstreams, the platform, peers, settings and
//! logs.
//!
//! External systems are called through traits with one production implementation each; tests
//! provide their own.

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
pub use http_client_util::is_final_status;
