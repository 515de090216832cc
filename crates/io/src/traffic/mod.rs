//! Traffic threads: one per caller's request and one per attempt at an upstream.

mod attempt;
mod caller;
mod command;
mod hub;
mod id_source;
mod request_worker;

pub use caller::{Caller, CallerDisconnected};
pub use command::{ActionTarget, Command};
pub use hub::{Readiness, TrafficHub};
pub use id_source::IdSource;
pub use request_worker::RequestWorker;
