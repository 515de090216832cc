//! Log output as JSON lines or plain text, with one line for each decision of the core.

mod line;
mod queue;
mod setup;

pub use line::LogLine;
pub use queue::QueueAppend;
pub use setup::{layout, start, start_on_stdout, LogError};
