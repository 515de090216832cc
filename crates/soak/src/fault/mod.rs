//! Faults that come from outside, and when.

mod inject;
mod schedule;

pub(crate) use inject::inject;
pub use schedule::{schedule, Fault, Moment};
