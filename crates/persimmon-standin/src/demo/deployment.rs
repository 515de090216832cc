//! A deployment as it is written, and its check.

use crate::{
    engine::{EngineFields, EngineSettings},
    errors::require,
    platform::{PlatformFields, PlatformSettings},
    service::{ServiceFields, ServiceSettings},
    StandinError,
};
use persimmon_core::{
    config::ModelConfig,
    ids::{FailureDomain, ModelVersion, ServiceName, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, ops::Deref};

/// Most upstreams or VMs of one failure domain of a demo.
const DOMAIN_MAX_COUNT: u32 = 100;

/// The example that is built in.
const EXAMPLE: &str = include_str!("../../../../examples/jadeleaf.json");

/// A checked deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment(DeploymentFields);

/// A deployment as it is written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFields {
    /// The region of all failure domains.
    pub region: String,
    /// The failure domains with their VMs and upstreams.
    pub domains: BTreeMap<FailureDomain, DomainFields>,
    /// The models and their engines.
    pub models: BTreeMap<ModelVersion, ModelFields>,
    /// The plain services.
    pub services: BTreeMap<ServiceName, ServiceGroupFields>,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceFields>,
    /// The platform.
    #[serde(default)]
    pub platform: PlatformFields,
}

/// What one failure domain holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainFields {
    /// Entry VMs, one daemon each.
    pub daemons_count: u32,
    /// Engines, by the model that they hold at the start.
    #[serde(default)]
    pub engines_count: BTreeMap<ModelVersion, u32>,
    /// Servers, by plain service.
    #[serde(default)]
    pub servers_count: BTreeMap<ServiceName, u32>,
}

/// A model and the engines that hold it at the start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelFields {
    /// The model as the configuration describes it.
    pub model: ModelConfig,
    /// Its engines.
    #[serde(default)]
    pub engine: EngineFields,
}

/// A plain service and its servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroupFields {
    /// Most calls at one server at a time, as the configuration has it.
    pub max_in_flight_requests: u32,
    /// Its servers.
    #[serde(default)]
    pub server: ServiceFields,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceFields {
    /// Share of the capacity against other workspaces, from 1.
    pub weight_count: u32,
}

impl Deployment {
    /// The example that a demo runs where no other is named.
    ///
    /// # Errors
    ///
    /// The example that was built in is malformed.
    pub fn example() -> Result<Self, StandinError> {
        let fields: Result<DeploymentFields, _> = serde_json::from_str(EXAMPLE);
        let fields = fields.map_err(|error| StandinError::File {
            file: "built-in example".into(),
            reason: error.to_string(),
        })?;
        Self::try_from(fields)
    }
}

impl TryFrom<DeploymentFields> for Deployment {
    type Error = StandinError;

    fn try_from(fields: DeploymentFields) -> Result<Self, StandinError> {
        for domain in fields.domains.values() {
            check_domain(domain, &fields)?;
        }
        for model in fields.models.values() {
            EngineSettings::try_from(model.engine.clone())?;
        }
        for service in fields.services.values() {
            ServiceSettings::try_from(service.server.clone())?;
        }
        for (workspace, config) in &fields.workspaces {
            let is_valid = config.weight_count >= 1;
            require(is_valid, "weight_count", workspace, "give 1 or more")?;
        }
        PlatformSettings::try_from(fields.platform.clone())?;
        Ok(Self(fields))
    }
}

fn check_domain(domain: &DomainFields, fields: &DeploymentFields) -> Result<(), StandinError> {
    let counts = domain
        .engines_count
        .values()
        .chain(domain.servers_count.values())
        .chain([&domain.daemons_count]);
    for &count in counts {
        let is_in_range = (1..=DOMAIN_MAX_COUNT).contains(&count);
        require(is_in_range, "domains", count, "give counts of 1 to 100")?;
    }
    for model in domain.engines_count.keys() {
        let is_known = fields.models.contains_key(model);
        require(is_known, "engines_count", model, "name one of `models`")?;
    }
    for service in domain.servers_count.keys() {
        let is_known = fields.services.contains_key(service);
        require(is_known, "servers_count", service, "name one of `services`")?;
    }
    Ok(())
}

impl Deref for Deployment {
    type Target = DeploymentFields;

    fn deref(&self) -> &DeploymentFields {
        &self.0
    }
}
