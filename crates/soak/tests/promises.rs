//! Each promise, with a fault planted that it must catch, and the allowed case beside it.

use insta::assert_snapshot;
use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::{Millis, Time},
};
use persimmon_soak::{
    history::{Book, Content, Observation, Part},
    promise::breaches,
};

/// A history that is written by hand.
#[derive(Default)]
struct Story(Vec<(Time, Observation)>);

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

impl Story {
    fn see(&mut self, ms: u64, seen: Observation) -> &mut Self {
        self.0.push((at(ms), seen));
        self
    }

    fn ask(&mut self, ms: u64, tag: &str, kind: CallKind) -> &mut Self {
        self.see(
            ms,
            Observation::Asked {
                tag: tag.into(),
                daemon: 0,
                kind,
                route: "extra".into(),
                key: "key".into(),
                deadline_ms: Millis::new(2_500),
            },
        )
    }

    fn run(&mut self, ms: u64, tag: &str, deadline: u64) -> &mut Self {
        let seen = Observation::Ran {
            tag: tag.into(),
            upstream: upstream(),
            domain: domain(),
            deadline_ms: Some(Millis::new(deadline)),
        };
        self.see(ms, seen)
    }

    fn rest(&mut self, ms: u64, tag: &str) -> &mut Self {
        let seen = Observation::Rested {
            tag: tag.into(),
            upstream: upstream(),
        };
        self.see(ms, seen)
    }

    fn answer(&mut self, ms: u64, tag: &str, status: u16, content: Content) -> &mut Self {
        let seen = Observation::Answered {
            tag: tag.into(),
            status,
            content,
        };
        self.see(ms, seen)
    }

    /// A request that is served as it should be.
    fn serve(&mut self, ms: u64, tag: &str) -> &mut Self {
        self.ask(ms, tag, STREAM)
            .run(ms + 5, tag, 2_400)
            .rest(ms + 50, tag)
            .answer(ms + 51, tag, 200, Content::Whole)
    }

    fn judge(&mut self, now: u64) -> String {
        self.0.sort_by_key(|(at, _)| *at);
        let book = Book::new(at(now), std::mem::take(&mut self.0));
        let found: Vec<_> = breaches(&book).iter().map(ToString::to_string).collect();
        found.join("\n")
    }
}

#[test]
fn a_run_without_a_fault_has_no_breach() {
    let mut story = Story::default();
    for index in 0..50 {
        story.serve(4_000 + index * 100, &format!("r{index}"));
    }
    assert_eq!(story.judge(60_000), "");
}

#[test]
fn wrong_answers() {
    let mut story = Story::default();
    story
        .ask(100, "r", STREAM)
        .run(110, "r", 2_400)
        .rest(120, "r");
    story.answer(130, "r", 200, Content::Wrong);
    assert_snapshot!(story.judge(9_000), @"whole answers only: r got a wrong answer");
}

#[test]
fn refusals_that_are_lies() {
    let mut story = Story::default();
    story
        .ask(100, "r", CallKind::NonIdempotent)
        .run(110, "r", 2_400);
    story.rest(120, "r").answer(130, "r", 503, Content::Whole);
    assert_snapshot!(story.judge(9_000), @"refusals are true: r was refused as not run, and ran");
}

#[test]
fn callers_without_a_last_word() {
    let mut story = Story::default();
    story.ask(5_000, "r", STREAM);
    assert_snapshot!(story.judge(9_000), @"answered in time: r had no last word by its deadline");
    // A daemon that stood still could not say it.
    story.see(6_000, Observation::Disturbed(Part::Daemon(0)));
    story.ask(5_000, "r", STREAM);
    assert_eq!(story.judge(9_000), "");
}

#[test]
fn proper_requests_that_are_denied() {
    let mut story = Story::default();
    story
        .ask(5_000, "r", STREAM)
        .answer(5_010, "r", 401, Content::Whole);
    assert_snapshot!(story.judge(9_000), @"proper requests are not denied: r was denied: Some((401, Whole))");
    // A new key may be unknown for two seconds.
    story.see(4_000, Observation::KeyNew { key: "key".into() });
    story
        .ask(5_000, "r", STREAM)
        .answer(5_010, "r", 401, Content::Whole);
    assert_eq!(story.judge(9_000), "");
}

#[test]
fn no_service_after_the_faults() {
    let mut story = Story::default();
    story.see(1_000, Observation::Disturbed(Part::Store));
    story.see(2_000, Observation::Calm(Part::Store));
    for index in 0..30 {
        let tag = format!("r{index}");
        story.ask(15_000 + index * 10, &tag, STREAM);
        story.answer(15_005 + index * 10, &tag, 503, Content::Whole);
    }
    assert_snapshot!(story.judge(30_000), @"served again after the faults: 0 of 30 requests after the last fault were served");
}

