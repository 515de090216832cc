//! Deployments: fleets of daemons and stand-ins that one file describes.

mod daemons;
mod deployment;
mod errors;
mod fleet;
mod layout;
mod vms;

pub use deployment::{
    Deployment, DeploymentFields, DomainFields, ModelFields, ServiceGroupFields, WorkspaceFields,
};
pub use errors::DemoError;
pub use fleet::{Fleet, DEMO_TOKEN};
pub use layout::{UpstreamSlot, UpstreamSlotKind, VmSlot};
