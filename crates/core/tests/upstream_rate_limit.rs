//! Upstreams that state in their answers how many requests a second they take from all daemons together.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/limited_fleet.rs"]
mod limited_fleet;

use dispatch::{
    id, ms,
    node::{sent, Node},
    upstream, ENGINES, PLAIN,
};
use limited_fleet::LimitedFleet;
use persimmon_core::{
    dispatch::{
        DispatchEvent, DispatchMessage, RateLimitNotice, RateLimitReport, RateLimitTable,
        RateStatement,
    },
    units::{Millis, RequestsPerSecond, Time},
    watch::Change,
};

/// Time after which the platform holds the fleet to a new limit.
const LEARN_MS: Millis = Millis::new(3_000);

/// Span in which the platform counts requests, and what an upstream may get in it: one and a half times
/// what its limit allows, and five requests.
const SPAN_MS: Millis = Millis::new(4_000);

/// Time for which an upstream gets no request beyond its limit's probes, if it states zero.
const PROBE_INTERVAL_MS: Millis = Millis::new(30_000);

fn allowed_len(per_s: f64) -> usize {
    (SPAN_MS.get() as f64 / 1_000.0 * per_s * 1.5 + 5.0) as usize
}

/// An engine that had stated 2.3 requests a second got 30 in 4 s (rule LIMIT, jadeleaf-cells).
#[test]
fn an_upstream_gets_no_more_than_it_states_from_all_daemons_together() {
    for (route, per_s, limited) in [
        ("alarm", 30, [("advisor-3", 2.3), ("advisor-5", 1.6)]),
        ("status", 10, [("orders-101", 2.3), ("orders-102", 0.5)]),
    ] {
        let mut fleet = LimitedFleet::new(9, 10, 3);
        fleet.traffic(route, per_s, ms(2_000));
        for (upstream, limit_per_s) in limited {
            fleet.limits.insert(id(upstream), limit_per_s);
        }
        let since = fleet.now + LEARN_MS;
        fleet.traffic(route, per_s, ms(20_000));
        for (upstream, limit_per_s) in limited {
            let most = fleet.most_in(upstream, since, SPAN_MS);
            let allowed = allowed_len(limit_per_s);
            assert!(most <= allowed, "{upstream}: {most}, allowed {allowed}");
        }
    }
}

/// Many daemons see at the same moment that the upstream takes one more request.
#[test]
fn a_large_fleet_keeps_to_a_low_limit_under_load() {
    let mut fleet = LimitedFleet::new(60, 0, 3);
    for upstream in ["orders-101", "orders-102", "orders-103"] {
        fleet.limits.insert(id(upstream), 1.0);
    }
    fleet.traffic("status", 40, ms(1_000));
    let since = fleet.now + LEARN_MS;
    fleet.traffic("status", 40, ms(12_000));
    for upstream in ["orders-101", "orders-102", "orders-103"] {
        let most = fleet.most_in(upstream, since, SPAN_MS);
        assert!(most <= allowed_len(1.0), "{upstream}: {most}");
    }
}

/// Daemons of one failure domain are cut off from the others, and callers still reach all.
#[test]
fn daemons_that_are_cut_off_from_each_other_keep_to_the_limit_together() {
    let mut fleet = LimitedFleet::new(9, 0, 3);
    fleet.limits.insert(id("orders-101"), 3.0);
    fleet.traffic("status", 60, ms(4_000));
    fleet.cut_off(&[0, 1, 2]);
    // Daemons notice the cut by its silence.
    fleet.traffic("status", 60, ms(3_000));
    let since = fleet.now;
    fleet.traffic("status", 60, ms(12_000));
    let most = fleet.most_in("orders-101", since, SPAN_MS);
    assert!(most <= allowed_len(3.0), "{most}");
    fleet.heal();
    let since = fleet.now;
    fleet.traffic("status", 60, ms(8_000));
    let most = fleet.most_in("orders-101", since, SPAN_MS);
    assert!(most <= allowed_len(3.0), "{most}");
}

/// The same for a cold upstream: it may get one and a half times its rate in a second, and five requests, from
/// all daemons, whether they hear each other or not (rule FAILBACK).
#[test]
fn daemons_that_are_cut_off_from_each_other_spare_a_cold_upstream_together() {
    const COLD_PER_S: f64 = 14.0;
    let mut fleet = LimitedFleet::new(9, 1, 0);
    fleet.cut_off(&[0, 1, 2]);
    fleet.pass(ms(2_500));
    fleet.chill(1, COLD_PER_S);
    let since = fleet.now;
    fleet.traffic("alarm", 200, ms(5_000));
    let most = fleet.most_in("advisor-1", since, ms(1_000));
    assert!(most as f64 <= COLD_PER_S * 1.5 + 5.0, "{most}");
    assert!(most as f64 >= COLD_PER_S * 0.7, "{most}");
}

