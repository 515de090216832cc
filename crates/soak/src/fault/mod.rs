//! The faults that a soak injects, and their schedule.

mod inject;
mod schedule;

pub(crate) use inject::inject;
pub use schedule::{schedule, Fault, LinkLoss, ScheduledFault};
