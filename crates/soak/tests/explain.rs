//! `persimmonctl explain` on real gateway logs, by the steps of docs/OPERATIONS.md: from a request's
//! id to the cause of its failure.

mod common;

use common::gateway;
use insta::assert_snapshot;
use persimmon_soak::{
    fault::{Fault, LinkLoss},
    history::BodyCheck,
    TestDeployment,
};
use persimmonctl::{args::ExplainArgs, explain};
use std::{
    env, fs,
    time::{Duration, Instant},
};

/// Duration of a fault that outlasts the test.
const WHOLE_TEST: Duration = Duration::from_secs(30);

/// Time within which a daemon writes the line on the end of a request that it has answered.
const LAST_LINE_TIMEOUT: Duration = Duration::from_secs(2);

fn start_deployment(name: &str) -> TestDeployment {
    let folder = env::temp_dir().join(format!("persimmon-explain-{name}"));
    TestDeployment::start(&gateway(), &folder).unwrap()
}

/// The explanation of a request without what differs between test runs. The reason of a lost connection
/// differs, the reason of a refusal does not.
fn explained_lines(deployment: &TestDeployment, request_id: &str) -> String {
    let args = ExplainArgs {
        request: request_id.to_owned(),
        logs: deployment.logs(),
    };
    let mut explanation = explain(&args).unwrap();
    // A daemon answers its caller first, and writes its last line about the request a moment later.
    let until = Instant::now() + LAST_LINE_TIMEOUT;
    while !explanation.contains("=> ") && Instant::now() < until {
        deployment.wait(Duration::from_millis(10));
        explanation = explain(&args).unwrap();
    }
    let kept = ["end", "next", "may_have_run", "reason", "tries_count"];
    let lines = explanation.lines().skip(1).map(|line| {
        let (mark, rest) = line.split_at(3);
        let mut words = rest.split(' ');
        let name = words.next().unwrap_or_default();
        let kept = if name == "refused" {
            &kept[..]
        } else {
            &kept[..2]
        };
        let fields =
            words.filter(|word| kept.iter().any(|key| word.starts_with(&format!("{key}="))));
        let fields: Vec<_> = fields.collect();
        format!("{mark}{name} {}", fields.join(" "))
            .trim_end()
            .to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn refused_with_free_upstreams_when_knowledge_is_too_old() {
    let deployment = start_deployment("refused");
    deployment.inject(Fault::StoreStalled(0), WHOLE_TEST);
    deployment.wait(Duration::from_millis(5_500));
    let outcome = deployment.send(0, "status", "refused-1", 1);
    assert_eq!(outcome.answer, Some((503, BodyCheck::Complete)));
    assert_eq!(outcome.runs_count, 0);
    assert_snapshot!(explained_lines(&deployment, "refused-1"), @"=> refused may_have_run=false reason=knowledge_too_old tries_count=0");
    // Next step of the procedure: the log line about the dependency that this daemon lost.
    let log = fs::read_to_string(&deployment.logs()[0]).unwrap();
    let lost = log
        .lines()
        .find(|line| line.contains("\"dependency\"") && line.contains("\"reachable\":false"));
    assert!(lost.is_some_and(|line| line.contains("operators")), "{log}");
}

#[test]
fn stream_truncated_by_upstream() {
    let deployment = start_deployment("broken");
    for engine in 0..3 {
        deployment.inject(Fault::UpstreamTruncates(engine), WHOLE_TEST);
    }
    let cut = (0..9).find_map(|index| {
        let request_id = format!("broken-{index}");
        let outcome = deployment.send(1, "streamed", &request_id, 20);
        matches!(outcome.answer, Some((200, BodyCheck::Truncated))).then_some(request_id)
    });
    assert_snapshot!(explained_lines(&deployment, &cut.unwrap()), @r"
       sent
    => send_failed end=lost next=give_up
       refused may_have_run=true reason=upstream_failed tries_count=1
    ");
}

#[test]
fn not_retried_where_it_may_have_run() {
    let deployment = start_deployment("unknown");
    for server in 3..5 {
        deployment.inject(Fault::UpstreamTruncates(server), WHOLE_TEST);
    }
    let lost = (0..9).find_map(|index| {
        let request_id = format!("unknown-{index}");
        let outcome = deployment.send(1, "order", &request_id, 1);
        assert!(outcome.runs_count <= 1, "{outcome:?}");
        matches!(outcome.answer, Some((502, _))).then_some(request_id)
    });
    assert_snapshot!(explained_lines(&deployment, &lost.unwrap()), @r"
       sent
    => send_failed end=lost next=give_up
       refused may_have_run=true reason=upstream_failed tries_count=1
    ");
}

#[test]
fn served_by_way_of_a_peer() {
    let deployment = start_deployment("relayed");
    deployment.inject(Fault::LinksLost(LinkLoss::Refuse, 0), WHOLE_TEST);
    deployment.wait(Duration::from_millis(500));
    let outcome = deployment.send(0, "order", "relayed-1", 1);
    assert_eq!(outcome.answer, Some((200, BodyCheck::Complete)));
    assert_snapshot!(explained_lines(&deployment, "relayed-1"), @r"
       sent
       paths_tried
       relayed
    => answered
    ");
}
