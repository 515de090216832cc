//! The core of a daemon, which combines all components.

mod cluster_state;
mod core;
mod early_messages;
mod operators;
mod peers;
mod propagation;
mod settings;
mod shutdown;
mod ticks;

pub use self::core::Daemon;
pub use settings::{ComponentSettings, DaemonSettings};
