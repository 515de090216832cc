//! One daemon's core: all parts, joined.

mod core;
mod known;
mod operators;
mod peers;
mod settings;
mod settle;
mod shutdown;
mod strangers;
mod ticks;

pub use self::core::Daemon;
pub use settings::{ComponentSettings, DaemonSettings};
