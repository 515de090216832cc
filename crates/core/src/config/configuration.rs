//! The configuration of a deployment: failure domains, models, services, upstreams, workspaces and
//! placement rules.

use crate::{
    ids::{
        AdapterName, FailureDomain, Generation, ModelName, ModelVersion, ServiceName, UpstreamId,
        WorkspaceId,
    },
    units::{KvBytes, Tokens, TokensPerSecond},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The configuration of a deployment at one generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Number of this generation; 0 before any configuration is known.
    #[serde(default)]
    pub generation: Generation,
    /// The failure domains.
    pub domains: BTreeMap<FailureDomain, DomainConfig>,
    /// The models, keyed by version.
    pub models: BTreeMap<ModelVersion, ModelConfig>,
    /// The services that are not model engines.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamId, UpstreamConfig>,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceConfig>,
    /// Placement rules; of the rules that cover a request, the last one applies.
    pub placement: Vec<PlacementRule>,
}

/// Administrative state of a failure domain or an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// Receives new work.
    #[default]
    Serving,
    /// Receives no new work.
    Drained,
}

/// Configuration of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainConfig {
    /// Administrative state.
    #[serde(default)]
    pub state: ServiceState,
    /// The region that contains the failure domain.
    #[serde(default)]
    pub region: String,
}

/// Configuration of a model version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// KV cache memory per token.
    pub kv_bytes_per_token: KvBytes,
    /// Size of the model weights.
    pub weights_bytes: u64,
    /// Context length: limit on prompt and output tokens together.
    pub context_tokens: Tokens,
    /// Adapters that may be loaded with the model.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
}

/// Configuration of a service that is not a model engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Limit on concurrent calls per server.
    pub max_in_flight_requests: u32,
}

/// Configuration of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamConfig {
    /// Network address.
    pub address: SocketAddr,
    /// The failure domain that contains the upstream.
    pub domain: FailureDomain,
    /// Whether the upstream is a model engine or a server of another service.
    pub kind: UpstreamKind,
    /// Administrative state.
    #[serde(default)]
    pub state: ServiceState,
    /// Whether the upstream rejects orders that carry an outdated fencing number.
    pub checks_fencing: bool,
}

/// The kind of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineConfig),
    /// A server of the named service.
    Service(ServiceName),
}

/// Capabilities of a model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Memory available for the KV cache.
    pub kv_bytes: KvBytes,
    /// Prefill rate of a warm engine, as stated by its vendor.
    pub prefill_tokens_per_s: TokensPerSecond,
    /// Decode rate per stream of a warm engine, as stated by its vendor.
    pub decode_tokens_per_s: TokensPerSecond,
    /// Limit on concurrent streams.
    pub max_in_flight_requests: u32,
    /// Whether the engine can export and import KV cache, which engines in a group require.
    pub can_group: bool,
}

/// Configuration of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// Weight of the workspace in fair sharing of capacity, at least 1.
    pub weight_count: u32,
}

/// Assigns a model version to workspaces and failure domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// The model version.
    pub model: ModelVersion,
    /// The workspaces that the rule covers; empty covers all.
    #[serde(default)]
    pub workspaces: BTreeSet<WorkspaceId>,
    /// The failure domains that the rule covers; empty covers all.
    #[serde(default)]
    pub domains: BTreeSet<FailureDomain>,
}

impl PlacementRule {
    /// Reports whether the rule covers `workspace`.
    pub fn covers_workspace(&self, workspace: &WorkspaceId) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(workspace)
    }

    /// Reports whether the rule covers `domain`.
    pub fn covers_domain(&self, domain: &FailureDomain) -> bool {
        self.domains.is_empty() || self.domains.contains(domain)
    }
}

impl Configuration {
    /// Reports whether a failure domain may receive new work.
    pub fn serves_domain(&self, domain: &FailureDomain) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|config| config.state == ServiceState::Serving)
    }

    /// Reports whether an upstream may receive new work: neither the upstream nor its failure
    /// domain is drained.
    pub fn serves_upstream(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.get(upstream).is_some_and(|config| {
            config.state == ServiceState::Serving && self.serves_domain(&config.domain)
        })
    }

    /// Returns the version of `model` that serves `workspace` in `domain`, taken from the last rule
    /// that covers both.
    pub fn version_for(
        &self,
        model: &ModelName,
        workspace: &WorkspaceId,
        domain: &FailureDomain,
    ) -> Option<&ModelVersion> {
        let covers = |rule: &&PlacementRule| {
            rule.model.is_of(model)
                && rule.covers_workspace(workspace)
                && rule.covers_domain(domain)
        };
        self.placement
            .iter()
            .rev()
            .find(covers)
            .map(|rule| &rule.model)
    }

    /// Returns the model versions that the engines of `domain` must have loaded.
    pub fn versions_in(&self, domain: &FailureDomain) -> BTreeSet<&ModelVersion> {
        let rules = self
            .placement
            .iter()
            .filter(|rule| rule.covers_domain(domain));
        rules.map(|rule| &rule.model).collect()
    }
}
