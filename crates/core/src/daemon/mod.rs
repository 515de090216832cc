//! One daemon's core: all parts, joined.

mod core;
mod known;
mod operators;
mod settings;
mod strangers;

pub use self::core::Daemon;
pub use settings::{DaemonSettings, PartSettings};
