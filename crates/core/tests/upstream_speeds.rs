//! Learned speeds of upstreams: what counts as slow, for how long, and what it changes for callers.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    batch, catalog, daemons_listed, id, ms,
    node::{Node, Seen},
    upstream, upstream_list, ENGINES, PLAIN,
};
use insta::assert_snapshot;
use persimmon_core::{
    dispatch::{
        DispatchAction, DispatchEvent, DispatchMessage, DispatchSettings, Dispatcher,
        ExtensionFrame, ExtensionMessage, RawDispatchSettings, SendOutcome, SendPlan,
    },
    fleet::UpstreamIncarnation,
    speed::{RawSpeedSettings, SlowdownRatio, SpeedReport, SpeedSample, SpeedSettings, SpeedTable},
    units::Time,
    watch::{Change, Topic},
};

fn table() -> SpeedTable {
    SpeedTable::new(Some(
        SpeedSettings::try_from(RawSpeedSettings::default()).unwrap(),
    ))
}

fn engine(started_unix_ms: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id("advisor-1"),
        started_unix_ms,
    }
}

fn sample(upstream: UpstreamIncarnation, ratio: f64) -> SpeedSample {
    SpeedSample {
        upstream,
        is_engine: true,
        observed_ms: 100.0 * ratio,
        expected_ms: 100.0,
    }
}

fn slowdown(table: &SpeedTable, at: u64) -> SlowdownRatio {
    table.engine_slowdown(Time::from_ms(at), &id("advisor-1"))
}

/// Guards against one late answer that makes an upstream slow, against late detection, and against a slow
/// upstream that is avoided for good.
#[test]
fn an_upstream_counts_as_slow_after_some_samples_and_not_for_long() {
    let mut table = table();
    let mut lines = Vec::new();
    for at in [0, 100, 200, 300] {
        table.on_sample(Time::from_ms(at), &sample(engine(1), 5.0));
        lines.push(format!("{at} ms: {}", slowdown(&table, at)));
    }
    for at in [2_000, 4_000, 8_000] {
        lines.push(format!("{at} ms: {}", slowdown(&table, at)));
    }
    assert_snapshot!(lines.join("\n"));
    assert!(!slowdown(&table, 12_000).is_slow());
}

/// Guards against a restarted upstream that inherits the speed of its predecessor, and against a late sample
/// of the predecessor.
#[test]
fn a_restart_begins_at_the_expected_speed() {
    let mut table = table();
    for at in 0..4 {
        table.on_sample(Time::from_ms(at), &sample(engine(1), 5.0));
    }
    table.on_sample(Time::from_ms(5), &sample(engine(2), 1.0));
    assert!(!slowdown(&table, 5).is_slow());
    table.on_sample(Time::from_ms(6), &sample(engine(1), 20.0));
    assert!(!slowdown(&table, 6).is_slow());
}

/// Guards against a slow VM that takes each upstream for a slow one and tells its peers.
#[test]
fn a_daemon_that_is_slow_itself_blames_no_upstream() {
    let mut table = table();
    for at in 0..60 {
        let incarnation = UpstreamIncarnation {
            id: id(&format!("advisor-{}", at % 12)),
            started_unix_ms: 1,
        };
        table.on_sample(Time::from_ms(at * 50), &sample(incarnation, 4.0));
    }
    let slow = (0..12).filter(|number| {
        let id = id(&format!("advisor-{number}"));
        table.engine_slowdown(Time::from_ms(3_000), &id).is_slow()
    });
    assert_eq!(slow.count(), 0);
    assert!(table.take_reports().len() <= 3);
}

/// Guards against reports that are impossible: no number of samples gives such a sum.
#[test]
fn malformed_reports_change_nothing() {
    let mut table = table();
    for log_sum in [f32::NAN, f32::INFINITY, 900.0, -900.0] {
        let report = SpeedReport {
            upstream: engine(1),
            log_sum,
            samples_count: 2,
        };
        assert!(!table.on_report(Time::START, &[report]));
    }
    assert!(!slowdown(&table, 0).is_slow());
}

