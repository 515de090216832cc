//! The upstreams that registered themselves, and which of them may get work.

mod record;
mod registry;

pub use record::{Upstream, UpstreamRecord};
pub use registry::Fleet;
