//! Plans: creation, confirmation, conflicts, expiry and removal.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    ids::Generation,
    operator::{Intent, OperatorCommand, OperatorReply, Plan, PlanState},
};
use std::collections::BTreeSet;
use virtual_cluster::{id, small_config, Cluster};

fn configured() -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], 3);
    cluster.run(2_000);
    cluster.configure(small_config());
    cluster
}

#[test]
fn a_confirmed_plan_is_in_force_on_all_daemons_within_a_second() {
    let mut cluster = configured();
    let drain = cluster.plan("b-01", Intent::DrainDomain(id("a")), false);
    let start = cluster.now;
    let reply = cluster.execute("b-01", OperatorCommand::Confirm(drain), 2_000);
    let OperatorReply::Confirmed(report) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(report.in_force.len(), 9);
    assert!(cluster.now.since(start).get() <= 1_000);
    for node in cluster.nodes.values() {
        assert_eq!(node.applied, [Generation::new(1), Generation::new(2)]);
    }
}

#[test]
fn a_lost_answer_and_a_repeated_confirm_create_one_generation() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    cluster.lost_answers_count = 1;
    for vm in ["a-00", "c-02"] {
        let reply = cluster.execute(vm, OperatorCommand::Confirm(drain.clone()), 2_000);
        assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    }
    assert_eq!(&cluster.table["config/head"][..], b"2");
}

#[test]
fn of_two_concurrent_confirms_one_is_refused_as_a_conflict() {
    let mut cluster = configured();
    let first = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let second = cluster.plan("b-00", Intent::DrainDomain(id("b")), false);
    cluster.send_command("a-00", OperatorCommand::Confirm(first), 2_000);
    let reply = cluster.execute("b-00", OperatorCommand::Confirm(second), 2_000);
    let OperatorReply::Refused(error) = reply else {
        panic!("{reply:?}");
    };
    insta::assert_snapshot!(error, @"the configuration moved from generation 1 to 2 since the plan: review a new plan");
}

#[test]
fn a_plan_that_removes_the_last_capacity_requires_force() {
    let mut cluster = configured();
    for domain in ["a", "b"] {
        let drain = cluster.plan("a-00", Intent::DrainDomain(id(domain)), false);
        cluster.execute("a-00", OperatorCommand::Confirm(drain), 2_000);
    }
    let command = OperatorCommand::Plan {
        intent: Intent::DrainDomain(id("c")),
        force: false,
    };
    let OperatorReply::Refused(error) = cluster.execute("a-00", command, 3_000) else {
        panic!("expected a refusal");
    };
    insta::assert_snapshot!(error, @"refused without --force: m@1 loses its last engine (2 before); service orders loses its last server (1 before)");
}

#[test]
fn an_expired_plan_and_an_unavailable_store_refuse_the_confirmation() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let expired = cluster.execute("a-00", OperatorCommand::Confirm(drain.clone()), 700_000);
    assert!(matches!(expired, OperatorReply::Refused(_)), "{expired:?}");
    cluster.store_down = true;
    let unavailable = cluster.execute("a-00", OperatorCommand::Confirm(drain), 2_000);
    let OperatorReply::Refused(error) = unavailable else {
        panic!("expected a refusal");
    };
    insta::assert_snapshot!(error, @"the platform's store is unavailable: nothing changed, retry later");
}

#[test]
fn an_outdated_plan_is_superseded_and_old_plans_are_removed() {
    let mut cluster = configured();
    let first = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let second = cluster.plan("b-00", Intent::DrainDomain(id("b")), false);
    cluster.execute("a-00", OperatorCommand::Confirm(first), 2_000);
    let reply = cluster.execute("b-00", OperatorCommand::Confirm(second.clone()), 2_000);
    assert!(matches!(reply, OperatorReply::Refused(_)), "{reply:?}");
    cluster.run(100);
    let row = &cluster.table[&format!("plans/{second}")];
    let stored: Plan = serde_json::from_slice(row).unwrap();
    assert_eq!(stored.state, PlanState::Superseded);
    let three_days_later_unix_ms = 3 * 86_400_000;
    for n in 0..20 {
        let intent = match n % 2 {
            0 => Intent::ReturnDomain(id("a")),
            _ => Intent::DrainDomain(id("c")),
        };
        let command = OperatorCommand::Plan {
            intent,
            force: true,
        };
        cluster.execute("a-00", command, three_days_later_unix_ms);
        cluster.run(100);
    }
    let rows = cluster.table.keys().filter(|key| key.starts_with("plans/"));
    assert_eq!(rows.count(), 20);
}

#[test]
fn plans_are_listed_across_pages() {
    let mut cluster = configured();
    for _ in 0..450 {
        cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    }
    let OperatorReply::Plans(plans) = cluster.execute("b-00", OperatorCommand::PlanList, 2_000)
    else {
        panic!("expected a list of plans");
    };
    assert_eq!(plans.len(), 451);
}

#[test]
fn a_crash_after_the_write_leaves_one_outcome() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    cluster.send_command("a-00", OperatorCommand::Confirm(drain.clone()), 2_000);
    while &cluster.table["config/head"][..] == b"1" {
        cluster.run(virtual_cluster::TICK_MS);
    }
    cluster.crash("a-00");
    let reply = cluster.execute("c-02", OperatorCommand::Confirm(drain), 2_100);
    let OperatorReply::Confirmed(report) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(report.generation, Generation::new(2));
    assert_eq!(&cluster.table["config/head"][..], b"2");
}

#[test]
fn adapters_are_set_by_a_plan() {
    let mut cluster = configured();
    let intent = Intent::SetAdapters {
        model: id("m@1"),
        adapters: BTreeSet::from([id("welding"), id("palletising")]),
    };
    let plan = cluster.plan("a-00", intent, false);
    cluster.execute("c-00", OperatorCommand::Confirm(plan), 2_000);
    let config = cluster.node("b-02").config.current().clone();
    assert_eq!(config.models[&id("m@1")].adapters.len(), 2);
    let unknown = OperatorCommand::Plan {
        intent: Intent::SetAdapters {
            model: id("m@9"),
            adapters: BTreeSet::new(),
        },
        force: false,
    };
    let OperatorReply::Refused(error) = cluster.execute("a-00", unknown, 3_000) else {
        panic!("expected a refusal");
    };
    insta::assert_snapshot!(error, @"no model version m@9: add it to the configuration first");
}
