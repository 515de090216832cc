//! Which daemon owns which upstream.

mod fencing;
#[allow(clippy::module_inception)]
mod ownership;
mod ownership_change;
mod rendezvous;
mod settings;

pub use ownership::Ownership;
pub use ownership_change::OwnershipChange;
pub use rendezvous::rendezvous;
pub use settings::{OwnershipSettings, RawOwnershipSettings};
