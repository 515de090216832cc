//! Which daemon owns which upstream.

mod ownership_change;

pub use ownership_change::OwnershipChange;
