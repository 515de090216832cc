//! Each invariant against handwritten histories: one with a violation that it must detect, and allowed
//! ones.

use insta::assert_snapshot;
use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::{Millis, RequestsPerSecond, Time},
};
use persimmon_soak::{
    history::{BodyCheck, Component, IndexedHistory, Observation},
    invariant::violations,
};

/// A handwritten history.
#[derive(Default)]
struct HandwrittenHistory(Vec<(Time, Observation)>);

const STREAM: CallKind = CallKind::Streaming {
    resumable: true,
    pause_target_ms: Millis::new(250),
};

fn at(ms: u64) -> Time {
    Time::START + Millis::new(ms)
}

fn upstream() -> UpstreamId {
    "engines-1-0".parse().unwrap()
}

fn domain() -> FailureDomain {
    "north".parse().unwrap()
}

impl HandwrittenHistory {
    fn observe(&mut self, ms: u64, seen: Observation) -> &mut Self {
        self.0.push((at(ms), seen));
        self
    }

    fn send(&mut self, ms: u64, request_id: &str, kind: CallKind) -> &mut Self {
        self.send_to(0, ms, request_id, kind)
    }

    fn send_to(&mut self, daemon: usize, ms: u64, request_id: &str, kind: CallKind) -> &mut Self {
        self.observe(
            ms,
            Observation::RequestSent {
                request_id: request_id.into(),
                daemon,
                kind,
                route: "extra".into(),
                key: "key".into(),
                deadline_ms: Millis::new(2_500),
            },
        )
    }

    fn run(&mut self, ms: u64, request_id: &str, deadline: u64) -> &mut Self {
        let seen = Observation::RunStarted {
            request_id: request_id.into(),
            upstream: upstream(),
            domain: domain(),
            deadline_ms: Some(Millis::new(deadline)),
        };
        self.observe(ms, seen)
    }

    fn end_run(&mut self, ms: u64, request_id: &str) -> &mut Self {
        let seen = Observation::RunEnded {
            request_id: request_id.into(),
            upstream: upstream(),
        };
        self.observe(ms, seen)
    }

    fn answer(&mut self, ms: u64, request_id: &str, status: u16, body: BodyCheck) -> &mut Self {
        let seen = Observation::Answered {
            request_id: request_id.into(),
            status,
            body,
        };
        self.observe(ms, seen)
    }

    /// A request that is served correctly.
    fn serve(&mut self, ms: u64, request_id: &str) -> &mut Self {
        self.send(ms, request_id, STREAM)
            .run(ms + 5, request_id, 2_400)
            .end_run(ms + 50, request_id)
            .answer(ms + 51, request_id, 200, BodyCheck::Complete)
    }

    fn check(&mut self, now: u64) -> String {
        self.0.sort_by_key(|(at, _)| *at);
        let history = IndexedHistory::new(at(now), std::mem::take(&mut self.0));
        let found: Vec<_> = violations(&history)
            .iter()
            .map(ToString::to_string)
            .collect();
        found.join("\n")
    }
}

#[test]
fn correct_requests_violate_nothing() {
    let mut observations = HandwrittenHistory::default();
    for index in 0..50 {
        observations.serve(4_000 + index * 100, &format!("r{index}"));
    }
    assert_eq!(observations.check(60_000), "");
}

#[test]
fn wrong_answers() {
    let mut observations = HandwrittenHistory::default();
    observations
        .send(100, "r", STREAM)
        .run(110, "r", 2_400)
        .end_run(120, "r");
    observations.answer(130, "r", 200, BodyCheck::Wrong);
    assert_snapshot!(observations.check(9_000), @"whole answers only: r got a wrong answer");
}

#[test]
fn refused_as_not_run_but_run() {
    let mut observations = HandwrittenHistory::default();
    observations
        .send(100, "r", CallKind::NonIdempotent)
        .run(110, "r", 2_400);
    observations
        .end_run(120, "r")
        .answer(130, "r", 503, BodyCheck::Complete);
    assert_snapshot!(observations.check(9_000), @"refusals are true: r was refused as not run, and ran");
}

#[test]
fn callers_without_an_answer() {
    let mut observations = HandwrittenHistory::default();
    observations.send(5_000, "r", STREAM);
    assert_snapshot!(observations.check(9_000), @"answered in time: r was still open at its deadline");
    // Allowed where the daemon was disturbed.
    observations.observe(6_000, Observation::FaultStarted(Component::Daemon(0)));
    observations.send(5_000, "r", STREAM);
    assert_eq!(observations.check(9_000), "");
}

