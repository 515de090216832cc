//! Callers: a balancer's choice of a daemon, one call, and what came of it.

mod client;
mod load_balancer;
mod pool;
mod sample;

pub use client::{Caller, CallerSettings};
pub use load_balancer::LoadBalancer;
pub use pool::{run, RunSettings};
pub use sample::{CallResult, Sample};
