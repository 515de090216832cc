//! Decisions of the memory budget: what is refused or waits as the budget fills, and how much upstreams bear.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    attempts, id, ms,
    node::{sent, Node, Seen},
};
use insta::assert_snapshot;
use persimmon_core::{
    dispatch::{
        DispatchAction, DispatchEvent, DispatchMessage, DispatchSettings, ExtensionFrame,
        ExtensionKind, ExtensionMessage, RawDispatchSettings, SendOutcome,
    },
    ids::{BodyId, SendId, ServiceName, UpstreamId, VmId},
    memory_budget::{
        MemoryLedger, MemorySettings, MemoryUse, RawMemorySettings, UpstreamBytesReport,
        UpstreamBytesTable,
    },
    path::{PathEnd, PathPlan},
    units::{ByteCount, Millis, Time},
};

const fn kb(kb: u64) -> ByteCount {
    ByteCount::new(kb << 10)
}

const MIN: ByteCount = kb(1_024);

fn raw_settings(vm_limit_mib: u64, budget_mib: Option<u64>) -> RawMemorySettings {
    RawMemorySettings {
        vm_limit_mib,
        budget_mib,
        unread_timeout_ms: 20_000,
        upstream_min_kib: 1_024,
    }
}

/// Guards against a budget that the VM's memory does not hold.
#[test]
fn the_budget_is_checked_against_the_limit_of_the_vm() {
    let lines = [
        raw_settings(160, None),
        raw_settings(160, Some(96)),
        raw_settings(160, Some(97)),
        raw_settings(160, Some(7)),
        raw_settings(64, None),
        RawMemorySettings {
            unread_timeout_ms: 0,
            ..raw_settings(512, None)
        },
        RawMemorySettings {
            upstream_min_kib: 0,
            ..raw_settings(512, None)
        },
    ]
    .map(|raw| match MemorySettings::try_from(raw) {
        Ok(settings) => format!("{} bytes", settings.budget_bytes),
        Err(error) => error.to_string(),
    });
    assert_snapshot!(lines.join("\n"), @"
    75497472 bytes
    100663296 bytes
    dispatch.memory.budget_mib is 97: give 8 to 96
    dispatch.memory.budget_mib is 7: give 8 to 96
    dispatch.memory.vm_limit_mib is 64: give 80 to 1048576
    dispatch.memory.unread_timeout_ms is 0: give 500 to 600000
    dispatch.memory.upstream_min_kib is 0: give 1 to 1048576
    ");
}

/// Guards against a full budget that refuses small requests before large ones, and against slow callers of large
/// responses that leave no room for others.
#[test]
fn the_largest_are_refused_first_and_the_last_part_is_for_small_responses() {
    let mut ledger = MemoryLedger::new(kb(64 << 10));
    let mut lines = Vec::new();
    for held_mb in [0, 24, 48, 52, 55, 56, 60, 64] {
        let held = ledger.held();
        let more = kb(held_mb << 10) - held;
        // Parts of 64 KB are small responses.
        for _ in 0..more.get() / kb(64).get() {
            assert!(ledger.hold(MemoryUse::Responses, ByteCount::ZERO, kb(64)));
        }
        let admitted = [0, 1, 64, 256, 1_024, 4_096, 16_384];
        let admitted = admitted
            .iter()
            .filter(|size| ledger.admits_request(kb(**size)));
        let largest = admitted
            .max()
            .map_or("none".to_owned(), |kb| format!("{kb} KB"));
        let mut fits = |memory_use, own| {
            let fits = ledger.hold(memory_use, own, kb(16));
            if fits {
                ledger.release(memory_use, kb(16));
            }
            fits
        };
        lines.push(format!(
            "{held_mb} MB held: requests up to {largest}, large response {}, small response {}, relay {}, connection {}",
            fits(MemoryUse::Responses, kb(64)),
            fits(MemoryUse::Responses, kb(48)),
            fits(MemoryUse::Relays, ByteCount::ZERO),
            fits(MemoryUse::Connections, ByteCount::ZERO),
        ));
    }
    assert_snapshot!(lines.join("\n"), @"
    0 MB held: requests up to 4096 KB, large response true, small response true, relay true, connection true
    24 MB held: requests up to 4096 KB, large response true, small response true, relay true, connection true
    48 MB held: requests up to 1024 KB, large response false, small response true, relay true, connection true
    52 MB held: requests up to 1024 KB, large response false, small response true, relay true, connection true
    55 MB held: requests up to 256 KB, large response false, small response true, relay true, connection true
    56 MB held: requests up to none, large response false, small response true, relay false, connection true
    60 MB held: requests up to none, large response false, small response true, relay false, connection false
    64 MB held: requests up to none, large response false, small response false, relay false, connection false
    ");
}

#[test]
fn the_request_of_which_most_was_received_is_refused_first() {
    let mut ledger = MemoryLedger::new(kb(8 << 10));
    for (body, received) in [(1, 10), (2, 300), (3, 300), (4, 20)] {
        ledger.on_received(BodyId::new(body), kb(received));
    }
    let mut refused = Vec::new();
    while let Some(body) = ledger.largest_receiving() {
        refused.push(body.get());
        ledger.on_receive_ended(body);
    }
    assert_eq!(refused, [3, 2, 4, 1]);
}

/// An upstream with requests of this many KB, which has responded to a request under `borne_kb`, terminates.
fn crash(
    table: &mut UpstreamBytesTable,
    now: Time,
    borne_kb: u64,
    crash_kb: u64,
) -> Option<ByteCount> {
    let (upstream, service): (UpstreamId, ServiceName) = (id("cells-1"), id("cells"));
    table.on_sent(now, SendId::new(1), &upstream, kb(borne_kb));
    table.on_response(&upstream, &service);
    table.on_ended(now, SendId::new(1));
    for send in 2..4 {
        table.on_sent(now, SendId::new(send), &upstream, kb(crash_kb / 2));
    }
    // Its requests are lost one by one before the termination is certain.
    for send in 2..4 {
        table.on_ended(now + ms(100), SendId::new(send));
    }
    table.on_crash(now + ms(200), &upstream, &service, MIN)
}

/// Guards against a limit that is learned from a termination for another reason, and against one that stays too high.
#[test]
fn the_limit_is_learned_from_terminations_above_what_upstreams_bear() {
    let mut lines = Vec::new();
    for (borne_kb, crash_kb) in [(100, 1_000), (100, 8_000), (9_000, 8_000), (1_500, 1_200)] {
        let mut table = UpstreamBytesTable::default();
        let mut now = Time::START;
        let mut limits = Vec::new();
        for borne_kb in [borne_kb, 0, 0] {
            now = now + Millis::from_secs(20);
            let limit = crash(&mut table, now, borne_kb, crash_kb);
            limits.push(limit.map_or("none".to_owned(), |limit| {
                format!("{} KB", limit.get() >> 10)
            }));
        }
        lines.push(format!(
            "borne {borne_kb} KB, ended under {crash_kb} KB: {}",
            limits.join(", ")
        ));
    }
    assert_snapshot!(lines.join("\n"), @"
    borne 100 KB, ended under 1000 KB: none, none, none
    borne 100 KB, ended under 8000 KB: 6000 KB, none, none
    borne 9000 KB, ended under 8000 KB: none, 6000 KB, none
    borne 1500 KB, ended under 1200 KB: none, 1024 KB, none
    ");
}

/// Guards against several daemons that together send more than an upstream bears, and against a limit for ever.
#[test]
fn a_limit_holds_over_all_daemons_and_grows() {
    let mut table = UpstreamBytesTable::default();
    let (upstream, service): (UpstreamId, ServiceName) = (id("cells-1"), id("cells"));
    let peer: VmId = id("vm-2");
    assert_eq!(crash(&mut table, Time::START, 100, 8_000), Some(kb(6_000)));
    let report = UpstreamBytesReport {
        held: vec![(upstream.clone(), kb(5_000))],
        limits: vec![(id("unknown"), kb(1))],
    };
    let now = Time::START + ms(500);
    let learned = table.on_report(now, &peer, report, MIN, |known| *known == service);
    assert_eq!(learned, []);
    let room =
        |table: &UpstreamBytesTable, now, size| table.has_room(now, &upstream, &service, kb(size));
    assert!(room(&table, now, 1_000) && !room(&table, now, 1_010));
    let later = now + Millis::from_secs(600);
    assert!(room(&table, later, 6_900) && !room(&table, later, 7_100));
    assert!(room(&table, later + Millis::from_secs(1_800), 100_000));
    table.forget_peer(&peer);
    // One that holds nothing takes a request of any size.
    assert!(room(&table, now, 100_000));
}

/// Guards against reports of each request: only changes that matter are reported, each once.
#[test]
fn small_changes_are_not_reported() {
    let mut table = UpstreamBytesTable::default();
    let upstream: UpstreamId = id("cells-1");
    let mut reports = Vec::new();
    for send in 0..40 {
        table.on_sent(Time::START, SendId::new(send), &upstream, kb(1));
        reports.extend(table.take_report());
    }
    for send in 0..40 {
        table.on_ended(Time::START, SendId::new(send));
        reports.extend(table.take_report());
    }
    let held: Vec<_> = reports
        .iter()
        .map(|report| report.held[0].1.get() >> 10)
        .collect();
    assert_eq!(held, [16, 32, 16, 0]);
    assert!(!table.has_news());
}

fn settings(is_on: bool) -> DispatchSettings {
    let raw = RawDispatchSettings {
        memory: is_on.then(|| raw_settings(160, None)),
        ..RawDispatchSettings::default()
    };
    DispatchSettings::try_from(raw).unwrap()
}

fn node(is_on: bool) -> Node {
    let mut node = Node::ready(0, 1);
    node.step(DispatchEvent::Reload(Box::new(settings(is_on))));
    // Limits are shared with daemons that may connect in the first seconds.
    node.now = node.now + Millis::from_secs(6);
    // A response to a read counts from when the read was sent.
    for _ in 0..2 {
        node.operators(false, Vec::new());
        node.step(DispatchEvent::Tick);
    }
    node
}

/// An upstream takes two bodies of 3 MB from a daemon and terminates. Returns the messages to peers.
fn lose_upstream(node: &mut Node) -> Vec<DispatchMessage> {
    node.body_bytes = kb(3 << 10);
    let plans = [0, 1].map(|_| sent(&node.call("status", 0).1).clone());
    let mut actions = Vec::new();
    for plan in &plans {
        let (call, send) = (plan.call, plan.send);
        let end = SendOutcome::Lost {
            reason: "connection reset".to_owned(),
            stalled: false,
        };
        let event = DispatchEvent::Ended { call, send, end };
        node.dispatcher.handle(node.now, event, &mut actions);
    }
    let event = DispatchEvent::UpstreamChecked {
        upstream: plans[0].incarnation(),
        attempts: attempts(&PathPlan::direct(), PathEnd::Refused),
    };
    node.dispatcher.handle(node.now, event, &mut actions);
    for _ in 0..3 {
        node.now = node.now + ms(200);
        node.dispatcher
            .handle(node.now, DispatchEvent::Tick, &mut actions);
    }
    let messages = actions.into_iter().filter_map(|action| match action {
        DispatchAction::Notify { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

/// The reports of bytes in messages, also those in batches.
fn reports(messages: Vec<DispatchMessage>) -> Vec<UpstreamBytesReport> {
    let reports = messages.into_iter().flat_map(|message| match message {
        DispatchMessage::Batch(messages) => reports(messages),
        DispatchMessage::Extension(frame) => match ExtensionMessage::try_from(&frame) {
            Ok(ExtensionMessage::UpstreamBytes(report)) => vec![report],
            _ => Vec::new(),
        },
        _ => Vec::new(),
    });
    reports.collect()
}

/// Guards against upstreams that terminate again and again under large requests, at whatever daemon they arrive; and
/// against any of this while the section is absent.
#[test]
fn peers_learn_the_limit_from_the_daemon_that_lost_an_upstream() {
    for is_on in [true, false] {
        let mut node = node(is_on);
        let vm: VmId = id("vm-1");
        node.step(DispatchEvent::PeerUp { vm: vm.clone() });
        let kinds = ExtensionMessage::Capabilities(ExtensionKind::READ.to_vec());
        let frame = ExtensionFrame::try_from(&kinds).unwrap();
        let message = DispatchMessage::Extension(frame);
        node.step(DispatchEvent::PeerMessage { vm, message });
        let reports = reports(lose_upstream(&mut node));
        if !is_on {
            assert_eq!(reports, []);
            continue;
        }
        let limits: Vec<_> = reports.iter().flat_map(|report| &report.limits).collect();
        assert_eq!(
            limits,
            [&(id("orders"), ByteCount::new(kb(6 << 10).get() / 100 * 75))]
        );
        let mut peer = self::node(true);
        for report in reports {
            let frame = ExtensionFrame::try_from(&ExtensionMessage::UpstreamBytes(report)).unwrap();
            let message = DispatchMessage::Extension(frame);
            let vm = id("vm-0");
            peer.step(DispatchEvent::PeerMessage { vm, message });
        }
        // One body goes to the upstream, the next would exceed what it bears.
        peer.body_bytes = kb(3 << 10);
        let sends = [0; 4].map(|_| peer.call("status", 0).1);
        let sent: Vec<_> = sends
            .iter()
            .map(|seen| matches!(seen[..], [Seen::Send(_)]))
            .collect();
        assert_eq!(sent, [true, false, false, false]);
    }
}
