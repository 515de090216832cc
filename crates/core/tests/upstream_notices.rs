//! What upstreams say about themselves in answers: that they are about to stop, or that they want no
//! requests for a time.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    id, ms,
    node::{sent, Node, Seen},
    upstream, PLAIN,
};
use persimmon_core::{
    dispatch::{
        AnswerOrigin, DispatchAction, DispatchEvent, DispatchMessage, LeavingNotice, RefusalReason,
        SendOutcome, SendPlan,
    },
    fleet::UpstreamIncarnation,
    ids::UpstreamId,
    units::Millis,
    watch::Change,
};
use std::collections::{BTreeMap, VecDeque};

fn act(node: &mut Node, event: DispatchEvent) -> Vec<DispatchAction> {
    let mut actions = Vec::new();
    node.dispatcher.handle(node.now, event, &mut actions);
    actions
}

fn incarnation(upstream: &str, started_unix_ms: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id(upstream),
        started_unix_ms,
    }
}

fn notice(upstream: &str, started_unix_ms: u64) -> DispatchEvent {
    DispatchEvent::UpstreamLeaving(LeavingNotice {
        upstream: incarnation(upstream, started_unix_ms),
        address: "10.0.0.101:8080".parse().unwrap(),
        is_misdirected: false,
        request: None,
    })
}

/// The upstreams that get the next calls, if these come at the same time.
fn served_by(node: &mut Node) -> Vec<String> {
    let plans: Vec<_> = (0..9)
        .map(|_| sent(&node.call("status", 0).1).clone())
        .collect();
    for plan in &plans {
        node.ends(plan, SendOutcome::Delivered);
    }
    let mut upstreams: Vec<_> = plans.iter().map(|plan| plan.upstream.to_string()).collect();
    upstreams.sort();
    upstreams.dedup();
    upstreams
}

fn renew(node: &mut Node, started_unix_ms: u64, writes_count: u64) {
    let mut record = upstream(PLAIN, 101);
    record.started_unix_ms = started_unix_ms;
    record.writes_count = writes_count;
    node.upstreams(false, vec![Change::Upstream(Box::new(record))]);
}

/// A server that leaves says so in an answer before its entry says so, or without the store.
#[test]
fn a_leaving_upstream_gets_no_work_until_its_next_incarnation() {
    let mut node = Node::ready(0, 3);
    node.step(notice("orders-101", 1));
    assert_eq!(served_by(&mut node), ["orders-102", "orders-103"]);
    // Its entry may still be renewed as ready.
    renew(&mut node, 1, 9);
    assert_eq!(served_by(&mut node), ["orders-102", "orders-103"]);
    renew(&mut node, 2, 1);
    assert_eq!(served_by(&mut node).len(), 3);
}

#[test]
fn a_leaving_upstream_stays_out_when_its_entry_comes_back() {
    let mut node = Node::ready(0, 3);
    node.step(notice("orders-101", 1));
    node.upstreams(false, vec![Change::UpstreamRemoved(id("orders-101"))]);
    renew(&mut node, 1, 9);
    assert_eq!(served_by(&mut node), ["orders-102", "orders-103"]);
}

#[test]
fn a_delayed_notice_of_the_previous_incarnation_is_ignored() {
    let mut node = Node::ready(0, 3);
    renew(&mut node, 2, 1);
    node.step(notice("orders-101", 1));
    assert_eq!(served_by(&mut node).len(), 3);
}

#[test]
fn a_misdirected_notice_is_about_the_upstream_at_the_address() {
    let mut node = Node::ready(0, 3);
    node.step(DispatchEvent::UpstreamLeaving(LeavingNotice {
        upstream: incarnation("orders-77", 1),
        address: "10.0.0.101:8080".parse().unwrap(),
        is_misdirected: true,
        request: None,
    }));
    assert_eq!(served_by(&mut node), ["orders-102", "orders-103"]);
}

#[test]
fn calls_that_are_sent_again_avoid_a_leaving_upstream() {
    let mut node = Node::ready(0, 3);
    let (_, seen) = node.call("status", 0);
    let plan = sent(&seen).clone();
    let others: Vec<_> = ["orders-101", "orders-102", "orders-103"]
        .into_iter()
        .filter(|name| *name != plan.upstream.as_str())
        .collect();
    node.step(notice(others[0], 1));
    let seen = node.ends(&plan, turned_away(None));
    assert_eq!(sent(&seen).upstream, id(others[1]));
}

