//! Fixtures: fleets of entry components with fake owners, fleets of daemons, and requests.
#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod daemons;
pub mod entry_node;
pub mod owner_node;
pub mod specs;

use entry_node::EntryNode;
use owner_node::OwnerNode;
use persimmon_core::{
    config::{
        Configuration, EngineConfig, ServiceConfig, UpstreamConfig, UpstreamKind, WorkspaceConfig,
    },
    entry::RawEntrySettings,
    ids::{Generation, Incarnation, UpstreamId, VmId},
    message::Member,
    units::{KvBytes, TokensPerSecond},
};
use persimmon_scenario::{Fleet, NodeFactory, Upstream};
use std::{collections::BTreeSet, sync::Arc};

pub const ENTRIES: [&str; 2] = ["e1", "e2"];
pub const OWNERS: [&str; 2] = ["o1", "o2"];

pub fn vm(name: &str) -> VmId {
    name.parse().expect("VM")
}

pub fn upstream(name: &str) -> UpstreamId {
    name.parse().expect("upstream")
}

pub fn member(name: &str) -> Member {
    Member {
        vm: vm(name),
        incarnation: Incarnation::new(1),
        domain: "d1".parse().expect("domain"),
        peer_address: ([127, 0, 0, 1], 9).into(),
    }
}

/// Names of an owner's servers (`is_service`) or engines.
pub fn upstreams_of(owner: &str, is_service: bool, count: usize) -> Vec<String> {
    let kind = if is_service { "s" } else { "a" };
    (0..count).map(|n| format!("{owner}-{kind}{n}")).collect()
}

fn upstream_config(is_service: bool) -> UpstreamConfig {
    let rate = |rate: f64| TokensPerSecond::try_from(rate).expect("rate");
    let kind = if is_service {
        UpstreamKind::Service("orders".parse().expect("service"))
    } else {
        UpstreamKind::Engine(EngineConfig {
            kv_bytes: KvBytes::new(1_000_000),
            prefill_tokens_per_s: rate(10_000.0),
            decode_tokens_per_s: rate(100.0),
            max_in_flight_requests: 1_000,
            can_group: false,
        })
    };
    UpstreamConfig {
        address: ([127, 0, 0, 1], 9).into(),
        domain: "d1".parse().expect("domain"),
        kind,
        state: Default::default(),
        checks_fencing: false,
    }
}

fn config() -> Configuration {
    let mut config = Configuration {
        generation: Generation::new(1),
        ..Configuration::default()
    };
    let workspace = WorkspaceConfig { weight_count: 1 };
    config
        .workspaces
        .insert("w".parse().expect("workspace"), workspace);
    let service = ServiceConfig {
        max_in_flight_requests: 8,
    };
    config
        .services
        .insert("orders".parse().expect("service"), service);
    config
}

/// Two entry nodes and two fake owners, which have `engines_count` engines and three servers each.
pub fn fleet(seed: u64, engines_count: usize, raw: RawEntrySettings) -> Fleet {
    let config = Arc::new(config());
    let make: NodeFactory = Box::new(move |me, seed| {
        if me.vm.as_str().starts_with('e') {
            Box::new(EntryNode::new(me, seed, raw, &config))
        } else {
            Box::new(OwnerNode::new(me, seed, engines_count))
        }
    });
    let mut fleet = Fleet::new(seed, make);
    for owner in OWNERS {
        for is_service in [false, true] {
            let count = if is_service { 3 } else { engines_count };
            for name in upstreams_of(owner, is_service, count) {
                let models = BTreeSet::from(["m@1".parse().expect("version")]);
                let state = Upstream::new(upstream_config(is_service), models);
                fleet.upstreams.insert(upstream(&name), state);
            }
        }
    }
    for name in OWNERS.into_iter().chain(ENTRIES) {
        fleet.start_vm(member(name));
    }
    fleet
}
