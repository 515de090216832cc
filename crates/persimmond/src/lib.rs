//! The daemon: one control thread that owns the core's state, and traffic threads round it.

mod clock;
mod control;
mod control_core;
mod daemon;
mod errors;
mod parts;
mod pool;

pub use clock::Clock;
pub use control_core::ControlCore;
pub use daemon::{Addresses, Daemon, DaemonHandle};
pub use errors::StartError;
pub use parts::{CoreSeed, MakeCore, OpenLink, Parts};
