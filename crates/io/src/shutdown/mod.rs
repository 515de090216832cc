//! Handles the signals that ask the process to stop.

mod signals;

pub use signals::{SignalHandler, StopSignals};
