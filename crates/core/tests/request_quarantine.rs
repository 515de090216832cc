//! Requests that end the process of each upstream that begins to work on them, of plain services too.

#[path = "common/crash_fleet.rs"]
mod crash_fleet;
#[path = "common/dispatch/mod.rs"]
mod dispatch;

use crash_fleet::{CrashFleet, Outcome};
use dispatch::ms;
use persimmon_core::ids::Fingerprint;

/// Bound on a request's transmissions after three upstreams have ended under it and peers have had time to
/// learn.
const LATE_SENDS_MAX_COUNT: usize = 3;

/// Time after the third crash in which the request may still be sent.
const LEARN_MS: u64 = 3_000;

fn content(number: u64) -> Fingerprint {
    Fingerprint::new(number)
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::new(10_000 + number)
}

const DEADLY: u64 = 666;

/// Traffic of a plain service by way of all daemons: 12 sound requests a second, and a deadly one that is
/// repeated three times a second.
fn tainted(fleet: &mut CrashFleet, route: &str, seconds: u64) {
    for step in 0..seconds * 12 {
        let daemon = step as usize % fleet.daemons_len();
        fleet.call_plain(daemon, "status", content(1_000 + step));
        if step % 4 == 0 {
            let daemon = (step / 5) as usize % fleet.daemons_len();
            fleet.call_plain(daemon, route, content(DEADLY));
        }
        fleet.pass(ms(80));
    }
}

/// One status read ended three upstreams again and again, 17 in 20 s (rule BUDGET, jadeleaf-cells).
#[test]
fn a_request_that_crashes_plain_upstreams_is_refused_by_all_daemons() {
    for route in ["status", "order"] {
        let mut fleet = CrashFleet::with_plain(9, 0, 3);
        fleet.deadly_requests.insert(content(DEADLY));
        tainted(&mut fleet, route, 30);
        let third = fleet.crashed_at.get(2).copied();
        let late = third.map_or(0, |at| fleet.deadly_sends_after(at + ms(LEARN_MS)));
        assert!(late <= LATE_SENDS_MAX_COUNT, "{route}: {late}");
        let crashes_count = fleet.crashed_at.len();
        assert!(crashes_count <= 6, "{route}: {crashes_count}");
    }
}

/// Sound requests of the same route, and callers of others, go on beside it.
#[test]
fn sound_requests_beside_a_refused_one_are_served() {
    let mut fleet = CrashFleet::with_plain(9, 0, 3);
    fleet.deadly_requests.insert(content(DEADLY));
    tainted(&mut fleet, "status", 30);
    // The upstreams are back.
    let since = fleet.started_at + ms(10_000);
    let (served, asked) = fleet.sound_served(since);
    assert!(asked > 200 && served == asked, "{served} of {asked}");
}

/// A refusal before the request was sent says that it did not run, one after that does not.
#[test]
fn a_refused_request_is_answered_truthfully() {
    let mut fleet = CrashFleet::with_plain(3, 0, 3);
    fleet.deadly_requests.insert(content(DEADLY));
    tainted(&mut fleet, "order", 15);
    let refused: Vec<_> = fleet.deadly_outcomes().collect();
    assert!(refused.iter().any(|(_, sends_count)| *sends_count == 0));
    for (outcome, sends_count) in refused {
        let Outcome::Refused { may_have_run } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(may_have_run, sends_count > 0);
    }
}

/// A non-idempotent request runs once for each try of its caller, whatever ends under it.
#[test]
fn a_non_idempotent_request_is_not_sent_again() {
    let mut fleet = CrashFleet::with_plain(3, 0, 3);
    fleet.deadly_requests.insert(content(DEADLY));
    tainted(&mut fleet, "order", 15);
    for (_, sends_count) in fleet.deadly_outcomes() {
        assert!(sends_count <= 1, "{sends_count}");
    }
}

/// All upstreams end for a cause of their own, over and over, while one caller repeats the same sound read.
#[test]
fn a_sound_request_that_is_often_repeated_is_served_after_crashes_of_another_cause() {
    let mut fleet = CrashFleet::with_plain(3, 0, 3);
    for _ in 0..6 {
        for domain in ["a", "b", "c"] {
            for step in 0..30 {
                fleet.call_plain(step % 3, "status", content(7));
                fleet.pass(ms(20));
            }
            fleet.call_plain(0, "status", content(7));
            fleet.pass(ms(10));
            fleet.crash_domain(domain);
        }
        fleet.pass(ms(5_000));
    }
    let since = fleet.now;
    for daemon in 0..3 {
        fleet.call_plain(daemon, "status", content(7));
        fleet.pass(ms(200));
    }
    assert_eq!(fleet.sound_served(since), (3, 3));
}

/// A request to a model has its own fingerprint beside those of its prompt's parts, which others share.
#[test]
fn a_deadly_request_to_a_model_condemns_no_part_of_its_prompt() {
    let mut fleet = CrashFleet::new(3, 12);
    let [shared, own] = [part(1), part(2)];
    fleet.deadly_requests.insert(content(DEADLY));
    for step in 0..60_u64 {
        let daemon = step as usize % 3;
        fleet.call(daemon, &[shared, part(100 + step % 20)]);
        if step % 6 == 0 {
            fleet.ask(daemon, "alarm", &[shared, own], content(DEADLY));
        }
        fleet.pass(ms(100));
    }
    let crashes_count = fleet.crashed_at.len();
    assert!(crashes_count <= 6, "{crashes_count}");
    fleet.pass(ms(4_000));
    let since = fleet.now;
    for daemon in 0..3 {
        fleet.call(daemon, &[shared, own]);
        fleet.pass(ms(1_500));
    }
    assert_eq!(fleet.sound_served(since), (3, 3));
}

/// A request that is sound again is served, after one try by one daemon.
#[test]
fn a_refused_request_is_tried_again_by_one_daemon() {
    let mut fleet = CrashFleet::with_plain(3, 0, 3);
    fleet.deadly_requests.insert(content(DEADLY));
    tainted(&mut fleet, "status", 10);
    let sends_count = fleet.deadly_sends_after(fleet.started_at);
    for step in 0..500 {
        fleet.call_plain(step % 3, "status", content(DEADLY));
        fleet.pass(ms(200));
    }
    let tried_count = fleet.deadly_sends_after(fleet.started_at) - sends_count;
    assert!((1..=2).contains(&tried_count), "{tried_count}");
    fleet.deadly_requests.clear();
    for step in 0..1_500 {
        fleet.call_plain(step % 3, "status", content(DEADLY));
        fleet.pass(ms(200));
    }
    let since = fleet.now;
    for daemon in 0..3 {
        fleet.call_plain(daemon, "status", content(DEADLY));
        fleet.pass(ms(300));
    }
    assert_eq!(fleet.sound_served(since), (3, 3));
}
