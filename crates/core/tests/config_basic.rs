//! Replication of the configuration: propagation, monotonic generations, snapshots and polling.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    config::{Change, ChangeRecord, ServiceState},
    ids::Generation,
};
use virtual_cluster::{id, small_config, Cluster};

/// Writes a generation directly into the store, like a daemon outside this cluster.
fn commit(cluster: &mut Cluster, number: u64, change: Change) {
    let record = ChangeRecord {
        generation: Generation::new(number),
        plan: id("p1"),
        operator: id("ayse"),
        confirmed_unix_ms: 1,
        change,
    };
    let raw = serde_json::to_vec(&record).unwrap();
    let key = format!("config/gen/{number:020}");
    cluster.table.insert(key, raw.into());
    let head = number.to_string().into();
    cluster.table.insert("config/head".into(), head);
}

fn toggle_domain(cluster: &mut Cluster, number: u64) {
    let state = match number % 2 {
        0 => ServiceState::Drained,
        _ => ServiceState::Serving,
    };
    let domain = id("a");
    commit(cluster, number, Change::SetDomainState { domain, state });
}

fn generations(cluster: &Cluster) -> Vec<u64> {
    let nodes = cluster.nodes.values();
    nodes
        .map(|node| node.config.current().generation.get())
        .collect()
}

fn configured() -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], 3);
    commit(&mut cluster, 1, Change::Replace(Box::new(small_config())));
    cluster.run(2_000);
    cluster
}

#[test]
fn a_stored_generation_is_in_force_on_all_daemons_within_a_second() {
    let mut cluster = configured();
    toggle_domain(&mut cluster, 2);
    cluster.run(1_000);
    assert_eq!(generations(&cluster), vec![2; 9]);
}

#[test]
fn a_store_restored_from_an_older_copy_does_not_lower_the_generation() {
    let mut cluster = configured();
    toggle_domain(&mut cluster, 2);
    cluster.run(1_000);
    cluster.table.insert("config/head".into(), "1".into());
    cluster.run(2_000);
    assert_eq!(generations(&cluster), vec![2; 9]);
}

#[test]
fn a_restarted_daemon_learns_from_peers_while_the_store_is_down() {
    let mut cluster = configured();
    toggle_domain(&mut cluster, 2);
    cluster.run(1_000);
    cluster.store_down = true;
    cluster.restart("b-01");
    cluster.run(1_000);
    assert_eq!(generations(&cluster), vec![2; 9]);
    assert!(!cluster.node("a-00").config.store_reachable());
}

#[test]
fn a_new_daemon_reads_a_snapshot_and_the_records_after_it() {
    let mut cluster = configured();
    for number in 2..=200 {
        toggle_domain(&mut cluster, number);
        if number % 8 == 0 {
            cluster.run(600);
        }
    }
    cluster.run(1_000);
    assert!(cluster.objects.len() >= 3, "{}", cluster.objects.len());
    let table = std::mem::take(&mut cluster.table);
    let objects = std::mem::take(&mut cluster.objects);
    let mut new_cluster = Cluster::new(&["c"], 1);
    (new_cluster.table, new_cluster.objects) = (table, objects);
    new_cluster.table.remove(&format!("config/gen/{:020}", 3));
    new_cluster.run(1_000);
    assert_eq!(generations(&new_cluster), [200]);
}

#[test]
fn few_daemons_poll_and_back_off_during_an_outage() {
    let mut cluster = configured();
    cluster.store_calls_count = 0;
    cluster.run(10_000);
    let regular_count = cluster.store_calls_count;
    cluster.store_down = true;
    cluster.run(10_000);
    cluster.store_calls_count = 0;
    cluster.run(10_000);
    insta::assert_snapshot!(format!("{regular_count} calls, {} in an outage", cluster.store_calls_count), @"117 calls, 10 in an outage");
}
