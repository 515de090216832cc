//! Figures of a run.

mod report;
mod spans;
mod system_use;
mod thread_times;

pub use report::{ClassReport, RunReport};
pub use spans::{SpanReport, Spans};
pub use system_use::{SystemUse, UseMeter};
pub use thread_times::{thread_times, ThreadTimes};
