//! Intents.

use crate::{
    config::{Configuration, PlacementRule},
    ids::{AdapterName, FailureDomain, ModelVersion, UpstreamId, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an operator wants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Take a failure domain out of service.
    DrainDomain(FailureDomain),
    /// Bring a failure domain back.
    ReturnDomain(FailureDomain),
    /// Take an upstream out of service.
    DrainUpstream(UpstreamId),
    /// Bring an upstream back.
    ReturnUpstream(UpstreamId),
    /// Let a model version serve workspaces in failure domains.
    Serve(PlacementRule),
    /// Set a workspace's weight.
    SetWeight {
        /// The workspace.
        workspace: WorkspaceId,
        /// The weight, from 1.
        weight_count: u32,
    },
    /// Set the adapters that are loaded beside a model version.
    SetAdapters {
        /// The model's version.
        model: ModelVersion,
        /// All its adapters from now on.
        adapters: BTreeSet<AdapterName>,
    },
    /// Replace the whole configuration: the first one, or a change of the inventory.
    Replace(Box<Configuration>),
}
