//! The gateway for the platform: a control thread that owns the dispatcher, and a traffic
//! thread that forwards requests.

mod adapter;
mod control;
mod errors;
mod meter;
mod peers;
mod run;
mod signals;
mod traffic;

pub use adapter::Adapter;
pub use errors::GatewayError;
pub use run::{run, GatewayArgs};