#[test]
fn proper_requests_that_are_denied() {
    let mut observations = HandwrittenHistory::default();
    observations
        .send(5_000, "r", STREAM)
        .answer(5_010, "r", 401, BodyCheck::Complete);
    assert_snapshot!(observations.check(9_000), @"proper requests are not denied: r was denied: Some((401, Complete))");
    // Allowed where the key is new: it may be unknown for two seconds.
    observations.observe(4_000, Observation::KeyAdded { key: "key".into() });
    observations
        .send(5_000, "r", STREAM)
        .answer(5_010, "r", 401, BodyCheck::Complete);
    assert_eq!(observations.check(9_000), "");
}

#[test]
fn no_service_after_the_faults() {
    let mut observations = HandwrittenHistory::default();
    observations.observe(1_000, Observation::FaultStarted(Component::Store));
    observations.observe(2_000, Observation::FaultEnded(Component::Store));
    for index in 0..30 {
        let request_id = format!("r{index}");
        observations.send(15_000 + index * 10, &request_id, STREAM);
        observations.answer(15_005 + index * 10, &request_id, 503, BodyCheck::Complete);
    }
    assert_snapshot!(observations.check(30_000), @"served again after the faults: 0 of 30 requests after the last fault were served");
}

#[test]
fn callers_that_are_refused_where_links_to_upstreams_are_lost() {
    let refusals = |refused_every: u64| {
        let mut observations = HandwrittenHistory::default();
        let links = Component::UpstreamLinks(0);
        observations.observe(1_000, Observation::FaultStarted(links.clone()));
        for index in 0..60 {
            let (lost, kept) = (format!("lost{index}"), format!("kept{index}"));
            let sent_ms = 5_000 + index * 30;
            observations.send_to(1, sent_ms, &kept, STREAM);
            observations.answer(sent_ms + 10, &kept, 200, BodyCheck::Complete);
            observations.send(sent_ms, &lost, STREAM);
            let status = if index % refused_every == 0 { 503 } else { 200 };
            observations.answer(sent_ms + 10, &lost, status, BodyCheck::Complete);
        }
        observations.observe(7_500, Observation::FaultEnded(links));
        observations.check(10_000)
    };
    assert_snapshot!(refusals(2), @"served without links to upstreams: 30 of 60 requests were served without links, 60 of 60 elsewhere");
    // Allowed where it is less than a third.
    assert_eq!(refusals(4), "");
}

#[test]
fn requests_that_run_twice() {
    let mut observations = HandwrittenHistory::default();
    observations
        .send(100, "r", CallKind::NonIdempotent)
        .run(110, "r", 2_400)
        .end_run(120, "r");
    observations
        .run(130, "r", 2_400)
        .end_run(140, "r")
        .answer(150, "r", 200, BodyCheck::Complete);
    observations
        .send(200, "s", STREAM)
        .run(210, "s", 2_400)
        .end_run(220, "s");
    observations
        .run(230, "s", 2_400)
        .end_run(240, "s")
        .answer(250, "s", 200, BodyCheck::Complete);
    assert_snapshot!(observations.check(9_000), @"not run twice: r ran 2 times");
}

#[test]
fn deadlines_that_are_too_long() {
    let mut observations = HandwrittenHistory::default();
    let late = |observations: &mut HandwrittenHistory| {
        observations
            .send(5_000, "r", STREAM)
            .run(6_000, "r", 2_500)
            .end_run(6_100, "r");
        observations.answer(6_110, "r", 200, BodyCheck::Complete);
    };
    late(&mut observations);
    assert_snapshot!(observations.check(9_000), @"deadlines handed down: r was given Some(Millis(2500))");
    // Allowed where the link delayed the request, also if another incarnation has started behind the
    // link since (seed 601).
    late(&mut observations);
    let before: UpstreamId = "engines-1-7".parse().unwrap();
    observations.observe(5_100, Observation::FaultStarted(Component::from(&before)));
    observations.observe(6_000, Observation::FaultEnded(Component::from(&before)));
    assert_eq!(observations.check(9_000), "");
}

