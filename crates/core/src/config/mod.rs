//! The configuration: what operators decide.

mod change;
mod configuration;
mod errors;

pub use change::{Change, ChangeRecord};
pub use configuration::{
    Configuration, DomainConfig, EngineConfig, ModelConfig, PlacementRule, ServiceConfig,
    ServiceState, UpstreamConfig, UpstreamKind, WorkspaceConfig,
};
pub use errors::ChangeError;