/// A limited upstream is slower, not at fault: callers are served by the others, and by it as far as it
/// takes requests.
#[test]
fn callers_are_served_beside_a_limited_upstream() {
    let mut fleet = LimitedFleet::new(9, 0, 3);
    fleet.limits.insert(id("orders-101"), 2.0);
    fleet.traffic("status", 20, ms(4_000));
    let (since, served_len) = (fleet.now, fleet.served_len);
    fleet.traffic("status", 20, ms(10_000));
    assert_eq!(fleet.refused, []);
    assert!(fleet.served_len >= served_len + 198);
    let got = fleet.got_since("orders-101", since);
    assert!((14..=22).contains(&got), "{got}");
}

/// Requests that can't be served in time are refused at once, and come back when there is room.
#[test]
fn calls_beyond_all_limits_are_refused_at_once_until_there_is_room() {
    let mut fleet = LimitedFleet::new(3, 0, 2);
    fleet.limits.insert(id("orders-101"), 0.2);
    fleet.limits.insert(id("orders-102"), 0.25);
    fleet.traffic("status", 10, ms(4_000));
    fleet.refused.clear();
    let served_len = fleet.served_len;
    fleet.traffic("status", 10, ms(20_000));
    let served_len = fleet.served_len - served_len;
    assert!((6..=11).contains(&served_len), "{served_len}");
    assert!(fleet.refused.len() > 180, "{}", fleet.refused.len());
    for (at, held_ms, retry_after_ms) in &fleet.refused {
        // A call is held only while the next request is due within its share of the deadline.
        assert!(*held_ms <= ms(600), "{at}: held for {held_ms}");
        let retry_after_ms = retry_after_ms.expect("time to come back");
        assert!(retry_after_ms <= ms(10_000), "{at}: {retry_after_ms}");
    }
    let longest = fleet
        .refused
        .iter()
        .filter_map(|(_, _, after_ms)| *after_ms)
        .max();
    assert!(longest > Some(ms(2_000)), "{longest:?}");
}

/// Zero is a limit, and so is less than a request in the counted span. Some request still goes there, as
/// nobody would learn otherwise that the limit has ended.
#[test]
fn very_low_limits_are_kept_and_their_end_is_noticed() {
    for limit_per_s in [0.0, 0.05] {
        let mut fleet = LimitedFleet::new(9, 0, 3);
        fleet.limits.insert(id("orders-101"), limit_per_s);
        fleet.traffic("status", 20, ms(1_000));
        let since = fleet.now + LEARN_MS;
        fleet.traffic("status", 20, ms(10_000));
        assert!(fleet.most_in("orders-101", since, SPAN_MS) <= 2);
        fleet.limits.clear();
        fleet.traffic("status", 20, PROBE_INTERVAL_MS + ms(5_000));
        let since = fleet.now;
        fleet.traffic("status", 20, ms(5_000));
        let got = fleet.got_since("orders-101", since);
        assert!(got >= 20, "{limit_per_s}: {got}");
    }
}

/// A limit ends with an answer that states none, and a higher one holds from then on, at all daemons.
#[test]
fn a_limit_that_is_raised_or_lifted_is_followed_by_all_daemons() {
    let mut fleet = LimitedFleet::new(9, 0, 1);
    fleet.limits.insert(id("orders-101"), 1.0);
    fleet.traffic("status", 20, ms(5_000));
    fleet.limits.insert(id("orders-101"), 8.0);
    fleet.traffic("status", 20, ms(3_000));
    let since = fleet.now;
    fleet.traffic("status", 20, ms(5_000));
    let got = fleet.got_since("orders-101", since);
    assert!((34..=44).contains(&got), "{got}");
    fleet.limits.clear();
    fleet.traffic("status", 20, ms(3_000));
    let since = fleet.now;
    fleet.traffic("status", 20, ms(5_000));
    let got = fleet.got_since("orders-101", since);
    assert!(got >= 98, "{got}");
}

#[test]
fn a_daemon_that_connects_later_keeps_to_the_limit() {
    let mut fleet = LimitedFleet::new(3, 0, 1);
    fleet.limits.insert(id("orders-101"), 1.0);
    fleet.traffic("status", 10, ms(4_000));
    for _ in 0..3 {
        fleet.start_daemon();
    }
    let since = fleet.now;
    fleet.traffic("status", 20, ms(8_000));
    let most = fleet.most_in("orders-101", since, SPAN_MS);
    assert!(most <= allowed_len(1.0), "{most}");
}

