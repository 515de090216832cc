//! One generation of the configuration.

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

/// One generation of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Its number.
    #[serde(default)]
    pub generation: Generation,
    /// The failure domains.
    pub domains: BTreeMap<FailureDomain, DomainConfig>,
    /// The models, by version.
    pub models: BTreeMap<ModelVersion, ModelConfig>,
    /// The plain services.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamId, UpstreamConfig>,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceConfig>,
    /// Which models serve which workspaces where.
    pub placement: Vec<PlacementRule>,
}

/// Whether operators let something serve.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// It gets work.
    #[default]
    Serving,
    /// It gets no new work.
    Drained,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainConfig {
    /// Whether it gets work.
    #[serde(default)]
    pub state: ServiceState,
    /// The region it lies in.
    #[serde(default)]
    pub region: String,
}

/// A model's version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// KV memory a token takes.
    pub kv_bytes_per_token: KvBytes,
    /// Size of the weights.
    pub weights_bytes: u64,
    /// Longest prompt and answer together.
    pub context_tokens: Tokens,
    /// Adapters that may be loaded beside it.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
}

/// A plain service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Most calls at one server at a time.
    pub max_in_flight_requests: u32,
}

/// An upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamConfig {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Whether it gets work.
    #[serde(default)]
    pub state: ServiceState,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
}

/// What an upstream is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineConfig),
    /// A server of a plain service.
    Service(ServiceName),
}

/// A model engine's make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Memory for KV.
    pub kv_bytes: KvBytes,
    /// Prefill rate when warm, as its maker states it.
    pub prefill_tokens_per_s: TokensPerSecond,
    /// Decode rate of one stream when warm, as its maker states it.
    pub decode_tokens_per_s: TokensPerSecond,
    /// Most streams at a time.
    pub max_in_flight_requests: u32,
    /// Whether it can export and import KV, and so join a group.
    pub can_group: bool,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// Share of the capacity against other workspaces, from 1.
    pub weight_count: u32,
}

/// Which model version serves which workspaces in which failure domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// The model's version.
    pub model: ModelVersion,
    /// The workspaces, all where empty.
    #[serde(default)]
    pub workspaces: BTreeSet<WorkspaceId>,
    /// The failure domains, all where empty.
    #[serde(default)]
    pub domains: BTreeSet<FailureDomain>,
}

impl PlacementRule {
    /// Whether the rule covers a workspace.
    pub fn covers_workspace(&self, workspace: &WorkspaceId) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(workspace)
    }

    /// Whether the rule covers a failure domain.
    pub fn covers_domain(&self, domain: &FailureDomain) -> bool {
        self.domains.is_empty() || self.domains.contains(domain)
    }
}

impl Configuration {
    /// Whether a failure domain gets new work.
    pub fn serves_domain(&self, domain: &FailureDomain) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|config| config.state == ServiceState::Serving)
    }

    /// Whether an upstream gets new work: neither it nor its failure domain is drained.
    pub fn serves_upstream(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.get(upstream).is_some_and(|config| {
            config.state == ServiceState::Serving && self.serves_domain(&config.domain)
        })
    }

    /// The version of `model` that serves `workspace` in `domain`: the last rule that covers both.
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

    /// The versions that the engines of `domain` must hold.
    pub fn versions_in(&self, domain: &FailureDomain) -> BTreeSet<&ModelVersion> {
        let rules = self
            .placement
            .iter()
            .filter(|rule| rule.covers_domain(domain));
        rules.map(|rule| &rule.model).collect()
    }
}
