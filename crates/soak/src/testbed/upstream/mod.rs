//! Stand-ins for upstreams: engines that stream, and plain servers.

mod grey_failure;
mod incarnation;
mod memory;
mod response;
mod restartable;
mod run_guard;
mod stream;

pub(crate) use grey_failure::GreyFailure;
pub(crate) use restartable::{RestartableUpstream, ENTRY_TTL};