fn messages(actions: &[DispatchAction]) -> Vec<DispatchMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        DispatchAction::Notify { to: None, message } => Some(message.clone()),
        _ => None,
    });
    messages.collect()
}

#[test]
fn peers_learn_of_a_leaving_upstream_once() {
    let mut node = Node::ready(0, 3);
    node.step(DispatchEvent::PeerUp { vm: id("vm-9") });
    let leaving = DispatchMessage::UpstreamLeaving(incarnation("orders-101", 1));
    let actions = act(&mut node, notice("orders-101", 1));
    assert_eq!(messages(&actions), std::slice::from_ref(&leaving));
    assert_eq!(messages(&act(&mut node, notice("orders-101", 1))), []);
    // A peer that is notified does not pass it on.
    let mut peer = Node::ready(0, 3);
    let vm = id("vm-9");
    let event = DispatchEvent::PeerMessage {
        vm,
        message: leaving,
    };
    assert_eq!(messages(&act(&mut peer, event)), []);
    assert_eq!(served_by(&mut peer), ["orders-102", "orders-103"]);
}

#[test]
fn memory_reserved_at_an_engine_that_leaves_is_given_back() {
    let mut node = Node::ready(6, 0);
    let (_, seen) = node.call("digest", 600_000);
    let orders: Vec<_> = seen
        .iter()
        .filter_map(|seen| match seen {
            Seen::Order(order) => Some(order.clone()),
            _ => None,
        })
        .collect();
    let leaving = orders[0].upstream.clone();
    node.step(notice(leaving.as_str(), 1));
    let mut seen = Vec::new();
    for order in &orders {
        seen.extend(node.ordered(order, persimmon_core::dispatch::OrderOutcome::Done));
    }
    let sends_there = seen.iter().any(|seen| matches!(seen, Seen::Send(_)));
    let asks_there = seen.iter().any(|seen| {
        matches!(seen, Seen::Order(order) if order.upstream == leaving
            && order.kind != persimmon_core::dispatch::OrderKind::Release)
    });
    assert!(!sends_there && !asks_there, "{seen:?}");
}

fn turned_away(retry_after_ms: Option<Millis>) -> SendOutcome {
    SendOutcome::Failed {
        status: 503,
        not_run: true,
        wrong_upstream: false,
        culprit: None,
        retry_after_ms,
        origin: AnswerOrigin::default(),
    }
}

/// Calls that are open at the same time, if they are not turned away.
const CALLS_OPEN_LEN: usize = 9;

/// Sends calls at a fixed rate for a time. Every upstream of `full` turns each request away with the
/// rest of its time. Returns the number of requests that each upstream got.
fn play(
    node: &mut Node,
    full: &BTreeMap<UpstreamId, Millis>,
    calls_len: u64,
    span: Millis,
) -> (BTreeMap<String, usize>, Vec<Seen>) {
    let started_at = node.now;
    let mut got = BTreeMap::new();
    let mut refused = Vec::new();
    let mut open: VecDeque<SendPlan> = VecDeque::new();
    for index in 0..calls_len {
        node.now = started_at + ms(span.get() * index / calls_len);
        let (_, mut seen) = node.call("status", 0);
        while !seen.is_empty() {
            let mut next = Vec::new();
            for item in seen {
                let Seen::Send(plan) = item else {
                    refused.extend(matches!(item, Seen::Refuse(..)).then_some(item));
                    continue;
                };
                *got.entry(plan.upstream.to_string()).or_default() += 1;
                if let Some(for_ms) = full.get(&plan.upstream) {
                    let left_ms = for_ms.saturating_sub(node.now.since(started_at));
                    next.extend(node.ends(&plan, turned_away(Some(left_ms))));
                } else {
                    open.push_back(*plan);
                }
            }
            seen = next;
        }
        if open.len() > CALLS_OPEN_LEN {
            let plan = open.pop_front().unwrap();
            node.ends(&plan, SendOutcome::Delivered);
        }
    }
    (got, refused)
}