/// Peers learn of a slow upstream by a report, and forget it with its process.
#[test]
fn peers_share_what_they_learned() {
    let mut one = table();
    for at in 0..4 {
        one.on_sample(Time::from_ms(at), &sample(engine(1), 5.0));
    }
    let reports = one.take_reports();
    let message = ExtensionMessage::UpstreamSpeeds(reports);
    let frame = ExtensionFrame::try_from(&message).unwrap();
    let Ok(ExtensionMessage::UpstreamSpeeds(reports)) = ExtensionMessage::try_from(&frame) else {
        panic!("another message");
    };
    let mut other = table();
    assert!(other.on_report(Time::from_ms(10), &reports));
    assert!(slowdown(&other, 10).is_slow());
    other.forget(&id("advisor-1"));
    assert!(!slowdown(&other, 10).is_slow());
}

/// A plain service with three upstreams of 6 slots, called by several daemons, of which one upstream turns slow.
struct PlainFleet {
    daemons: Vec<Dispatcher>,
    messages: Vec<(u64, usize, Option<usize>, DispatchMessage)>,
    /// For each upstream the work that it has, in order of arrival: when it ends, and whose it is.
    ends: Vec<(u64, usize, SendPlan)>,
    busy: [Vec<u64>; 3],
    arrived: std::collections::BTreeMap<(usize, u64), u64>,
    late: Vec<u64>,
    calls_count: u64,
}

const WORK_MS: u64 = 60;
const SLOW_FACTOR: u64 = 5;
const SLOW_FROM_MS: u64 = 1_000;
const MESSAGE_DELAY_MS: u64 = 10;

impl PlainFleet {
    fn new(daemons_len: usize, speeds: Option<RawSpeedSettings>) -> Self {
        let raw = RawDispatchSettings {
            speeds,
            ..RawDispatchSettings::default()
        };
        let settings = DispatchSettings::try_from(raw).unwrap();
        let daemon = |index| Dispatcher::new(settings.clone(), id(&format!("vm-{index}")), id("a"));
        let mut fleet = Self {
            daemons: (0..daemons_len).map(daemon).collect(),
            messages: Vec::new(),
            ends: Vec::new(),
            busy: Default::default(),
            arrived: Default::default(),
            late: Vec::new(),
            calls_count: 0,
        };
        for daemon in 0..daemons_len {
            let vms = (0..daemons_len).map(|index| id(&format!("vm-{index}")));
            fleet.handle(0, daemon, daemons_listed(vms));
            for peer in (0..daemons_len).filter(|peer| *peer != daemon) {
                let vm = id(&format!("vm-{peer}"));
                fleet.handle(0, daemon, DispatchEvent::PeerUp { vm });
            }
            let operators = batch(1, true, vec![Change::Catalog(Box::new(catalog(1)))]);
            let upstreams = batch(2, true, upstream_list(0, 3));
            for (topic, batch) in [(Topic::Operators, operators), (Topic::Upstreams, upstreams)] {
                let answer = Ok(Box::new(batch));
                fleet.handle(0, daemon, DispatchEvent::StoreAnswered { topic, answer });
            }
        }
        fleet
    }

