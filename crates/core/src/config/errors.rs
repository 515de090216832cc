//! Errors of configuration changes.

use crate::ids::{FailureDomain, ModelVersion, ServiceName, UpstreamId, WorkspaceId};
use thiserror::Error;

/// The reason why a change cannot be applied to a configuration.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The change refers to a failure domain that is not configured.
    #[error("no failure domain {0}: `persimmonctl fleet` lists them")]
    UnknownDomain(FailureDomain),
    /// The change refers to a model version that is not configured.
    #[error("no model version {0}: add it to the configuration first")]
    UnknownModel(ModelVersion),
    /// An upstream refers to a service that is not configured.
    #[error("no service {0}: add it to the configuration first")]
    UnknownService(ServiceName),
    /// The change refers to an upstream that is not configured.
    #[error("no upstream {0}: `persimmonctl fleet` lists them")]
    UnknownUpstream(UpstreamId),
    /// The change refers to a workspace that is not configured.
    #[error("no workspace {0}: `persimmonctl config show` lists them")]
    UnknownWorkspace(WorkspaceId),
    /// The change gives a workspace weight 0.
    #[error("workspace {0} would have weight 0: give 1 or more")]
    ZeroWeight(WorkspaceId),
}
