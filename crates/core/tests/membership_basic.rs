//! Membership: joining, failure detection, leaving and restarting.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    ids::Incarnation,
    membership::{LocalState, MemberChange, Membership, MembershipSettings},
    units::Time,
    Context,
};
use rand::SeedableRng;
use virtual_cluster::Cluster;

#[test]
fn all_members_know_each_other_within_three_seconds() {
    let mut cluster = Cluster::new(&["a", "b", "c"], 3);
    cluster.run(3_000);
    for node in cluster.nodes.values() {
        assert_eq!(node.membership.members().len(), 9, "{}", node.me.vm);
        assert!(node.membership.unreachable_domains().is_empty());
    }
}

#[test]
fn a_crash_is_detected_within_two_seconds() {
    let mut cluster = Cluster::new(&["a"], 3);
    cluster.run(3_000);
    cluster.crash("a-01");
    cluster.run(2_000);
    insta::assert_debug_snapshot!(cluster.node("a-00").live_members_in("a"), @r#"
    [
        "a-00",
        "a-02",
    ]
    "#);
}

#[test]
fn a_restart_ends_the_old_run() {
    let mut cluster = Cluster::new(&["a"], 2);
    cluster.run(2_000);
    cluster.node_mut("a-00").membership.take_changes();
    cluster.restart("a-01");
    cluster.run(1_000);
    let changes = cluster.node_mut("a-00").membership.take_changes();
    let runs = changes.iter().map(|change| match change {
        MemberChange::Joined(member) => format!("joined {}", member.incarnation),
        MemberChange::Died(member) => format!("died {}", member.incarnation),
        MemberChange::Leaving(member) => format!("leaving {}", member.incarnation),
    });
    insta::assert_snapshot!(runs.collect::<Vec<_>>().join(", "), @"died 1, joined 2");
    let node = cluster.node("a-00");
    let vm = virtual_cluster::id("a-01");
    assert!(!node.membership.is_alive(&vm, Incarnation::new(1)));
    assert!(node.membership.is_alive(&vm, Incarnation::new(2)));
    assert!(node.membership.sender(&vm, Incarnation::new(1)).is_none());
    assert_eq!(
        node.membership.sender(&vm, Incarnation::new(2)).unwrap().vm,
        vm
    );
}

#[test]
fn a_leaving_member_gets_no_new_work() {
    let mut cluster = Cluster::new(&["a"], 2);
    cluster.run(2_000);
    let now = cluster.now;
    let node = cluster.node_mut("a-01");
    let local = LocalState {
        leaving: true,
        ..node.local_state()
    };
    let mut actions = Vec::new();
    let mut ctx = Context {
        now,
        rng: &mut rand_chacha::ChaCha8Rng::seed_from_u64(1),
        actions: &mut actions,
        last_token: &mut 0,
    };
    node.membership.leave(&mut ctx, &local);
    assert_eq!(actions.len(), 1);
    assert!(node.live_members_in("a").iter().all(|vm| vm != "a-01"));
}

#[test]
fn a_partitioned_domain_is_reported_and_rejoins() {
    let mut cluster = Cluster::new(&["a", "b"], 2);
    cluster.run(3_000);
    cluster
        .partitions
        .insert((virtual_cluster::id("a"), virtual_cluster::id("b")));
    cluster.run(9_000);
    let unreachable = cluster.node("a-00").membership.unreachable_domains();
    assert_eq!(unreachable, vec![virtual_cluster::id("b")]);
    cluster.partitions.clear();
    cluster.run(3_000);
    assert!(cluster
        .node("a-00")
        .membership
        .unreachable_domains()
        .is_empty());
    assert_eq!(cluster.node("a-01").live_members_in("b").len(), 2);
}

#[test]
fn settings_out_of_range_are_rejected_by_name() {
    let parsed = serde_json::from_str::<MembershipSettings>(r#"{"death_ms": 500}"#);
    insta::assert_snapshot!(parsed.unwrap_err(), @"membership.death_ms is 500: give 1300 to 60000");
}

#[test]
fn a_single_daemon_has_a_next_wakeup() {
    let cluster = Cluster::new(&["a"], 1);
    let me = cluster.node("a-00").me.clone();
    let membership = Membership::new(me, MembershipSettings::default(), Vec::new());
    assert_eq!(membership.next_wakeup(), Some(Time::START));
}
