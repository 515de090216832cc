//! Deployments: fleets of stand-ins described in one file.

mod deployment;
mod layout;

pub use deployment::{
    Deployment, DeploymentFields, DomainFields, ModelFields, ServiceGroupFields, WorkspaceFields,
};
pub use layout::{UpstreamSlot, UpstreamSlotKind, VmSlot};
