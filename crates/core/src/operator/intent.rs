//! Changes that operators request.

use crate::{
    config::{Configuration, PlacementRule},
    ids::{AdapterName, FailureDomain, ModelVersion, UpstreamId, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A change that an operator requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Takes a failure domain out of service.
    DrainDomain(FailureDomain),
    /// Returns a failure domain to service.
    ReturnDomain(FailureDomain),
    /// Takes an upstream out of service.
    DrainUpstream(UpstreamId),
    /// Returns an upstream to service.
    ReturnUpstream(UpstreamId),
    /// Appends a placement rule: a model version serves workspaces in failure domains.
    Serve(PlacementRule),
    /// Sets the scheduling weight of a workspace.
    SetWeight {
        /// The workspace.
        workspace: WorkspaceId,
        /// The weight, at least 1.
        weight_count: u32,
    },
    /// Replaces the set of adapters that are loaded with a model version.
    SetAdapters {
        /// The model version.
        model: ModelVersion,
        /// The complete new set of adapters.
        adapters: BTreeSet<AdapterName>,
    },
    /// Replaces the whole configuration. Used for the first configuration and for inventory
    /// changes.
    Replace(Box<Configuration>),
}
