//! The state that a daemon reports in its heartbeats.

use crate::{config::Configuration, ids::Generation, message::CapacitySummary};
use std::sync::Arc;

/// The state that a daemon reports about itself in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// The configuration generation that the daemon applies.
    pub generation: Generation,
    /// Free capacity of the upstreams that the daemon owns.
    pub summary: CapacitySummary,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// The configuration in force, which resolves the hashed names in encoded summaries.
    pub config: Arc<Configuration>,
}
