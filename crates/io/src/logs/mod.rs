//! Logs: JSON lines or text on standard error, one line for each decision of the core.

mod line;
mod setup;

pub use line::LogLine;
pub use setup::{layout, start, LogError};
