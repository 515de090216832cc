//! What a daemon says of itself in its heartbeats.

use crate::{ids::Generation, message::OwnerSummary};

/// What a daemon says of itself in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// The generation it applies.
    pub generation: Generation,
    /// What its upstreams can take.
    pub summary: OwnerSummary,
    /// Whether it leaves.
    pub leaving: bool,
}
