//! Memory that is reserved at helper engines for a request that does not begin.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    ms,
    node::{sent, Node, Seen},
};
use persimmon_core::{
    dispatch::{
        DispatchEvent, DispatchMessage, InFlightReport, OrderKind, OrderOutcome, RefusalReason,
        ReserveOrder, SendOutcome, SendPlan,
    },
    ids::{CallId, SendId},
    units::{Millis, Time, Tokens},
};
use std::collections::BTreeMap;

/// Longest time that memory may be reserved without use: `idleMaxMs` of the deployments.
const IDLE_MAX_MS: Millis = Millis::new(9_000);

/// When each reservation was made, and when the last granted lease or a release ends it.
#[derive(Default)]
struct Leases(BTreeMap<String, (Time, Time)>);

impl Leases {
    /// Handles orders as an engine does that executes each at once. `answered` tells whether it answers.
    fn execute(&mut self, node: &mut Node, seen: &[Seen], answered: bool) -> Vec<Seen> {
        let mut next = Vec::new();
        for order in orders(seen) {
            let now = node.now;
            let lease = self.0.entry(order.ticket.to_string()).or_insert((now, now));
            match order.kind {
                OrderKind::Reserve { hold_ms, .. } => lease.1 = now + hold_ms,
                OrderKind::Release => lease.1 = now,
            }
            let end = if answered {
                OrderOutcome::Done
            } else {
                OrderOutcome::Lost
            };
            next.extend(node.ordered(&order, end));
        }
        next
    }

    fn longest_ms(&self) -> Millis {
        let spans = self.0.values().map(|(from, until)| until.since(*from));
        spans.max().unwrap_or_default()
    }
}

fn orders(seen: &[Seen]) -> Vec<ReserveOrder> {
    let orders = seen.iter().filter_map(|seen| match seen {
        Seen::Order(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

/// A daemon with a call whose memory is reserved and that was sent, and the engines' leases.
fn sent_with_reservations(engines_len: u16) -> (Node, Leases, CallId, SendPlan) {
    let mut node = Node::ready(engines_len, 0);
    let (call, seen) = node.call("digest", 500_000);
    let mut leases = Leases::default();
    let seen = leases.execute(&mut node, &seen, true);
    let plan = sent(&seen).clone();
    (node, leases, call, plan)
}

/// Guards against memory that stays reserved for a request at an engine that never begins it: it was renewed
/// for 14 s, until the caller left (rule STUCK, shifted jadeleaf, scale-1).
#[test]
fn memory_is_not_kept_for_a_request_that_does_not_begin() {
    let (mut node, mut leases, _, plan) = sent_with_reservations(4);
    // The engine hangs: the transport reports the stall, and no other engine has room.
    for _ in 0..1_300 {
        let seen = node.pass(ms(10));
        leases.execute(&mut node, &seen, true);
        node.step(DispatchEvent::Stalled {
            call: plan.call,
            send: plan.send,
            silent_ms: ms(1),
        });
    }
    let longest_ms = leases.longest_ms();
    assert!(longest_ms < IDLE_MAX_MS, "{longest_ms}");
}

/// Guards against a lease that outlives the limit because the engine does not answer releases.
#[test]
fn the_lease_ends_in_time_if_releases_are_lost() {
    let (mut node, mut leases, _, _) = sent_with_reservations(4);
    for _ in 0..1_300 {
        let seen = node.pass(ms(10));
        let reserves: Vec<_> = seen
            .into_iter()
            .filter(|seen| matches!(seen, Seen::Order(order) if order.kind != OrderKind::Release))
            .collect();
        leases.execute(&mut node, &reserves, true);
    }
    let longest_ms = leases.longest_ms();
    assert!(longest_ms < IDLE_MAX_MS, "{longest_ms}");
}

/// Guards against ending a request that has begun: its memory is in use, however long the answer takes.
#[test]
fn memory_in_use_is_renewed() {
    let (mut node, mut leases, call, plan) = sent_with_reservations(4);
    node.pass(ms(1_000));
    let send = plan.send;
    node.step(DispatchEvent::FirstByte { call, send });
    let begun = node.now;
    for _ in 0..80 {
        let seen = node.pass(ms(100));
        assert!(!seen.iter().any(|seen| matches!(seen, Seen::AbortAnswer(_))));
        leases.execute(&mut node, &seen, true);
    }
    let held = leases.0.values().all(|(_, until)| *until > node.now);
    assert!(held && node.now.since(begun) == ms(8_000));
}

/// Guards against reserving memory for a prompt that waits longer for its prefill than memory may stay
/// unused: one was sent with its first event predicted after 11 s.
#[test]
fn no_memory_is_reserved_for_a_prompt_that_begins_too_late() {
    let mut node = Node::ready(4, 0);
    // Each engine prefills for eight more seconds and has memory for a third of the prompt.
    let busy = (1..=4).map(|engine| InFlightReport {
        send: SendId::new(engine),
        upstream: dispatch::id(&format!("advisor-{engine}")),
        helpers: Vec::new(),
        prompt_tokens: Tokens::new(260_000),
        output_tokens: Tokens::new(1_000),
        memory_tokens: Tokens::new(250_000),
        pause_target_ms: ms(1_000),
        age_ms: Millis::ZERO,
        first_due_ms: None,
        writing_ms: None,
    });
    let message = DispatchMessage::Snapshot(busy.collect());
    let vm = dispatch::id("vm-1");
    node.step(DispatchEvent::PeerMessage { vm, message });
    let (_, seen) = node.call("digest", 150_000);
    assert_eq!(orders(&seen), []);
    let refused =
        |seen: &Seen| matches!(seen, Seen::Refuse(_, RefusalReason::NoCapacity, false, _));
    assert!(seen.iter().all(refused), "{seen:?}");
}

/// Guards against memory that is kept for a resumed answer at an engine that never begins: the first event came
/// from the engine before.
#[test]
fn memory_is_not_kept_for_a_resumed_answer_that_does_not_begin() {
    let (mut node, mut leases, call, plan) = sent_with_reservations(8);
    let send = plan.send;
    node.step(DispatchEvent::FirstByte { call, send });
    let lost = SendOutcome::Lost {
        reason: "reset".to_owned(),
        stalled: false,
    };
    leases.0.clear();
    let seen = node.ends(&plan, lost);
    let reserves =
        |seen: &Seen| matches!(seen, Seen::Order(order) if order.kind != OrderKind::Release);
    let reserved: Vec<_> = seen.into_iter().filter(reserves).collect();
    assert!(!reserved.is_empty());
    leases.execute(&mut node, &reserved, true);
    for _ in 0..1_300 {
        let seen = node.pass(ms(10));
        let reserved: Vec<_> = seen.into_iter().filter(reserves).collect();
        leases.execute(&mut node, &reserved, true);
    }
    let longest_ms = leases.longest_ms();
    assert!(longest_ms < IDLE_MAX_MS, "{longest_ms}");
}
