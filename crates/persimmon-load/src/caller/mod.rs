//! Callers: the load balancer, single calls with their verification, and the thread pool.

mod client;
mod load_balancer;
mod pool;
mod sample;

pub use client::{Caller, CallerSettings};
pub use load_balancer::LoadBalancer;
pub use pool::{run, RunSettings};
pub use sample::{CallResult, Sample};
