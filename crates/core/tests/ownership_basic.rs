//! Ownership of upstreams: assignment, takeover and fencing.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    ids::{FailureDomain, UpstreamId, VmId},
    message::Member,
    ownership::rendezvous_owner,
};
use std::collections::BTreeMap;
use virtual_cluster::{id, small_config, Cluster};

fn configured(domains: &[&str], vms: usize) -> Cluster {
    let mut cluster = Cluster::new(domains, vms);
    cluster.run(1_000);
    let mut config = small_config();
    let used = |domain: &FailureDomain| domains.contains(&domain.as_str());
    config.domains.retain(|domain, _| used(domain));
    config
        .upstreams
        .retain(|_, upstream| used(&upstream.domain));
    cluster.configure(config);
    cluster
}

#[test]
fn a_single_daemon_owns_its_domain_after_the_join_window() {
    let mut cluster = configured(&["a"], 1);
    cluster.run(200);
    let owned: Vec<_> = cluster.node("a-00").ownership.owned().cloned().collect();
    insta::assert_debug_snapshot!(owned, @"
    [
        a-u0,
        a-u1,
        a-u2,
    ]
    ");
}

#[test]
fn each_upstream_has_one_owner_and_a_takeover_raises_the_fencing_number() {
    let mut cluster = configured(&["a", "b", "c"], 3);
    cluster.run(1_000);
    let upstream: UpstreamId = id("a-u0");
    let owner = cluster
        .node("a-00")
        .ownership
        .owner_of(&upstream)
        .unwrap()
        .clone();
    let before = cluster.nodes[&owner].owned[&upstream];
    cluster.crash(owner.as_str());
    cluster.run(2_200);
    let holders = cluster.nodes.values().filter(|node| node.up);
    let holders: Vec<_> = holders
        .filter_map(|node| node.owned.get(&upstream))
        .collect();
    assert_eq!(holders.len(), 1);
    assert!(*holders[0] > before);
}

#[test]
fn a_takeover_completes_while_the_store_is_down() {
    let mut cluster = configured(&["a"], 2);
    cluster.run(1_000);
    cluster.store_down = true;
    cluster.crash("a-00");
    cluster.run(4_000);
    assert_eq!(cluster.node("a-01").owned.len(), 3);
}

#[test]
fn a_new_member_takes_over_only_its_share() {
    let cluster = Cluster::new(&["a"], 9);
    let members: Vec<Member> = cluster.nodes.values().map(|node| node.me.clone()).collect();
    let owners = |members: &[Member]| -> BTreeMap<UpstreamId, VmId> {
        let upstreams = (0..900).map(|n| id::<UpstreamId>(&format!("u{n}")));
        upstreams
            .map(|u| (u.clone(), rendezvous_owner(&u, members).unwrap().vm.clone()))
            .collect()
    };
    let (before, after) = (owners(&members[..8]), owners(&members));
    let moved: Vec<_> = after.iter().filter(|(u, vm)| before[*u] != **vm).collect();
    assert!(moved.iter().all(|(_, vm)| **vm == members[8].vm));
    assert!((70..=130).contains(&moved.len()), "{}", moved.len());
}

#[test]
fn a_paused_owner_releases_its_upstreams_and_reacquires_them_with_a_higher_number() {
    let mut cluster = configured(&["a"], 1);
    cluster.run(1_000);
    let upstream: UpstreamId = id("a-u0");
    let before = cluster.node("a-00").owned[&upstream];
    cluster.pause("a-00", 5_000);
    assert!(cluster.node("a-00").owned.is_empty());
    cluster.run(1_500);
    assert!(cluster.node("a-00").owned[&upstream] > before);
}

#[test]
fn a_domain_without_daemons_is_adopted_and_returned() {
    let mut cluster = configured(&["a", "b"], 2);
    cluster.run(2_000);
    let owned_of_b_by = |cluster: &Cluster, domain: &str| {
        let nodes = cluster.nodes.values();
        let nodes = nodes.filter(|node| node.up && node.me.domain.as_str() == domain);
        let held = nodes.flat_map(|node| node.owned.iter());
        held.filter(|(upstream, _)| upstream.as_str().starts_with("b-"))
            .map(|(upstream, number)| (upstream.clone(), *number))
            .collect::<BTreeMap<_, _>>()
    };
    let before = owned_of_b_by(&cluster, "b");
    assert_eq!(before.len(), 3);
    for vm in ["b-00", "b-01"] {
        cluster.crash(vm);
    }
    cluster.run(20_000);
    assert!(
        owned_of_b_by(&cluster, "a").is_empty(),
        "must not adopt while the platform still lists the VMs of b"
    );
    cluster.unlisted_vms.extend([id("b-00"), id("b-01")]);
    cluster.run(24_000);
    let adopted = owned_of_b_by(&cluster, "a");
    assert_eq!(adopted.len(), 3);
    assert!(adopted.iter().all(|(id, number)| *number > before[id]));
    cluster.restart("b-00");
    cluster.run(6_000);
    assert!(owned_of_b_by(&cluster, "a").is_empty());
    let returned = owned_of_b_by(&cluster, "b");
    assert_eq!(returned.len(), 3);
    assert!(returned.iter().all(|(id, number)| *number > adopted[id]));
}

#[test]
fn a_domain_restart_while_the_store_is_down_recovers_the_fencing_number_from_engines() {
    let mut cluster = configured(&["a", "b"], 2);
    cluster.run(2_000);
    let upstream: UpstreamId = id("a-u0");
    let number = |cluster: &Cluster| {
        let holders = cluster.nodes.values();
        let mut held =
            holders.filter_map(|node| Some((node.me.vm.clone(), *node.owned.get(&upstream)?)));
        let found = held.next();
        assert!(held.next().is_none());
        found
    };
    let (_, before) = number(&cluster).unwrap();
    cluster.store_down = true;
    for vm in ["a-00", "a-01"] {
        cluster.restart(vm);
    }
    cluster.run(5_000);
    let (owner, restarted) = number(&cluster).unwrap();
    assert!(
        restarted <= before,
        "the old number has not been reported yet"
    );
    let node = cluster.node_mut(owner.as_str());
    node.ownership.on_fencing_seen(&upstream, before);
    cluster.run(2_500);
    let (_, after) = number(&cluster).unwrap();
    assert!(
        after > before,
        "the new number must exceed the one that the engine reported"
    );
}