fn full(names: &[&str], for_ms: u64) -> BTreeMap<UpstreamId, Millis> {
    names.iter().map(|name| (id(name), ms(for_ms))).collect()
}

#[test]
fn an_upstream_that_turns_away_gets_nothing_while_others_have_room() {
    let mut node = Node::ready(0, 3);
    let (got, refused) = play(&mut node, &full(&["orders-101"], 2_000), 400, ms(1_900));
    assert_eq!(got["orders-101"], 1, "{got:?}");
    assert_eq!(refused, []);
    // It counts as full, not as faulty: it takes work again as soon as its time is over.
    node.now = node.now + ms(200);
    node.operators(false, Vec::new());
    assert!(served_by(&mut node).contains(&"orders-101".to_owned()));
}

/// The whole service sheds load: callers and retries of one daemon send at most two more requests to
/// each upstream, and the others learn when to come back.
#[test]
fn a_service_that_sheds_gets_two_more_requests_from_a_daemon() {
    let names = ["orders-101", "orders-102", "orders-103"];
    let mut node = Node::ready(0, 3);
    let (got, refused) = play(&mut node, &full(&names, 3_000), 300, ms(2_900));
    for name in names {
        assert!(got[name] <= 3, "{got:?}");
    }
    let retry_after_ms = |seen: &Seen| match seen {
        Seen::Refuse(_, RefusalReason::NoCapacity, false, after_ms) => *after_ms,
        _ => None,
    };
    let after: Vec<_> = refused.iter().filter_map(retry_after_ms).collect();
    assert!(after.len() > 250, "{}", refused.len());
    // Each is told the time at which the first upstream is free.
    assert!(
        after[0] > ms(2_700) && after[after.len() - 1] <= ms(200),
        "{after:?}"
    );
}

#[test]
fn a_call_that_can_wait_for_the_end_of_a_backoff_is_served_then() {
    let mut node = Node::ready(0, 1);
    let (_, refused) = play(&mut node, &full(&["orders-101"], 250), 1, ms(1));
    assert_eq!(refused.len(), 1);
    let (call, seen) = node.call("status", 0);
    assert_eq!(seen, []);
    let seen = node.pass(ms(300));
    assert!(
        matches!(&seen[..], [Seen::Send(plan)] if plan.call == call),
        "{seen:?}"
    );
}

#[test]
fn a_new_incarnation_of_an_upstream_takes_work_at_once() {
    let mut node = Node::ready(0, 1);
    play(&mut node, &full(&["orders-101"], 3_000), 1, ms(1));
    renew(&mut node, 2, 1);
    assert_eq!(served_by(&mut node), ["orders-101"]);
}

/// The store may carry out a write of an earlier start seconds late.
#[test]
fn a_delayed_write_of_an_earlier_start_does_not_end_a_backoff() {
    let mut node = Node::ready(0, 1);
    renew(&mut node, 2, 1);
    play(&mut node, &full(&["orders-101"], 3_000), 1, ms(1));
    renew(&mut node, 1, 9);
    let (_, seen) = node.call("status", 0);
    assert!(matches!(seen[..], [Seen::Refuse(..)]), "{seen:?}");
}

/// Sixty daemons learn that an upstream sheds: few of them ask it again before its time.
#[test]
fn peers_of_a_daemon_that_was_turned_away_hold_back() {
    let mut probes_len = 0;
    for own in 0..60 {
        let mut node = Node::named(&format!("vm-{own:02}"));
        for peer in (0..60).filter(|peer| *peer != own) {
            let vm = id(&format!("vm-{peer:02}"));
            node.step(DispatchEvent::PeerUp { vm });
        }
        node.learn(0, 1);
        let message = DispatchMessage::UpstreamBackoff {
            upstream: incarnation("orders-101", 1),
            for_ms: ms(3_000),
        };
        let vm = id("vm-peer");
        node.step(DispatchEvent::PeerMessage { vm, message });
        let (got, _) = play(&mut node, &full(&["orders-101"], 3_000), 100, ms(2_900));
        probes_len += got.get("orders-101").copied().unwrap_or_default();
    }
    assert!(probes_len <= 6, "{probes_len}");
}
