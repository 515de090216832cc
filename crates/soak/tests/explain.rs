//! From a request's id to its cause, by the steps of docs/OPERATIONS.md, over real processes.

mod common;

use common::gateway;
use insta::assert_snapshot;
use persimmon_soak::{fault::Fault, history::Content, Drill};
use persimmonctl::{args::ExplainArgs, explain};
use std::{env, fs, time::Duration};

/// A fault that lasts until the test is over.
const LONG: Duration = Duration::from_secs(30);

fn drill(name: &str) -> Drill {
    let folder = env::temp_dir().join(format!("persimmon-drill-{name}"));
    Drill::start(&gateway(), &folder).unwrap()
}

/// The story of a request: its lines, without what differs from run to run. How a connection was lost
/// does; why a request was refused does not.
fn story(drill: &Drill, tag: &str) -> String {
    let args = ExplainArgs {
        request: tag.to_owned(),
        logs: drill.logs(),
    };
    let told = explain(&args).unwrap();
    let kept = ["end", "next", "may_have_run", "reason", "tries_count"];
    let lines = told.lines().skip(1).map(|line| {
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
fn refused_though_upstreams_were_free() {
    let drill = drill("refused");
    drill.inject(Fault::StoreSilent(0), LONG);
    drill.pass(Duration::from_millis(5_500));
    let outcome = drill.ask(0, "status", "refused-1", 1);
    assert_eq!(outcome.answer, Some((503, Content::Whole)));
    assert_eq!(outcome.runs_count, 0);
    assert_snapshot!(story(&drill, "refused-1"), @"=> refused may_have_run=false reason=knowledge_too_old tries_count=0");
    // The next step: the line that says what this daemon lost.
    let log = fs::read_to_string(&drill.logs()[0]).unwrap();
    let lost = log
        .lines()
        .find(|line| line.contains("\"dependency\"") && line.contains("\"reachable\":false"));
    assert!(lost.is_some_and(|line| line.contains("operators")), "{log}");
}

#[test]
fn broken_off_in_mid_stream() {
    let drill = drill("broken");
    for engine in 0..3 {
        drill.inject(Fault::Breaks(engine), LONG);
    }
    let cut = (0..9).find_map(|index| {
        let tag = format!("broken-{index}");
        let outcome = drill.ask(1, "streamed", &tag, 20);
        matches!(outcome.answer, Some((200, Content::Cut))).then_some(tag)
    });
    assert_snapshot!(story(&drill, &cut.unwrap()), @r"
       sent
    => send_failed end=lost next=give_up
       refused may_have_run=true reason=upstream_failed tries_count=1
    ");
}

#[test]
fn perhaps_run_and_not_sent_again() {
    let drill = drill("unknown");
    for desk in 3..5 {
        drill.inject(Fault::Breaks(desk), LONG);
    }
    let lost = (0..9).find_map(|index| {
        let tag = format!("unknown-{index}");
        let outcome = drill.ask(1, "order", &tag, 1);
        assert!(outcome.runs_count <= 1, "{outcome:?}");
        matches!(outcome.answer, Some((502, _))).then_some(tag)
    });
    assert_snapshot!(story(&drill, &lost.unwrap()), @r"
       sent
    => send_failed end=lost next=give_up
       refused may_have_run=true reason=upstream_failed tries_count=1
    ");
}
