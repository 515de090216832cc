//! Callers: a balancer's choice of a daemon, one call, and what came of it.

mod balancer;
mod call;
mod pool;
mod sample;

pub use balancer::Balancer;
pub use call::{Caller, CallerSettings};
pub use pool::{run, RunSettings};
pub use sample::{End, Sample};
