//! Assignment of upstreams to owning daemons, with fencing.

mod fencing_source;
#[allow(clippy::module_inception)]
mod ownership;
mod ownership_change;
mod rendezvous;
mod settings;

pub use ownership::Ownership;
pub use ownership_change::OwnershipChange;
pub use rendezvous::rendezvous_owner;
pub use settings::{OwnershipSettings, RawOwnershipSettings};
