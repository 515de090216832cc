//! Refused callers who return: the retry times that they are told, and the slots kept for them.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    id, ms,
    node::{Node, Seen},
    replay::{Phase, Policy, Replay},
    KEY, PLAIN,
};
use insta::assert_snapshot;
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        AnswerOrigin, Call, DispatchAction, DispatchEvent, DispatchMessage, DispatchRecord,
        DispatchSettings, Dispatcher, ExtensionFrame, ExtensionKind, ExtensionMessage,
        RawDispatchSettings, RefusalReason, SendOutcome, SendPlan,
    },
    ids::{CallId, Fingerprint, ServiceName},
    returns::{
        choose_retry, Arrival, Promise, PromiseReport, PromiseReports, PromiseTable,
        RawReturnsSettings, RetryRequest, ReturnsSettings, SlotForecast,
    },
    units::{Millis, Time},
};

/// Slots of a plain service with two upstreams: each takes twice its six.
const PLAIN_ROOM_LEN: u64 = 24;

fn raw() -> RawDispatchSettings {
    RawDispatchSettings {
        // 25 calls earn less than one retry, so that repeats that counted as calls would show.
        retry_ratio: 0.03,
        retry_allowance_requests: 0.0,
        returns: Some(RawReturnsSettings::default()),
        ..RawDispatchSettings::default()
    }
}

fn settings() -> ReturnsSettings {
    ReturnsSettings::try_from(RawReturnsSettings::default()).unwrap()
}

fn replay(seed: u64, per_s: [f64; 3]) -> Replay {
    let mut replay = Replay::with_settings(Policy::Dispatcher, 9, 8, seed, raw());
    replay.let_callers_return(0.3);
    let outcome = replay.play(&[Phase {
        span_ms: 12_000,
        per_s,
    }]);
    println!("{per_s:?} {outcome}\n{:?}", replay.return_tally());
    replay
}

/// Guards against callers who are refused again at the time that they were told, against refusals while slots
/// are free, and against repeats that gain another time. Before, half of the refused were refused twice.
#[test]
fn callers_return_to_an_overloaded_service() {
    for (seed, short_per_s) in [(1, 90.0), (2, 120.0)] {
        let tally = replay(seed, [short_per_s, 0.0, 0.0]).return_tally();
        assert!(tally.refused > 500 && tally.told > 200 && tally.early > 200);
        assert!(tally.refused_again * 50 < tally.refused, "{tally:?}");
        assert_eq!((tally.idle, tally.early_told_other), (0, 0), "{tally:?}");
    }
}

/// Guards against the same with long prompts, whose memory and prefill decide as much as slots do.
#[test]
#[ignore = "KNOWN-RED: 2.8 % of the refused are refused twice, the bound is 2 %"]
fn callers_return_to_a_service_overloaded_with_long_prompts() {
    let tallies = (1..=4).map(|seed| replay(seed, [60.0, 4.0, 2.0]).return_tally());
    let sums = tallies.fold((0, 0), |(again, refused), tally| {
        (again + tally.refused_again, refused + tally.refused)
    });
    assert!(sums.0 * 50 < sums.1, "{sums:?}");
}

fn request(left_ms: u64, queued_len: usize) -> RetryRequest {
    RetryRequest {
        left_ms: Millis::new(left_ms),
        service_ms: 100.0,
        queued_len,
        drawn_ratio: 0.0,
    }
}

