//! Errors of the configuration.

use crate::ids::{FailureDomain, ModelVersion, ServiceName, UpstreamId, WorkspaceId};
use thiserror::Error;

/// Why a change can't be applied to a configuration.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// No such failure domain.
    #[error("no failure domain {0}: `persimmonctl fleet` lists them")]
    UnknownDomain(FailureDomain),
    /// No such model version.
    #[error("no model version {0}: add it to the configuration first")]
    UnknownModel(ModelVersion),
    /// No such service.
    #[error("no service {0}: add it to the configuration first")]
    UnknownService(ServiceName),
    /// No such upstream.
    #[error("no upstream {0}: `persimmonctl fleet` lists them")]
    UnknownUpstream(UpstreamId),
    /// No such workspace.
    #[error("no workspace {0}: `persimmonctl config show` lists them")]
    UnknownWorkspace(WorkspaceId),
    /// A weight is zero.
    #[error("workspace {0} would have weight 0: give 1 or more")]
    ZeroWeight(WorkspaceId),
}
