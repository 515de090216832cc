//! Changes of the configuration.

use super::{ChangeError, Configuration, PlacementRule, ServiceState, UpstreamKind};
use crate::ids::{
    AdapterName, FailureDomain, Generation, ModelVersion, OperatorName, PlanId, UpstreamId,
    WorkspaceId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replace everything: the first generation of a deployment.
    Replace(Box<Configuration>),
    /// Take a failure domain out of service or bring it back.
    SetDomainState {
        /// The failure domain.
        domain: FailureDomain,
        /// The new state.
        state: ServiceState,
    },
    /// Take an upstream out of service or bring it back.
    SetUpstreamState {
        /// The upstream.
        upstream: UpstreamId,
        /// The new state.
        state: ServiceState,
    },
    /// Let a model version serve workspaces in failure domains.
    Serve(PlacementRule),
    /// Set the adapters that are loaded beside a model version.
    SetAdapters {
        /// The model's version.
        model: ModelVersion,
        /// All its adapters from now on.
        adapters: BTreeSet<AdapterName>,
    },
    /// Set a workspace's weight.
    SetWorkspaceWeight {
        /// The workspace.
        workspace: WorkspaceId,
        /// The new weight, from 1.
        weight_count: u32,
    },
}

/// A confirmed change: one record of the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The generation that it makes.
    pub generation: Generation,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// Who confirmed it.
    pub operator: OperatorName,
    /// When, in milliseconds since the epoch, by the confirming daemon's clock.
    pub confirmed_unix_ms: u64,
    /// What changes.
    pub change: Change,
}

impl Change {
    /// The configuration with this change, as generation `generation`.
    ///
    /// # Errors
    ///
    /// Names what the change refers to and the configuration lacks.
    pub fn apply(
        &self,
        base: &Configuration,
        generation: Generation,
    ) -> Result<Configuration, ChangeError> {
        let mut next = base.clone();
        match self {
            Self::Replace(whole) => next = check_whole(whole)?,
            Self::SetDomainState { domain, state } => {
                let entry = next.domains.get_mut(domain);
                entry
                    .ok_or_else(|| ChangeError::UnknownDomain(domain.clone()))?
                    .state = *state;
            }
            Self::SetUpstreamState { upstream, state } => {
                let entry = next.upstreams.get_mut(upstream);
                entry
                    .ok_or_else(|| ChangeError::UnknownUpstream(upstream.clone()))?
                    .state = *state;
            }
            Self::Serve(rule) => {
                check_rule(rule, &next)?;
                next.placement.push(rule.clone());
            }
            Self::SetAdapters { model, adapters } => {
                let entry = next.models.get_mut(model);
                entry
                    .ok_or_else(|| ChangeError::UnknownModel(model.clone()))?
                    .adapters
                    .clone_from(adapters);
            }
            Self::SetWorkspaceWeight {
                workspace,
                weight_count,
            } => {
                let entry = next.workspaces.get_mut(workspace);
                let entry =
                    entry.ok_or_else(|| ChangeError::UnknownWorkspace(workspace.clone()))?;
                entry.weight_count = *weight_count;
                check_weight(workspace, *weight_count)?;
            }
        }
        next.generation = generation;
        Ok(next)
    }
}

fn check_weight(workspace: &WorkspaceId, weight_count: u32) -> Result<(), ChangeError> {
    match weight_count {
        0 => Err(ChangeError::ZeroWeight(workspace.clone())),
        _ => Ok(()),
    }
}

fn check_rule(rule: &PlacementRule, config: &Configuration) -> Result<(), ChangeError> {
    if !config.models.contains_key(&rule.model) {
        return Err(ChangeError::UnknownModel(rule.model.clone()));
    }
    if let Some(domain) = rule
        .domains
        .iter()
        .find(|d| !config.domains.contains_key(*d))
    {
        return Err(ChangeError::UnknownDomain(domain.clone()));
    }
    match rule
        .workspaces
        .iter()
        .find(|w| !config.workspaces.contains_key(*w))
    {
        Some(workspace) => Err(ChangeError::UnknownWorkspace(workspace.clone())),
        None => Ok(()),
    }
}

fn check_whole(whole: &Configuration) -> Result<Configuration, ChangeError> {
    for upstream in whole.upstreams.values() {
        if !whole.domains.contains_key(&upstream.domain) {
            return Err(ChangeError::UnknownDomain(upstream.domain.clone()));
        }
        if let UpstreamKind::Service(service) = &upstream.kind {
            if !whole.services.contains_key(service) {
                return Err(ChangeError::UnknownService(service.clone()));
            }
        }
    }
    for (workspace, config) in &whole.workspaces {
        check_weight(workspace, config.weight_count)?;
    }
    for rule in &whole.placement {
        check_rule(rule, whole)?;
    }
    Ok(whole.clone())
}
