//! Serialised form and validation of deployments.

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

/// Maximum number of VMs, or of upstreams of one kind, in a failure domain.
const DOMAIN_MAX_COUNT: u32 = 100;

/// The built-in example.
const EXAMPLE: &str = include_str!("../../../../examples/jadeleaf.json");

/// A validated deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment(DeploymentFields);

/// A deployment as it is serialised.
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

/// Contents of one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainFields {
    /// Number of entry VMs, each with one daemon.
    pub daemons_count: u32,
    /// Number of engines, by the model that is loaded at the start.
    #[serde(default)]
    pub engines_count: BTreeMap<ModelVersion, u32>,
    /// Number of servers, by plain service.
    #[serde(default)]
    pub servers_count: BTreeMap<ServiceName, u32>,
}

/// A model and the engines that have it loaded at the start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelFields {
    /// Configuration of the model.
    pub model: ModelConfig,
    /// Settings of the model's engines.
    #[serde(default)]
    pub engine: EngineFields,
}

/// A plain service and its servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroupFields {
    /// Maximum number of concurrent calls at one server, as configured in the daemons.
    pub max_in_flight_requests: u32,
    /// Settings of the service's servers.
    #[serde(default)]
    pub server: ServiceFields,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceFields {
    /// Weight of the workspace in the sharing of capacity, 1 or more.
    pub weight_count: u32,
}

impl Deployment {
    /// Returns the built-in example, which the demo runs by default.
    ///
    /// # Errors
    ///
    /// The built-in example is malformed.
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
