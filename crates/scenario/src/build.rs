//! Builds a fleet of real daemons from the sizes of its failure domains.

use crate::{Defect, Defects, Fleet, NodeFactory, Upstream};
use persimmon_core::{
    config::{
        Change, ChangeRecord, Configuration, DomainConfig, EngineConfig, ModelConfig,
        PlacementRule, ServiceConfig, ServiceState, UpstreamConfig, UpstreamKind, WorkspaceConfig,
    },
    daemon::{ComponentSettings, Daemon, DaemonSettings},
    ids::{FailureDomain, Generation, Incarnation, ModelVersion, UpstreamId, VmId, WorkspaceId},
    message::Member,
    platform::{VmRecord, VmState},
    units::{KvBytes, Millis, Tokens, TokensPerSecond, UnitError},
};
use std::collections::{BTreeMap, BTreeSet};

/// Version of the model that every engine serves.
pub const MODEL: &str = "m@1";
/// Name of the plain service.
pub const SERVICE: &str = "orders";

/// Size of one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainSpec {
    /// Name.
    pub name: FailureDomain,
    /// Number of VMs.
    pub vms_count: u32,
    /// Number of engines.
    pub engines_count: u32,
    /// Number of servers of the plain service.
    pub servers_count: u32,
}

/// Specification of a fleet of daemons.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Seed of all random choices.
    pub seed: u64,
    /// Failure domains.
    pub domains: Vec<DomainSpec>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceId>,
    /// Settings of the daemons.
    pub components: ComponentSettings,
    /// Deliberate defects.
    pub defects: Defects,
}

/// Returns the name of a VM or upstream of a failure domain, such as `a-vm1`.
fn numbered<T: std::str::FromStr>(domain: &FailureDomain, kind: &str, number: u32) -> Option<T> {
    format!("{domain}-{kind}{number}").parse().ok()
}

impl DomainSpec {
    fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let vms = (1..=self.vms_count).filter_map(|n| numbered::<VmId>(&self.name, "vm", n));
        vms.map(|vm| Member {
            vm,
            incarnation: Incarnation::new(1),
            domain: self.name.clone(),
            peer_address: ([127, 0, 0, 1], 1).into(),
        })
    }

    fn upstreams(
        &self,
        engine: &EngineConfig,
    ) -> impl Iterator<Item = (UpstreamId, UpstreamConfig)> + '_ {
        let kind = UpstreamKind::Engine(engine.clone());
        let engines = (1..=self.engines_count).map(move |n| ("e", n, kind.clone()));
        let service = SERVICE.parse().ok().map(UpstreamKind::Service);
        let services = (1..=self.servers_count)
            .filter_map(move |n| service.clone().map(|kind| ("s", n, kind)));
        engines.chain(services).filter_map(|(letter, n, kind)| {
            let upstream = numbered(&self.name, letter, n)?;
            let config = UpstreamConfig {
                address: ([127, 0, 0, 1], 2).into(),
                domain: self.name.clone(),
                kind,
                state: ServiceState::Serving,
                // Every second upstream checks fencing numbers, because some deployments ignore them.
                checks_fencing: n % 2 == 0,
            };
            Some((upstream, config))
        })
    }
}

impl FleetSpec {
    /// Returns the configuration of generation 1.
    ///
    /// # Errors
    ///
    /// The token rate of the engines is out of range.
    pub fn configuration(&self) -> Result<Configuration, UnitError> {
        let engine = EngineConfig {
            kv_bytes: KvBytes::new(200_000),
            prefill_tokens_per_s: TokensPerSecond::try_from(10_000.0)?,
            decode_tokens_per_s: TokensPerSecond::try_from(50.0)?,
            max_in_flight_requests: 8,
            can_group: false,
        };
        let mut config = Configuration::default();
        for domain in &self.domains {
            let state = DomainConfig::default();
            config.domains.insert(domain.name.clone(), state);
            config.upstreams.extend(domain.upstreams(&engine));
        }
        let model = ModelConfig {
            kv_bytes_per_token: KvBytes::new(1),
            weights_bytes: 1_000_000,
            context_tokens: Tokens::new(200_000),
            adapters: BTreeSet::new(),
        };
        config.models = parsed::<ModelVersion>(MODEL)
            .map(|m| (m, model.clone()))
            .collect();
        config.placement = parsed(MODEL).map(place_everywhere).collect();
        let service = ServiceConfig {
            max_in_flight_requests: 8,
        };
        config.services = parsed(SERVICE).map(|s| (s, service.clone())).collect();
        let weight = WorkspaceConfig { weight_count: 1 };
        let workspaces = self.workspaces.iter().cloned();
        config.workspaces = workspaces.map(|w| (w, weight.clone())).collect();
        Ok(config)
    }

    /// Builds the fleet, stores its configuration and starts all VMs.
    ///
    /// # Errors
    ///
    /// The token rate of the engines is out of range.
    pub fn build(self) -> Result<Fleet, UnitError> {
        let config = self.configuration()?;
        let members: Vec<Member> = self.domains.iter().flat_map(DomainSpec::members).collect();
        let mut components = self.components;
        if self.defects.contains(&Defect::NoGrace) {
            components.entry.shutdown_grace = Millis::ZERO;
        }
        let mut fleet = Fleet::new(self.seed, daemon_factory(&members, components));
        for (id, upstream) in &config.upstreams {
            let mut state = Upstream::new(upstream.clone(), parsed(MODEL).collect());
            state.reports_capacity = upstream.checks_fencing;
            state.ignores_cancels = self.defects.contains(&Defect::NoCancels);
            state.has_no_cold_capacity = self.defects.contains(&Defect::NoColdCapacity);
            fleet.upstreams.insert(id.clone(), state);
        }
        fleet.store.rows = initial_rows(&config);
        fleet.store.ignores_conditions = self.defects.contains(&Defect::NoConditions);
        fleet.defects = self.defects;
        for member in members {
            fleet.start_vm(member);
        }
        Ok(fleet)
    }
}

fn parsed<T: std::str::FromStr>(name: &str) -> impl Iterator<Item = T> {
    name.parse().ok().into_iter()
}

const fn place_everywhere(model: ModelVersion) -> PlacementRule {
    PlacementRule {
        model,
        workspaces: BTreeSet::new(),
        domains: BTreeSet::new(),
    }
}

fn initial_rows(config: &Configuration) -> BTreeMap<String, bytes::Bytes> {
    let generation = Generation::new(1);
    let mut rows = BTreeMap::new();
    rows.insert("config/head".to_owned(), "1".into());
    if let (Ok(plan), Ok(operator)) = ("first".parse(), "founder".parse()) {
        let record = ChangeRecord {
            generation,
            plan,
            operator,
            confirmed_unix_ms: 0,
            change: Change::Replace(Box::new(config.clone())),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        rows.insert(format!("config/gen/{:020}", generation.get()), value.into());
    }
    rows
}

fn daemon_factory(members: &[Member], components: ComponentSettings) -> NodeFactory {
    let records = members.iter().map(|member| VmRecord {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        peer_address: member.peer_address,
        state: VmState::Live,
    });
    let seeds: Vec<VmRecord> = records.collect();
    Box::new(move |me, seed| {
        Box::new(Daemon::new(DaemonSettings {
            me: me.clone(),
            seeds: seeds.clone(),
            seed,
            components: components.clone(),
        }))
    })
}
