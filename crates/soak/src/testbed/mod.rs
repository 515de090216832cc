//! The deployment under test: real gateway processes, with stand-ins for the store and the upstreams,
//! and proxies for the links.

mod catalog;
mod daemon;
mod deployment;
mod misbehavior;
mod no_answer;
mod proxy;
mod response_framing;
mod store;
mod upstream;

pub(crate) use catalog::{CatalogWriter, HOST, ROUTES};
pub use daemon::DaemonLimits;
pub(crate) use daemon::{Daemon, DispatchOptions, Signal};
pub(crate) use deployment::{domain, Deployment, DeploymentSize};
pub use misbehavior::{ExtraBytes, ExtraTime, Misbehavior, EXTRA_BYTES};
pub(crate) use proxy::{Link, Proxy};
pub(crate) use store::StoreMode;
pub(crate) use upstream::{GreyFailure, RestartableUpstream};

/// Requests per second that a cold upstream accepts, as the catalog states it.
pub(crate) const COLD_PER_S: f64 = 12.0;