/// Guards against promises that together exceed their share of the slots, and against useless ones.
#[test]
fn a_retry_time_is_the_earliest_that_is_not_promised() {
    // A slot becomes free every 100 ms, and half of them may be promised.
    let forecast = SlotForecast::new((1..=10).map(|count| f64::from(count) * 100.0).collect());
    let choose = |promised: &[u64], request| {
        let promised: Vec<_> = promised.iter().copied().map(Millis::new).collect();
        format!(
            "{:?}",
            choose_retry(&settings(), &forecast, &promised, &request)
        )
    };
    let lines = [
        choose(&[], request(9_000, 0)),
        choose(&[250], request(9_000, 0)),
        choose(&[250, 400, 600], request(9_000, 0)),
        choose(&[900, 900, 900, 900], request(9_000, 0)),
        choose(&[], request(9_000, 14)),
        choose(&[], request(3_000, 14)),
        choose(&[], request(300, 0)),
    ];
    assert_snapshot!(lines.join("\n"), @"
    Some(Promise(Millis(250)))
    Some(Promise(Millis(400)))
    Some(Promise(Millis(800)))
    Some(Promise(Millis(1000)))
    Some(Promise(Millis(1600)))
    Some(Hint(Millis(1600)))
    Some(Hint(Millis(250)))
    ");
    let none = choose_retry(
        &settings(),
        &SlotForecast::default(),
        &[],
        &request(9_000, 0),
    );
    assert_eq!(none, None);
}

fn promise(at_ms: u64) -> Promise {
    Promise {
        service: id(PLAIN),
        priority: 1,
        at: Time::from_ms(at_ms),
        keeps_slot: true,
        is_own: true,
    }
}

/// Guards against slots that are kept too early, too long or from more urgent calls, and against a table that grows
/// without bound.
#[test]
fn promises_are_kept_for_a_short_time_and_are_bounded() {
    let settings = ReturnsSettings {
        promises_max_len: 2,
        ..settings()
    };
    let service: ServiceName = id(PLAIN);
    let mut table = PromiseTable::default();
    for (number, at_ms, is_recorded) in [(1, 1_000, true), (2, 1_050, true), (3, 1_100, false)] {
        let fingerprint = Fingerprint::new(number);
        let recorded = table.promise(Time::START, &settings, fingerprint, promise(at_ms));
        assert_eq!(recorded, is_recorded, "{number}");
    }
    let at = |ms| {
        let now = Time::from_ms(ms);
        let kept = [0, 1].map(|priority| table.kept_len(now, &settings, &service, priority));
        let judged = table.judge(now, &settings, Fingerprint::new(1), &service);
        format!("{ms}: {kept:?} {judged:?}")
    };
    assert_snapshot!([0, 899, 900, 950, 1_400, 1_401, 1_451].map(at).join("\n"), @"
    0: [0, 0] Early(Millis(1000))
    899: [0, 0] Early(Millis(101))
    900: [0, 1] Returned
    950: [0, 2] Returned
    1400: [0, 2] Returned
    1401: [0, 1] New
    1451: [0, 0] New
    ");
    let other = table.judge(Time::START, &settings, Fingerprint::new(1), &id("advisor"));
    assert_eq!(other, Arrival::New);
    // The first two have expired, so the third has room.
    let late = Time::from_ms(1_500);
    assert!(table.promise(late, &settings, Fingerprint::new(3), promise(2_000)));
    assert_eq!(table.len(), 1);
}

#[test]
fn settings_out_of_range_give_the_key_and_the_remedy() {
    let default = RawReturnsSettings::default();
    let wrong = [
        RawReturnsSettings {
            honoured_ratio: -0.1,
            ..default
        },
        RawReturnsSettings {
            promised_ratio: 0.95,
            ..default
        },
        RawReturnsSettings {
            least_ms: 100,
            ..default
        },
        RawReturnsSettings {
            lead_ms: 200,
            ..default
        },
        RawReturnsSettings {
            promises_max_len: 0,
            ..default
        },
    ];
    let errors = wrong.map(|raw| ReturnsSettings::try_from(raw).unwrap_err().to_string());
    assert_snapshot!(errors.join("\n"), @"
    dispatch.returns.honoured_ratio (in percent) is 0: give 1 to 100
    dispatch.returns.promised_ratio (in percent) is 95: give 1 to 90
    dispatch.returns.least_ms is 100: give 220 to 60000
    dispatch.returns.lead_ms is 200: give 0 to 125
    dispatch.returns.promises_max_len is 0: give 1 to 100000
    ");
}

/// Guards against a changed layout: daemons of other builds read these messages.
#[test]
fn promise_reports_keep_their_bytes() {
    let reports = PromiseReports {
        promised: vec![PromiseReport {
            fingerprint: Fingerprint::new(7),
            service: id(PLAIN),
            priority: 1,
            keeps_slot: true,
            due_ms: Millis::new(300),
        }],
        ended: vec![Fingerprint::new(8)],
    };
    let frame = ExtensionFrame::try_from(&ExtensionMessage::RetryPromises(reports)).unwrap();
    assert_snapshot!(format!("{} {:02x?}", frame.kind, &frame.body[..]), @"2 [01, 07, 06, 6f, 72, 64, 65, 72, 73, 01, 01, ac, 02, 01, 08]");
}

/// A daemon all of whose slots for the plain service are taken by its own calls.
fn full_node(name: &str) -> (Node, Vec<SendPlan>) {
    let mut node = Node::named(name);
    let settings = DispatchSettings::try_from(raw()).unwrap();
    node.dispatcher = Dispatcher::new(settings, id(name), id("a"));
    node.learn(0, 2);
    let sent = (0..PLAIN_ROOM_LEN).flat_map(|number| arrive(&mut node, 100 + number));
    let plans = sent.filter_map(|seen| match seen {
        Seen::Send(plan) => Some(*plan),
        _ => None,
    });
    let plans: Vec<_> = plans.collect();
    assert_eq!(plans.len() as u64, PLAIN_ROOM_LEN);
    (node, plans)
}

/// A request with this content arrives.
fn arrive(node: &mut Node, content: u64) -> Vec<Seen> {
    let number = node.dispatcher.open_len() as u64 + node.now.as_us() + content * 1_000_000_000;
    node.step(DispatchEvent::Arrived(Box::new(Call {
        id: CallId::new(number),
        request_id: format!("request-{number}").into(),
        host: "cells.example".into(),
        path: "/order/x".into(),
        key: Some(ApiKey::from(KEY)),
        deadline_ms: None,
        prompt: None,
        fingerprints: Vec::new(),
        prefix: Default::default(),
        content: Fingerprint::new(content),
        body_bytes: Default::default(),
        age_ms: Millis::ZERO,
    })))
}

/// The `Retry-After` of the only action, a refusal for lack of capacity.
fn refused_ms(seen: &[Seen]) -> u64 {
    match seen {
        [Seen::Refuse(_, RefusalReason::NoCapacity, false, Some(retry_ms))] => retry_ms.get(),
        other => panic!("no single refusal: {other:?}"),
    }
}

/// Guards against repeats that count as calls, which would earn retries, and against those that are sent.
#[test]
fn early_repeats_get_the_time_already_given_and_earn_no_retry() {
    let (mut node, plans) = full_node("vm-0");
    assert_eq!(arrive(&mut node, 1), []);
    let due_at = loop {
        node.now = node.now + ms(1);
        let seen = node.step(DispatchEvent::Tick);
        if !seen.is_empty() {
            break node.now + ms(refused_ms(&seen));
        }
    };
    for _ in 0..60 {
        node.now = node.now + ms(1);
        let retry_ms = refused_ms(&arrive(&mut node, 1));
        assert_eq!(node.now + ms(retry_ms), due_at);
    }
    let end = SendOutcome::Failed {
        status: 503,
        not_run: true,
        wrong_upstream: false,
        culprit: None,
        retry_after_ms: None,
        origin: AnswerOrigin::default(),
    };
    let seen = node.ends(&plans[0], end);
    let reason = RefusalReason::UpstreamsRefused;
    assert!(
        matches!(&seen[..], [Seen::Refuse(_, found, false, _), ..] if *found == reason),
        "{seen:?}"
    );
}

fn handle(node: &mut Node, event: DispatchEvent) -> Vec<DispatchAction> {
    let mut actions = Vec::new();
    node.dispatcher.handle(node.now, event, &mut actions);
    actions
}

fn extensions(actions: Vec<DispatchAction>) -> Vec<DispatchMessage> {
    let messages = actions.into_iter().filter_map(|action| match action {
        DispatchAction::Notify { message, .. } => Some(message),
        _ => None,
    });
    let is_extension = |message: &DispatchMessage| matches!(message, DispatchMessage::Extension(_));
    messages.filter(is_extension).collect()
}

/// Guards against a promise that is lost with the daemon that gave it, and against a malformed report that does
/// harm.
#[test]
fn a_promise_outlives_the_daemon_that_gave_it() {
    let ((mut one, _), (mut other, plans)) = (full_node("vm-0"), full_node("vm-1"));
    let up = handle(&mut other, DispatchEvent::PeerUp { vm: id("vm-0") });
    handle(&mut one, DispatchEvent::PeerUp { vm: id("vm-1") });
    for message in extensions(up) {
        let vm = id("vm-1");
        handle(&mut one, DispatchEvent::PeerMessage { vm, message });
    }
    assert_eq!(arrive(&mut one, 1), []);
    let mut actions = Vec::new();
    let due_at = loop {
        one.now = one.now + ms(1);
        actions.extend(handle(&mut one, DispatchEvent::Tick));
        let refusal = actions.iter().find_map(|action| match action {
            DispatchAction::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        });
        if let Some(refusal) = refusal {
            break one.now + refusal.retry_after_ms.unwrap();
        }
    };
    let reports = extensions(actions);
    assert_eq!(reports.len(), 1, "one message for the promise");
    other.now = one.now;
    let malformed = DispatchMessage::Extension(ExtensionFrame {
        kind: ExtensionKind::RETRY_PROMISES,
        body: vec![9, 1].into(),
    });
    let mut dropped_len = 0;
    for message in reports.into_iter().chain([malformed]) {
        let vm = id("vm-0");
        let actions = handle(&mut other, DispatchEvent::PeerMessage { vm, message });
        let is_dropped = actions.iter().any(|action| {
            matches!(action, DispatchAction::Log(record)
                if matches!(**record, DispatchRecord::ExtensionDropped { .. }))
        });
        dropped_len += usize::from(is_dropped);
    }
    assert_eq!(dropped_len, 1, "the malformed one alone");
    handle(&mut other, DispatchEvent::PeerDown { vm: id("vm-0") });
    let told_at = other.now + ms(refused_ms(&arrive(&mut other, 1)));
    assert!(told_at.since(due_at) <= ms(1) && due_at.since(told_at) <= ms(1));
    // A slot that becomes free shortly before is kept for the caller.
    other.now = due_at - ms(50);
    other.ends(&plans[0], SendOutcome::Delivered);
    assert_eq!(arrive(&mut other, 2), []);
    other.now = due_at;
    let seen = arrive(&mut other, 1);
    assert!(matches!(&seen[..], [Seen::Send(_)]), "{seen:?}");
}