    fn handle(&mut self, at: u64, daemon: usize, event: DispatchEvent) {
        let mut actions = Vec::new();
        self.daemons[daemon].handle(Time::from_ms(at), event, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send(plan) => self.run(at, daemon, *plan),
                DispatchAction::Notify { to, message } => {
                    let to = to.map(|vm| vm.as_str()[3..].parse().unwrap());
                    self.messages
                        .push((at + MESSAGE_DELAY_MS, daemon, to, message));
                }
                DispatchAction::ReadStore(call) if at > 0 => {
                    let answer = Ok(Box::new(batch(9, false, Vec::new())));
                    let topic = call.topic;
                    self.handle(at, daemon, DispatchEvent::StoreAnswered { topic, answer });
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, at: u64, daemon: usize, plan: SendPlan) {
        let index = (0..3)
            .find(|index| upstream(PLAIN, 101 + index).id == plan.upstream)
            .unwrap() as usize;
        let is_slow = index == 0 && at >= SLOW_FROM_MS;
        let work_ms = WORK_MS * if is_slow { SLOW_FACTOR } else { 1 };
        let busy = &mut self.busy[index];
        busy.retain(|end| *end > at);
        busy.sort_unstable();
        let start = if busy.len() < 6 {
            at
        } else {
            busy[busy.len() - 6]
        };
        busy.push(start + work_ms);
        self.ends.push((start + work_ms, daemon, plan));
    }

    /// Plays 16 requests a second, and returns the share of those that arrived from `from` on that were late.
    fn late_ratio(mut self, from: u64, until: u64) -> f64 {
        for at in 1..until + 2_000 {
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|m| m.0 <= at);
            self.messages = later;
            for (_, sender, to, message) in due {
                let len = self.daemons.len();
                let peers = (0..len).filter(|peer| to.map_or(*peer != sender, |to| to == *peer));
                for peer in peers.collect::<Vec<_>>() {
                    let vm = id(&format!("vm-{sender}"));
                    let message = message.clone();
                    self.handle(at, peer, DispatchEvent::PeerMessage { vm, message });
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
                .into_iter()
                .partition(|end| end.0 <= at);
            self.ends = later;
            for (_, daemon, plan) in due {
                let arrived = self.arrived[&(daemon, plan.call.get())];
                if at - arrived > 150 && arrived >= from {
                    self.late.push(arrived);
                }
                let (call, send) = (plan.call, plan.send);
                let end = SendOutcome::Delivered;
                self.handle(at, daemon, DispatchEvent::Ended { call, send, end });
            }
            if at % 20 == 0 {
                for daemon in 0..self.daemons.len() {
                    self.handle(at, daemon, DispatchEvent::Tick);
                }
            }
            if at % 62 == 0 && at < until {
                self.arrive(at);
            }
        }
        let asked = self.arrived.values().filter(|at| **at >= from).count();
        self.late.len() as f64 / asked as f64
    }

    fn arrive(&mut self, at: u64) {
        self.calls_count += 1;
        let daemon = (self.calls_count * 5 % self.daemons.len() as u64) as usize;
        let mut call = dispatch::plain_call("status", self.calls_count);
        call.age_ms = ms(0);
        self.arrived.insert((daemon, self.calls_count), at);
        self.handle(at, daemon, DispatchEvent::Arrived(Box::new(call)));
    }
}

/// Guards against a third of a plain service's callers who wait for one slow upstream. Callers need at least 9 of
/// 10 answers on time while two of three upstreams are well, from two seconds after it turned slow.
#[test]
fn a_slow_plain_upstream_gets_less_work() {
    let with = PlainFleet::new(8, Some(RawSpeedSettings::default())).late_ratio(3_000, 9_000);
    let without = PlainFleet::new(8, None).late_ratio(3_000, 9_000);
    assert!(
        with <= 0.1 && with < without,
        "{with:.2}, {without:.2} without"
    );
}

/// Numbers of 12 calls that go to each of two engines, if the first has this report.
fn calls_by_engine(report: SpeedReport, wait_ms: u64) -> [usize; 2] {
    let mut node = Node::with_settings(RawDispatchSettings {
        speeds: Some(RawSpeedSettings::default()),
        ..RawDispatchSettings::default()
    });
    node.learn(2, 0);
    let message = ExtensionMessage::UpstreamSpeeds(vec![report]);
    let frame = ExtensionFrame::try_from(&message).unwrap();
    let message = DispatchMessage::Extension(frame);
    let vm = id("vm-1");
    node.step(DispatchEvent::PeerMessage { vm, message });
    for _ in 0..wait_ms / 500 {
        node.pass(ms(500));
        node.operators(false, Vec::new());
        node.upstreams(false, Vec::new());
    }
    let mut counts = [0; 2];
    for _ in 0..12 {
        for seen in node.call("alarm", 5_000).1 {
            if let Seen::Send(plan) = seen {
                counts[usize::from(plan.upstream != upstream(ENGINES, 1).id)] += 1;
            }
        }
    }
    counts
}

/// Guards against a slow engine that gets as much work as the others, and against one that is avoided for good.
#[test]
fn a_slow_engine_gets_less_work_until_its_samples_are_old() {
    let report = |number, log: f32| SpeedReport {
        upstream: upstream(ENGINES, number).incarnation(),
        log_sum: log * 20.0,
        samples_count: 20,
    };
    let usual = calls_by_engine(report(1, 0.0), 0);
    let first_is_slow = calls_by_engine(report(1, 1.6), 0);
    let second_is_slow = calls_by_engine(report(2, 1.6), 0);
    // The engine that is preferred while both are well gets less than half of that.
    let (slow_len, usual_len) = if usual[0] > usual[1] {
        (first_is_slow[0], usual[0])
    } else {
        (second_is_slow[1], usual[1])
    };
    assert!(
        2 * slow_len < usual_len,
        "{slow_len} of {usual_len}, {first_is_slow:?} {second_is_slow:?}"
    );
    let usual_later = calls_by_engine(report(1, 0.0), 20_000);
    assert_eq!(calls_by_engine(report(1, 1.6), 20_000), usual_later);
}
