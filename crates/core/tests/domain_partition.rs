//! A failure domain that is partitioned from the others and from the platform, and its recovery.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    config::ServiceState,
    ids::{FailureDomain, Generation},
    message::{CapacitySummary, ModelCapacity},
    operator::{Intent, OperatorCommand, OperatorReply},
    units::{KvBytes, Millis, Tokens},
};
use virtual_cluster::{id, small_config, Cluster};

fn configured(vms: usize) -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], vms);
    cluster.run(2_000);
    cluster.configure(small_config());
    cluster.run(3_000);
    cluster
}

fn partition(cluster: &mut Cluster, domain: &str) {
    for other in ["a", "b", "c"].into_iter().filter(|other| *other != domain) {
        cluster.partitions.insert((id(domain), id(other)));
    }
    cluster.store_partitions.insert(id(domain));
}

#[test]
fn a_partitioned_domain_keeps_running_and_applies_the_newest_generation_on_recovery() {
    let mut cluster = configured(3);
    let owned = cluster.node("a-00").owned.clone();
    partition(&mut cluster, "a");
    cluster.run(1_000);
    let drain = cluster.plan("b-00", Intent::DrainDomain(id("a")), true);
    let reply = cluster.execute("b-00", OperatorCommand::Confirm(drain), 2_000);
    assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    cluster.run(10_000);
    let partitioned = cluster.node("a-00");
    assert_eq!(partitioned.config.current().generation, Generation::new(1));
    assert_eq!(
        partitioned.owned, owned,
        "a partitioned domain keeps its own upstreams"
    );
    let unreachable = partitioned.membership.unreachable_domains();
    assert_eq!(unreachable, vec![id::<FailureDomain>("b"), id("c")]);
    assert!(!partitioned.config.store_reachable());
    cluster.partitions.clear();
    cluster.run(2_000);
    for node in cluster.nodes.values() {
        let config = node.config.current();
        assert_eq!(config.generation, Generation::new(2), "{}", node.me.vm);
        assert_eq!(config.domains[&id("a")].state, ServiceState::Drained);
    }
}

#[test]
fn an_operator_in_a_partitioned_domain_cannot_change_the_configuration() {
    let mut cluster = configured(3);
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), true);
    partition(&mut cluster, "a");
    let reply = cluster.execute("a-00", OperatorCommand::Confirm(drain), 2_000);
    assert!(matches!(reply, OperatorReply::Refused(_)), "{reply:?}");
    cluster.partitions.clear();
    cluster.store_partitions.clear();
    cluster.run(9_000);
    let mut nodes = cluster.nodes.values();
    assert!(nodes.all(|node| node.applied == [Generation::new(1)]));
}

#[test]
fn crashes_among_63_are_known_to_all_within_two_seconds_at_5_percent_loss() {
    let mut cluster = Cluster::new(&["a"], 63);
    cluster.run(4_000);
    cluster.loss_percent = 5;
    for _ in 0..20 {
        cluster.run(200);
        let mut nodes = cluster.nodes.values();
        assert!(nodes.all(|node| node.live_members_in("a").len() == 63));
    }
    for vm in ["a-01", "a-02", "a-34"] {
        cluster.crash(vm);
    }
    cluster.run(2_000);
    let mut live = cluster.nodes.values().filter(|node| node.up);
    assert!(live.all(|node| node.live_members_in("a").len() == 60));
}

#[test]
fn owner_summaries_reach_all_daemons_of_their_domain() {
    let mut cluster = configured(9);
    let capacity = ModelCapacity {
        engines: 3,
        free_requests: 21,
        free_kv_bytes: KvBytes::new(80_000_000_000),
        max_prompt_tokens: Tokens::new(262_144),
        short_wait_ms: Millis::new(90),
        long_wait_ms: Millis::new(2_900),
    };
    cluster.node_mut("a-04").summary = CapacitySummary {
        models: vec![(id("m@1"), capacity)],
        services: vec![(id("orders"), 321)],
        short_busy_permille: 700,
        long_busy_permille: 90,
    };
    cluster.run(2_000);
    let summary = cluster.node("a-07").membership.summary_of(&id("a-04"));
    insta::assert_debug_snapshot!(summary.unwrap());
    let seen = cluster.nodes.values().filter(|node| {
        let summary = node.membership.summary_of(&id("a-04"));
        summary.is_some_and(|summary| !summary.models.is_empty())
    });
    assert!(seen.count() >= 8);
}
