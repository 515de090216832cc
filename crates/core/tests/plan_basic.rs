//! From an intent to a generation in force.

#[path = "common/concert.rs"]
mod concert;

use concert::{id, small_config, Cluster};
use persimmon_core::{
    ids::{Generation, PlanId},
    operator::{Intent, OperatorCommand, OperatorReply},
};

fn plan(cluster: &mut Cluster, vm: &str, intent: Intent) -> PlanId {
    let command = OperatorCommand::Plan {
        intent,
        force: false,
    };
    match cluster.ask(vm, command, 1_000) {
        OperatorReply::Plan(plan) => plan.id,
        other => panic!("{other:?}"),
    }
}

fn configured() -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], 3);
    cluster.run(2_000);
    let first = plan(
        &mut cluster,
        "a-00",
        Intent::Replace(Box::new(small_config())),
    );
    cluster.ask("a-00", OperatorCommand::Confirm(first), 2_000);
    cluster
}

#[test]
fn a_confirmed_plan_is_in_force_everywhere_within_a_second() {
    let mut cluster = configured();
    let drain = plan(&mut cluster, "b-01", Intent::DrainDomain(id("a")));
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
    let drain = plan(&mut cluster, "a-00", Intent::DrainDomain(id("a")));
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
    let one = plan(&mut cluster, "a-00", Intent::DrainDomain(id("a")));
    let two = plan(&mut cluster, "b-00", Intent::DrainDomain(id("b")));
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
        let drain = plan(&mut cluster, "a-00", Intent::DrainDomain(id(domain)));
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
    let drain = plan(&mut cluster, "a-00", Intent::DrainDomain(id("a")));
    let late = cluster.ask("a-00", OperatorCommand::Confirm(drain.clone()), 700_000);
    assert!(matches!(late, OperatorReply::Refused(_)), "{late:?}");
    cluster.store_down = true;
    let down = cluster.ask("a-00", OperatorCommand::Confirm(drain), 2_000);
    let OperatorReply::Refused(error) = down else {
        panic!("confirmed");
    };
    insta::assert_snapshot!(error, @"the platform's store is unavailable: nothing changed, retry later");
}
