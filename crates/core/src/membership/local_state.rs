//! What a daemon says of itself in its heartbeats.

use crate::{config::Configuration, ids::Generation, message::OwnerSummary};
use std::sync::Arc;

/// What a daemon says of itself in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// The generation it applies.
    pub generation: Generation,
    /// What its upstreams can take.
    pub summary: OwnerSummary,
    /// Whether it leaves.
    pub leaving: bool,
    /// The configuration in force, which names what coded summaries speak of.
    pub config: Arc<Configuration>,
}
