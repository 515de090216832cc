//! Configuration changes and how they apply to a configuration.

use super::{ChangeError, Configuration, PlacementRule, ServiceState, UpstreamKind};
use crate::ids::{
    AdapterName, FailureDomain, Generation, ModelVersion, OperatorName, PlanId, UpstreamId,
    WorkspaceId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A single configuration change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replaces the whole configuration; the first generation of a deployment is one of these.
    Replace(Box<Configuration>),
    /// Takes a failure domain out of service or returns it to service.
    SetDomainState {
        /// The failure domain.
        domain: FailureDomain,
        /// The new state.
        state: ServiceState,
    },
    /// Takes an upstream out of service or returns it to service.
    SetUpstreamState {
        /// The upstream.
        upstream: UpstreamId,
        /// The new state.
        state: ServiceState,
    },
    /// Appends a placement rule: a model version serves workspaces in failure domains.
    Serve(PlacementRule),
    /// Replaces the set of adapters that are loaded with a model version.
    SetAdapters {
        /// The model version.
        model: ModelVersion,
        /// The complete new set of adapters.
        adapters: BTreeSet<AdapterName>,
    },
    /// Sets the scheduling weight of a workspace.
    SetWorkspaceWeight {
        /// The workspace.
        workspace: WorkspaceId,
        /// The new weight, at least 1.
        weight_count: u32,
    },
}

/// A confirmed change, as stored in the change history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The generation that the change produces.
    pub generation: Generation,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// The operator who confirmed the plan.
    pub operator: OperatorName,
    /// Time of the confirmation in milliseconds since the Unix epoch, by the confirming daemon's
    /// clock.
    pub confirmed_unix_ms: u64,
    /// The change itself.
    pub change: Change,
}

impl Change {
    /// Returns `base` with this change applied, numbered `generation`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the entry which the change refers to and the configuration does
    /// not contain, or the workspace that would get weight 0.
    pub fn apply(
        &self,
        base: &Configuration,
        generation: Generation,
    ) -> Result<Configuration, ChangeError> {
        let mut next = base.clone();
        match self {
            Self::Replace(replacement) => next = check_replacement(replacement)?,
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

fn check_replacement(replacement: &Configuration) -> Result<Configuration, ChangeError> {
    for upstream in replacement.upstreams.values() {
        if !replacement.domains.contains_key(&upstream.domain) {
            return Err(ChangeError::UnknownDomain(upstream.domain.clone()));
        }
        if let UpstreamKind::Service(service) = &upstream.kind {
            if !replacement.services.contains_key(service) {
                return Err(ChangeError::UnknownService(service.clone()));
            }
        }
    }
    for (workspace, config) in &replacement.workspaces {
        check_weight(workspace, config.weight_count)?;
    }
    for rule in &replacement.placement {
        check_rule(rule, replacement)?;
    }
    Ok(replacement.clone())
}
