//! Which engine loads which model version, carried out by its owner.

#[allow(clippy::module_inception)]
mod placement;
mod settings;
mod site;

pub use placement::Placement;
pub use settings::{PlacementSettings, RawPlacementSettings};