#[test]
fn runs_after_the_caller_left() {
    let mut observations = HandwrittenHistory::default();
    for index in 0..4 {
        let request_id = format!("r{index}");
        observations
            .send(5_000, &request_id, STREAM)
            .run(5_010, &request_id, 2_400);
        observations.observe(
            5_100,
            Observation::CallerLeft {
                request_id: request_id.as_str().into(),
            },
        );
        observations.end_run(7_000, &request_id);
    }
    assert_snapshot!(observations.check(9_000), @r"
    departures followed: r0 is worked on after its caller left
    departures followed: r1 is worked on after its caller left
    departures followed: r2 is worked on after its caller left
    departures followed: r3 is worked on after its caller left
    ");
}

#[test]
fn changes_that_take_no_effect() {
    let changes = [
        Observation::UpstreamDraining {
            upstream: upstream(),
        },
        Observation::DomainDrained { domain: domain() },
        Observation::KeyRevoked { key: "key".into() },
        Observation::RouteRemoved {
            route: "extra".into(),
        },
    ];
    let mut found = Vec::new();
    for change in changes {
        let mut observations = HandwrittenHistory::default();
        observations.observe(4_000, change).serve(9_500, "r");
        found.push(observations.check(20_000));
    }
    assert_snapshot!(found.join("\n"), @r"
    leaving upstreams get no work: r ran 5505ms later at engines-1-0
    failure domains out of service get no work: r ran 5505ms later at engines-1-0
    revoked keys are refused: r ran with a revoked key
    dropped routes are not served: r ran on a dropped route
    ");
}

#[test]
fn changes_that_are_undone_by_a_restore_of_the_store() {
    let changes = [
        Observation::UpstreamDraining {
            upstream: upstream(),
        },
        Observation::DomainDrained { domain: domain() },
        Observation::RouteRemoved {
            route: "extra".into(),
        },
    ];
    let mut found = Vec::new();
    for change in changes {
        let mut observations = HandwrittenHistory::default();
        observations.observe(4_000, change);
        observations.observe(13_000, Observation::FaultStarted(Component::Store));
        observations.observe(13_000, Observation::StoreRestored);
        observations.serve(14_000, "r");
        found.push(observations.check(20_000));
    }
    assert_snapshot!(found.join("\n"), @r"
    changes once known hold: r ran at engines-1-0
    changes once known hold: r ran at engines-1-0
    changes once known hold: r ran at engines-1-0
    ");
    // Allowed where the daemon was restarted, or may not have learned of the change.
    for component in [Component::Daemon(0), Component::StoreLink(0)] {
        let mut observations = HandwrittenHistory::default();
        observations.observe(4_000, Observation::DomainDrained { domain: domain() });
        observations.observe(5_000, Observation::FaultStarted(component.clone()));
        observations.observe(6_000, Observation::FaultEnded(component));
        observations.observe(13_000, Observation::FaultStarted(Component::Store));
        observations.serve(14_000, "r");
        assert_eq!(observations.check(20_000), "");
    }
}

fn leaving_answer(observations: &mut HandwrittenHistory) {
    observations.serve(4_000, "first");
    observations.observe(
        4_040,
        Observation::LeavingAnswered {
            request_id: "first".into(),
            upstream: upstream(),
        },
    );
}

#[test]
fn upstreams_that_said_that_they_leave_and_get_work() {
    let mut observations = HandwrittenHistory::default();
    leaving_answer(&mut observations);
    // The daemon has lost the store, which excuses nothing.
    observations.observe(3_900, Observation::FaultStarted(Component::StoreLink(0)));
    observations.serve(5_900, "in time").serve(6_400, "late");
    assert_snapshot!(observations.check(20_000), @"upstreams that said that they leave get no work: late ran at engines-1-0, which leaves");
    leaving_answer(&mut observations);
    observations.observe(5_000, Observation::FaultStarted(Component::Daemon(0)));
    observations.observe(5_100, Observation::FaultEnded(Component::Daemon(0)));
    observations.serve(6_400, "after a restart");
    assert_eq!(observations.check(20_000), "");
}

fn turned_away(observations: &mut HandwrittenHistory, later: &[u64]) {
    observations.send(4_000, "r", STREAM);
    observations.observe(
        4_010,
        Observation::TurnedAway {
            request_id: "r".into(),
            upstream: upstream(),
            for_ms: Millis::new(2_000),
        },
    );
    observations.answer(4_020, "r", 503, BodyCheck::Complete);
    for at in later {
        observations.serve(*at, &format!("r{at}"));
    }
}

#[test]
fn upstreams_that_turned_away_and_are_asked_again() {
    let mut observations = HandwrittenHistory::default();
    turned_away(&mut observations, &[4_300, 5_000, 5_500, 6_100]);
    assert_eq!(observations.check(20_000), "");
    turned_away(&mut observations, &[4_600, 5_000, 5_500]);
    assert_snapshot!(observations.check(20_000), @"backoff of upstreams is kept: engines-1-0 got 3 requests of daemon 0");
}

/// A rate of 1.5 a second: 14 requests in four seconds are allowed, from daemons that knew for half a second.
fn rated_runs(observations: &mut HandwrittenHistory, from: u64, len: u64) {
    let per_s = RequestsPerSecond::try_from(1.5).ok();
    let upstream = upstream();
    observations.observe(4_000, Observation::RateLimitChanged { upstream, per_s });
    observations.serve(4_100, "told");
    observations.observe(
        4_110,
        Observation::RateLimitStated {
            request_id: "told".into(),
            upstream: self::upstream(),
        },
    );
    for index in 0..len {
        observations.serve(from + index * 100, &format!("r{from}-{index}"));
    }
}

#[test]
fn upstreams_that_state_a_rate_and_get_more() {
    let mut observations = HandwrittenHistory::default();
    rated_runs(&mut observations, 4_200, 28);
    assert_eq!(observations.check(20_000), "");
    let mut observations = HandwrittenHistory::default();
    rated_runs(&mut observations, 7_200, 14);
    assert_eq!(observations.check(20_000), "");
    let mut observations = HandwrittenHistory::default();
    rated_runs(&mut observations, 7_200, 15);
    assert_snapshot!(observations.check(20_000), @"rates that upstreams state are kept: engines-1-0 stated 1.5 requests a second and got 15 in 4 s");
}

#[test]
fn only_revoked_keys_apply_at_a_daemon_without_the_store() {
    let mut observations = HandwrittenHistory::default();
    observations.observe(
        4_000,
        Observation::UpstreamDraining {
            upstream: upstream(),
        },
    );
    observations.observe(4_000, Observation::KeyRevoked { key: "key".into() });
    observations.observe(3_900, Observation::FaultStarted(Component::StoreLink(0)));
    observations.serve(9_500, "r");
    assert_snapshot!(observations.check(20_000), @"revoked keys are refused: r ran with a revoked key");
}

#[test]
fn cold_upstreams_that_are_overloaded() {
    let mut observations = HandwrittenHistory::default();
    let cold = Observation::UpstreamCold {
        upstream: upstream(),
        for_ms: Millis::new(3_000),
    };
    observations.observe(4_000, cold);
    for index in 0..30 {
        observations.serve(4_100 + index * 20, &format!("r{index}"));
    }
    assert_snapshot!(observations.check(20_000), @"cold upstreams and memory: engines-1-0 got 30 requests in a second while cold");
}

#[test]
fn memory_that_is_never_released() {
    let mut observations = HandwrittenHistory::default();
    observations.serve(5_000, "r");
    observations.observe(
        5_001,
        Observation::MemoryReserved {
            ticket: "r-1-0".into(),
        },
    );
    assert_snapshot!(observations.check(20_000), @"cold upstreams and memory: r-1-0 is still reserved");
    observations.serve(5_000, "r");
    observations.observe(
        5_001,
        Observation::MemoryReserved {
            ticket: "r-1-0".into(),
        },
    );
    observations.observe(
        5_100,
        Observation::MemoryReleased {
            ticket: "r-1-0".into(),
        },
    );
    assert_eq!(observations.check(20_000), "");
}

#[test]
fn planned_stops_that_cut_requests_off() {
    let mut observations = HandwrittenHistory::default();
    observations.send(5_000, "r", STREAM).run(5_010, "r", 2_400);
    observations.observe(5_100, Observation::DaemonStopping { daemon: 0 });
    observations.end_run(5_300, "r").observe(
        5_301,
        Observation::ConnectionClosed {
            request_id: "r".into(),
        },
    );
    observations.observe(
        5_400,
        Observation::DaemonExited {
            daemon: 0,
            code: Some(0),
        },
    );
    assert_snapshot!(observations.check(20_000), @"planned stops cut nothing off: daemon 0 cut r off");
}

#[test]
fn planned_stops_that_never_end() {
    let mut observations = HandwrittenHistory::default();
    observations.observe(5_000, Observation::DaemonStopping { daemon: 0 });
    assert_snapshot!(observations.check(20_000), @"planned stops cut nothing off: daemon 0 exited with None, stop requested at Time(5000000)");
}
