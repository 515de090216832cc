//! Clients that don't behave, and what a process takes while they are at work.

mod script;
mod unruly;
mod usage;

pub use script::Script;
pub use unruly::Crowd;
pub use usage::{Usage, UsageWatch};
