//! The daemon: one control thread that owns the core's state, and traffic threads that carry requests.

mod args;
mod clock;
mod control;
mod control_core;
mod daemon;
mod dependencies;
mod errors;
pub mod gateway;
mod meter;
mod pool;
mod run;

pub use args::Args;
pub use clock::Clock;
pub use control_core::ControlCore;
pub use daemon::{Addresses, Daemon, DaemonHandle, StopHandle};
pub use dependencies::{telemetry, CoreFactory, CoreInit, Dependencies, PeerLinkFactory};
pub use errors::StartError;
pub use run::run;
