//! Model placement: each owner loads and unloads models on its engines as the configuration
//! requires.

mod engine_state;
#[allow(clippy::module_inception)]
mod placement;
mod settings;

pub use placement::Placement;
pub use settings::{PlacementSettings, RawPlacementSettings};
