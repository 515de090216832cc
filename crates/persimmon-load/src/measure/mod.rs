//! Measurements of a run.

mod histogram;
mod report;
mod resource_usage;
mod thread_cpu_times;

pub use histogram::{DurationHistogram, Percentiles};
pub use report::{ClassReport, RunReport};
pub use resource_usage::{ResourceMeter, ResourceUsage};
pub use thread_cpu_times::{thread_cpu_times, ThreadCpuTimes};
