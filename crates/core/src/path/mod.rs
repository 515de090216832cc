//! Paths from a daemon to upstreams: its own links, and relays by way of peers where a link is lost.

mod link_table;
mod relay_table;
mod upstream_path;

pub use link_table::{LinkChange, LinkTable};
pub use relay_table::{RelayOffer, RelayTable};
pub use upstream_path::{PathAttempt, PathAttempts, PathEnd, PathPlan, PathReport, UpstreamPath};