#[test]
fn requests_that_run_twice() {
    let mut story = Story::default();
    story
        .ask(100, "r", CallKind::NonIdempotent)
        .run(110, "r", 2_400)
        .rest(120, "r");
    story
        .run(130, "r", 2_400)
        .rest(140, "r")
        .answer(150, "r", 200, Content::Whole);
    story
        .ask(200, "s", STREAM)
        .run(210, "s", 2_400)
        .rest(220, "s");
    story
        .run(230, "s", 2_400)
        .rest(240, "s")
        .answer(250, "s", 200, Content::Whole);
    assert_snapshot!(story.judge(9_000), @"not run twice: r ran 2 times");
}

#[test]
fn deadlines_that_are_too_long() {
    let mut story = Story::default();
    let late = |story: &mut Story| {
        story
            .ask(5_000, "r", STREAM)
            .run(6_000, "r", 2_500)
            .rest(6_100, "r");
        story.answer(6_110, "r", 200, Content::Whole);
    };
    late(&mut story);
    assert_snapshot!(story.judge(9_000), @"deadlines handed down: r was given Some(Millis(2500))");
    // The link held the request back, though another upstream has started behind it (seed 601).
    late(&mut story);
    let before: UpstreamId = "engines-1-7".parse().unwrap();
    story.see(5_100, Observation::Disturbed(Part::from(&before)));
    story.see(6_000, Observation::Calm(Part::from(&before)));
    assert_eq!(story.judge(9_000), "");
}

#[test]
fn work_for_callers_who_left() {
    let mut story = Story::default();
    for index in 0..4 {
        let tag = format!("r{index}");
        story.ask(5_000, &tag, STREAM).run(5_010, &tag, 2_400);
        story.see(
            5_100,
            Observation::Left {
                tag: tag.as_str().into(),
            },
        );
        story.rest(7_000, &tag);
    }
    assert_snapshot!(story.judge(9_000), @r"
    departures followed: r0 is worked on after its caller left
    departures followed: r1 is worked on after its caller left
    departures followed: r2 is worked on after its caller left
    departures followed: r3 is worked on after its caller left
    ");
}

#[test]
fn changes_that_do_not_hold() {
    let changes = [
        Observation::Leaving {
            upstream: upstream(),
        },
        Observation::DomainOut { domain: domain() },
        Observation::KeyGone { key: "key".into() },
        Observation::RouteGone {
            route: "extra".into(),
        },
    ];
    let mut found = Vec::new();
    for change in changes {
        let mut story = Story::default();
        story.see(4_000, change).serve(9_500, "r");
        found.push(story.judge(20_000));
    }
    assert_snapshot!(found.join("\n"), @r"
    leaving upstreams get no work: r ran 5505ms later at engines-1-0
    failure domains out of service get no work: r ran 5505ms later at engines-1-0
    revoked keys are refused: r ran with a revoked key
    dropped routes are not served: r ran on a dropped route
    ");
}

#[test]
fn only_revoked_keys_bind_a_daemon_that_is_out_of_touch() {
    let mut story = Story::default();
    story.see(
        4_000,
        Observation::Leaving {
            upstream: upstream(),
        },
    );
    story.see(4_000, Observation::KeyGone { key: "key".into() });
    story.see(3_900, Observation::Disturbed(Part::StoreOf(0)));
    story.serve(9_500, "r");
    assert_snapshot!(story.judge(20_000), @"revoked keys are refused: r ran with a revoked key");
}

#[test]
fn cold_upstreams_that_are_overrun() {
    let mut story = Story::default();
    let cold = Observation::Cold {
        upstream: upstream(),
        for_ms: Millis::new(3_000),
    };
    story.see(4_000, cold);
    for index in 0..30 {
        story.serve(4_100 + index * 20, &format!("r{index}"));
    }
    assert_snapshot!(story.judge(20_000), @"cold upstreams and memory: engines-1-0 got 30 requests in a second while cold");
}

#[test]
fn memory_that_is_never_given_back() {
    let mut story = Story::default();
    story.serve(5_000, "r");
    story.see(
        5_001,
        Observation::Held {
            ticket: "r-1-0".into(),
        },
    );
    assert_snapshot!(story.judge(20_000), @"cold upstreams and memory: r-1-0 is still set aside");
    story.serve(5_000, "r");
    story.see(
        5_001,
        Observation::Held {
            ticket: "r-1-0".into(),
        },
    );
    story.see(
        5_100,
        Observation::Freed {
            ticket: "r-1-0".into(),
        },
    );
    assert_eq!(story.judge(20_000), "");
}

#[test]
fn planned_stops_that_cut_requests_off() {
    let mut story = Story::default();
    story.ask(5_000, "r", STREAM).run(5_010, "r", 2_400);
    story.see(5_100, Observation::Stopping { daemon: 0 });
    story
        .rest(5_300, "r")
        .see(5_301, Observation::Closed { tag: "r".into() });
    story.see(
        5_400,
        Observation::Ended {
            daemon: 0,
            code: Some(0),
        },
    );
    assert_snapshot!(story.judge(20_000), @"planned stops cut nothing off: daemon 0 cut r off");
}

#[test]
fn planned_stops_that_never_end() {
    let mut story = Story::default();
    story.see(5_000, Observation::Stopping { daemon: 0 });
    assert_snapshot!(story.judge(20_000), @"planned stops cut nothing off: daemon 0 ended as None, asked at Time(5000000)");
}