/// A daemon may hear from its peers before it has read the list of upstreams.
#[test]
fn a_daemon_that_hears_of_a_limit_while_it_starts_keeps_to_it() {
    let mut node = Node::empty();
    let report = RateLimitReport {
        upstream: upstream(PLAIN, 101).incarnation(),
        per_s: RequestsPerSecond::try_from(0.1).ok(),
        sent_ms: ms(80),
        received_ms: ms(50),
    };
    node.step(DispatchEvent::PeerMessage {
        vm: id("vm-1"),
        message: DispatchMessage::RateLimits(vec![report]),
    });
    node.learn(0, 2);
    for _ in 0..6 {
        let (_, seen) = node.call("status", 0);
        assert_eq!(sent(&seen).upstream, id("orders-102"));
    }
}

/// The process that stated the limit has ended.
#[test]
fn a_limit_ends_with_the_incarnation_of_its_upstream() {
    let mut fleet = LimitedFleet::new(3, 0, 1);
    fleet.limits.insert(id("orders-101"), 0.5);
    fleet.traffic("status", 10, ms(4_000));
    fleet.limits.clear();
    for node in &mut fleet.nodes {
        let mut record = upstream(PLAIN, 101);
        record.started_unix_ms = 2;
        node.upstreams(false, vec![Change::Upstream(Box::new(record))]);
    }
    let since = fleet.now;
    fleet.traffic("status", 10, ms(3_000));
    assert!(fleet.got_since("orders-101", since) >= 29);
}

/// An engine that reads a part of a prompt for another one gets a request by that, too.
#[test]
fn a_limited_engine_reads_no_part_of_a_prompt_beyond_its_limit() {
    let limited = ["advisor-2", "advisor-4"];
    let mut node = Node::ready(5, 0);
    for name in limited {
        let record = upstream(ENGINES, name[8..].parse().unwrap());
        node.step(DispatchEvent::UpstreamRateLimit(RateLimitNotice {
            upstream: record.incarnation(),
            address: record.address,
            is_misdirected: false,
            request: None,
            per_s: RequestsPerSecond::try_from(0.1).ok(),
            answered_after_ms: ms(30),
        }));
    }
    let (_, seen) = node.call("digest", 200_000);
    let plan = sent(&seen);
    let helpers = plan.helpers.iter().map(|helper| helper.address);
    let used: Vec<_> = helpers.chain([plan.address]).collect();
    assert!(used.len() > 1, "{plan:?}");
    for name in limited {
        let address = upstream(ENGINES, name[8..].parse().unwrap()).address;
        assert!(!used.contains(&address), "{name}: {plan:?}");
    }
}

fn statement(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> RateStatement {
    RateStatement {
        per_s: per_s.map(|per_s| RequestsPerSecond::try_from(per_s).unwrap()),
        sent_at: Time::from_ms(sent_ms),
        received_at: Time::from_ms(received_ms),
    }
}

/// Answers overtake each other: one that may be older neither lifts nor raises a limit, one that may be
/// newer lowers it.
#[test]
fn an_older_answer_changes_no_limit() {
    let limits = [
        (statement(Some(2.0), 100, 200), true),
        (statement(None, 150, 900), false),
        (statement(Some(3.0), 199, 900), false),
        (statement(Some(1.0), 50, 150), true),
        (statement(Some(3.0), 201, 300), true),
        (statement(Some(0.5), 100, 200), false),
        (statement(None, 301, 400), true),
        (statement(Some(1.0), 200, 299), false),
        (statement(Some(1.0), 200, 350), true),
    ];
    let mut table = RateLimitTable::default();
    for (index, (statement, changes)) in limits.into_iter().enumerate() {
        let changed = table.on_answer(&id("orders-101"), statement);
        assert_eq!(changed, changes, "{index}: {statement:?}");
    }
}

/// A daemon was cut off while a limit ended, and says afterwards that it holds.
#[test]
fn a_peer_with_an_older_limit_is_corrected() {
    let mut fleet = LimitedFleet::new(4, 0, 1);
    fleet.limits.insert(id("orders-101"), 2.0);
    fleet.traffic("status", 10, ms(4_000));
    fleet.cut_off(&[0]);
    fleet.pass(ms(2_500));
    fleet.limits.clear();
    for _ in 0..40 {
        fleet.call(1, "status");
        fleet.pass(ms(100));
    }
    fleet.heal();
    fleet.pass(ms(50));
    let since = fleet.now;
    fleet.traffic("status", 20, ms(4_000));
    assert!(fleet.got_since("orders-101", since) >= 79);
}
