//! The configuration that operators set, and each daemon's replicated copy of it.

mod change;
mod configuration;
mod errors;
mod history;
mod poll_schedule;
pub(crate) mod rows;
mod settings;
mod store;

pub use change::{Change, ChangeRecord};
pub use configuration::{
    Configuration, DomainConfig, EngineConfig, ModelConfig, PlacementRule, ServiceConfig,
    ServiceState, UpstreamConfig, UpstreamKind, WorkspaceConfig,
};
pub use errors::ChangeError;
pub use settings::{ConfigSettings, RawConfigSettings};
pub use store::ConfigStore;
