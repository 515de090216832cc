//! The registered upstreams, and which of them can receive new work.

mod record;
mod registry;

pub use record::{RecordError, Upstream, UpstreamIncarnation, UpstreamRecord};
pub use registry::{Fleet, SnapshotKind};
