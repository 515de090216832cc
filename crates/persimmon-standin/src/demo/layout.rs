//! VMs, upstreams and configuration of a deployment.

use super::Deployment;
use crate::{
    engine::{EngineFields, EngineSettings},
    service::ServiceSettings,
    StandinError,
};
use persimmon_core::{
    config::{
        Change, Configuration, DomainConfig, EngineConfig, PlacementRule, ServiceConfig,
        ServiceState, UpstreamConfig, UpstreamKind, WorkspaceConfig,
    },
    ids::{FailureDomain, Generation, ModelVersion, ServiceName, UpstreamId, VmId},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// One entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSlot {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// One upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSlot {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Kind of the upstream.
    pub kind: UpstreamSlotKind,
}

/// Kind of an upstream of a deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamSlotKind {
    /// An engine with a model that is loaded at the start.
    Engine(ModelVersion),
    /// A server of a plain service.
    Server(ServiceName),
}

fn parse_name<T: TryFrom<String>>(text: String, key: &'static str) -> Result<T, StandinError> {
    let value = text.clone();
    T::try_from(text).map_err(|_| StandinError::Setting {
        key,
        value,
        remedy: "give shorter names",
    })
}

impl Deployment {
    /// Returns the entry VMs, named `<domain>-vm-<number>`.
    ///
    /// # Errors
    ///
    /// A generated name is too long.
    pub fn vms(&self) -> Result<Vec<VmSlot>, StandinError> {
        let mut slots = Vec::new();
        for (domain, fields) in &self.domains {
            for number in 1..=fields.daemons_count {
                slots.push(VmSlot {
                    vm: parse_name(format!("{domain}-vm-{number}"), "domains")?,
                    domain: domain.clone(),
                });
            }
        }
        Ok(slots)
    }

    /// Returns the upstreams, named `<domain>-<model or service>-<number>`.
    ///
    /// # Errors
    ///
    /// A generated name is too long.
    pub fn upstreams(&self) -> Result<Vec<UpstreamSlot>, StandinError> {
        let mut slots = Vec::new();
        for (domain, fields) in &self.domains {
            let engines = fields.engines_count.iter().map(|(model, count)| {
                let kind = UpstreamSlotKind::Engine(model.clone());
                (model.name().to_string(), kind, *count)
            });
            let servers = fields.servers_count.iter().map(|(service, count)| {
                let kind = UpstreamSlotKind::Server(service.clone());
                (service.to_string(), kind, *count)
            });
            for (label, kind, count) in engines.chain(servers) {
                for number in 1..=count {
                    slots.push(UpstreamSlot {
                        upstream: parse_name(format!("{domain}-{label}-{number}"), "domains")?,
                        domain: domain.clone(),
                        kind: kind.clone(),
                    });
                }
            }
        }
        Ok(slots)
    }

    /// Returns the settings of the engines that have `model` loaded at the start.
    ///
    /// # Errors
    ///
    /// The deployment has no such model.
    pub fn engine_settings(
        &self,
        model: &ModelVersion,
        weights_address: SocketAddr,
    ) -> Result<EngineSettings, StandinError> {
        let fields = self.models.get(model);
        let fields = fields.ok_or_else(|| unknown("models", model))?;
        EngineSettings::try_from(EngineFields {
            kv_bytes_per_token: fields.model.kv_bytes_per_token,
            models: BTreeMap::from([(model.clone(), fields.model.adapters.clone())]),
            weights_address: Some(weights_address),
            ..fields.engine.clone()
        })
    }

    /// Returns the settings of a service's servers.
    ///
    /// # Errors
    ///
    /// The deployment has no such service.
    pub fn service_settings(&self, service: &ServiceName) -> Result<ServiceSettings, StandinError> {
        let fields = self.services.get(service);
        let fields = fields.ok_or_else(|| unknown("services", service))?;
        ServiceSettings::try_from(fields.server.clone())
    }

    /// Returns the first generation of the configuration, with upstreams at these addresses.
    ///
    /// # Errors
    ///
    /// An upstream has no address.
    pub fn configuration(
        &self,
        addresses: &BTreeMap<UpstreamId, SocketAddr>,
    ) -> Result<Configuration, StandinError> {
        let mut config = self.base_configuration();
        for slot in self.upstreams()? {
            let address = addresses.get(&slot.upstream);
            let address = *address.ok_or_else(|| unknown("upstreams", &slot.upstream))?;
            let entry = self.upstream_config(&slot, address)?;
            config.upstreams.insert(slot.upstream, entry);
        }
        let generation = Generation::default().next();
        let change = Change::Replace(Box::new(config.clone()));
        change
            .apply(&config, generation)
            .map_err(|error| StandinError::File {
                file: "deployment".into(),
                reason: error.to_string(),
            })
    }

    fn base_configuration(&self) -> Configuration {
        let domain = || DomainConfig {
            state: ServiceState::Serving,
            region: self.region.clone(),
        };
        let domains = self.domains.keys().map(|key| (key.clone(), domain()));
        let models = self
            .models
            .iter()
            .map(|(key, f)| (key.clone(), f.model.clone()));
        let services = self.services.iter().map(|(key, f)| {
            let max_in_flight_requests = f.max_in_flight_requests;
            let config = ServiceConfig {
                max_in_flight_requests,
            };
            (key.clone(), config)
        });
        let workspaces = self.workspaces.iter().map(|(key, f)| {
            let weight_count = f.weight_count;
            (key.clone(), WorkspaceConfig { weight_count })
        });
        let placement = self.models.keys().map(|model| PlacementRule {
            model: model.clone(),
            workspaces: BTreeSet::new(),
            domains: BTreeSet::new(),
        });
        Configuration {
            generation: Generation::default(),
            domains: domains.collect(),
            models: models.collect(),
            services: services.collect(),
            upstreams: BTreeMap::new(),
            workspaces: workspaces.collect(),
            placement: placement.collect(),
        }
    }

    fn upstream_config(
        &self,
        slot: &UpstreamSlot,
        address: SocketAddr,
    ) -> Result<UpstreamConfig, StandinError> {
        let (kind, checks_fencing) = match &slot.kind {
            UpstreamSlotKind::Server(service) => (UpstreamKind::Service(service.clone()), false),
            UpstreamSlotKind::Engine(model) => {
                let fields = self.models.get(model);
                let engine = &fields.ok_or_else(|| unknown("models", model))?.engine;
                let config = EngineConfig {
                    kv_bytes: engine.kv_bytes,
                    prefill_tokens_per_s: engine.prefill_tokens_per_s,
                    decode_tokens_per_s: engine.decode_tokens_per_s,
                    max_in_flight_requests: engine.max_in_flight_requests,
                    can_group: engine.can_group,
                };
                (UpstreamKind::Engine(config), engine.checks_fencing)
            }
        };
        Ok(UpstreamConfig {
            address,
            domain: slot.domain.clone(),
            kind,
            state: ServiceState::Serving,
            checks_fencing,
        })
    }
}

fn unknown(key: &'static str, value: impl ToString) -> StandinError {
    StandinError::Setting {
        key,
        value: value.to_string(),
        remedy: "add it to the deployment",
    }
}
