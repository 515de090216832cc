//! From an intent to a generation in force.

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
fn a_confirmed_plan_is_in_force_everywhere_within_a_second() {
    let mut cluster = configured();
    let drain = cluster.plan("b-01", Intent::DrainDomain(id("a")), false);
    let start = cluster.now;
    let reply = cluster.ask("b-01", OperatorCommand::Confirm(drain), 2_000);
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
fn a_lost_answer_and_a_second_confirm_make_one_generation() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    cluster.lost_answers_count = 1;
    for vm in ["a-00", "c-02"] {
        let reply = cluster.ask(vm, OperatorCommand::Confirm(drain.clone()), 2_000);
        assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    }
    assert_eq!(&cluster.table["config/head"][..], b"2");
}

#[test]
fn of_two_racing_operators_one_is_told_of_the_other() {
    let mut cluster = configured();
    let one = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let two = cluster.plan("b-00", Intent::DrainDomain(id("b")), false);
    cluster.command("a-00", OperatorCommand::Confirm(one), 2_000);
    let reply = cluster.ask("b-00", OperatorCommand::Confirm(two), 2_000);
    let OperatorReply::Refused(error) = reply else {
        panic!("{reply:?}");
    };
    insta::assert_snapshot!(error, @"the configuration moved from generation 1 to 2 since the plan: review a new plan");
}

#[test]
fn a_plan_that_takes_the_last_capacity_needs_force() {
    let mut cluster = configured();
    for domain in ["a", "b"] {
        let drain = cluster.plan("a-00", Intent::DrainDomain(id(domain)), false);
        cluster.ask("a-00", OperatorCommand::Confirm(drain), 2_000);
    }
    let command = OperatorCommand::Plan {
        intent: Intent::DrainDomain(id("c")),
        force: false,
    };
    let OperatorReply::Refused(error) = cluster.ask("a-00", command, 3_000) else {
        panic!("planned");
    };
    insta::assert_snapshot!(error, @"refused without --force: m@1 loses its last engine (2 before); service orders loses its last server (1 before)");
}

#[test]
fn an_old_plan_has_expired_and_a_store_that_is_down_changes_nothing() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let late = cluster.ask("a-00", OperatorCommand::Confirm(drain.clone()), 700_000);
    assert!(matches!(late, OperatorReply::Refused(_)), "{late:?}");
    cluster.store_down = true;
    let down = cluster.ask("a-00", OperatorCommand::Confirm(drain), 2_000);
    let OperatorReply::Refused(error) = down else {
        panic!("confirmed");
    };
    insta::assert_snapshot!(error, @"the platform's store is unavailable: nothing changed, retry later");
}

#[test]
fn a_plan_left_behind_is_superseded_and_old_plans_are_removed() {
    let mut cluster = configured();
    let one = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    let two = cluster.plan("b-00", Intent::DrainDomain(id("b")), false);
    cluster.ask("a-00", OperatorCommand::Confirm(one), 2_000);
    let reply = cluster.ask("b-00", OperatorCommand::Confirm(two.clone()), 2_000);
    assert!(matches!(reply, OperatorReply::Refused(_)), "{reply:?}");
    cluster.run(100);
    let row = &cluster.table[&format!("plans/{two}")];
    let stored: Plan = serde_json::from_slice(row).unwrap();
    assert_eq!(stored.state, PlanState::Superseded);
    let days_later_ms = 3 * 86_400_000;
    for n in 0..20 {
        let intent = match n % 2 {
            0 => Intent::ReturnDomain(id("a")),
            _ => Intent::DrainDomain(id("c")),
        };
        let command = OperatorCommand::Plan {
            intent,
            force: true,
        };
        cluster.ask("a-00", command, days_later_ms);
        cluster.run(100);
    }
    let rows = cluster.table.keys().filter(|key| key.starts_with("plans/"));
    assert_eq!(rows.count(), 20);
}

#[test]
fn a_list_of_plans_goes_over_pages() {
    let mut cluster = configured();
    for _ in 0..450 {
        cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    }
    let OperatorReply::Plans(plans) = cluster.ask("b-00", OperatorCommand::PlanList, 2_000) else {
        panic!("no list");
    };
    assert_eq!(plans.len(), 451);
}

#[test]
fn a_daemon_that_dies_after_the_write_leaves_one_outcome() {
    let mut cluster = configured();
    let drain = cluster.plan("a-00", Intent::DrainDomain(id("a")), false);
    cluster.command("a-00", OperatorCommand::Confirm(drain.clone()), 2_000);
    while &cluster.table["config/head"][..] == b"1" {
        cluster.run(virtual_cluster::TICK_MS);
    }
    cluster.crash("a-00");
    let reply = cluster.ask("c-02", OperatorCommand::Confirm(drain), 2_100);
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
    let drawn = cluster.plan("a-00", intent, false);
    cluster.ask("c-00", OperatorCommand::Confirm(drawn), 2_000);
    let config = cluster.node("b-02").config.current().clone();
    assert_eq!(config.models[&id("m@1")].adapters.len(), 2);
    let unknown = OperatorCommand::Plan {
        intent: Intent::SetAdapters {
            model: id("m@9"),
            adapters: BTreeSet::new(),
        },
        force: false,
    };
    let OperatorReply::Refused(error) = cluster.ask("a-00", unknown, 3_000) else {
        panic!("planned");
    };
    insta::assert_snapshot!(error, @"no model version m@9: add it to the configuration first");
}
