//! Reports of what one daemon read from the list of upstreams to the others.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{batch, id, ms, node::Node, position, upstream, PLAIN};
use persimmon_core::{
    dispatch::{DispatchAction, DispatchEvent, DispatchMessage, OperatorChange, UpstreamChange},
    watch::{Change, Topic},
};

const LEAVING: &str = "orders-101";

/// A daemon that knows three upstreams as of position 2 of the store, and one peer.
fn daemon(vm: &str, peer: &str) -> Node {
    let mut node = Node::named(vm);
    node.step(DispatchEvent::PeerUp { vm: id(peer) });
    node.learn(0, 3);
    node
}

/// Waits for the next read of the list of upstreams, answers it, and returns the messages to peers.
fn read(node: &mut Node, version: u64, changes: Vec<Change>) -> Vec<DispatchMessage> {
    node.pass(ms(1_200));
    let answer = Ok(Box::new(batch(version, false, changes)));
    let topic = Topic::Upstreams;
    let mut actions = Vec::new();
    let event = DispatchEvent::StoreAnswered { topic, answer };
    node.dispatcher.handle(node.now, event, &mut actions);
    let messages = actions.into_iter().filter_map(|action| match action {
        DispatchAction::Notify { to: None, message } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn receive(node: &mut Node, from: &str, messages: Vec<DispatchMessage>) {
    for message in messages {
        let vm = id(from);
        node.step(DispatchEvent::PeerMessage { vm, message });
    }
}

/// The store can't be read for longer than entries last.
fn is_cut_off(node: &mut Node) {
    node.store_fails(Topic::Upstreams);
    node.now = node.now + ms(5_000);
    node.step(DispatchEvent::Tick);
}

fn removed() -> Change {
    Change::UpstreamRemoved(id(LEAVING))
}

fn registered(writes_count: u64) -> Change {
    let mut record = upstream(PLAIN, 101);
    record.writes_count = writes_count;
    Change::Upstream(Box::new(record))
}

fn knows(node: &Node) -> bool {
    node.dispatcher.fleet().get(&id(LEAVING)).is_some()
}

/// After a cut, a daemon keeps an upstream for a while whose entry is gone. Its report took the peers past
/// the removal, and all of them used the upstream until it stopped (rule DRAIN, kabin-router).
#[test]
fn a_removal_that_the_reader_waits_out_reaches_its_peers() {
    let mut cut_off = daemon("vm-1", "vm-0");
    let mut peer = daemon("vm-0", "vm-1");
    is_cut_off(&mut cut_off);
    let report = read(&mut cut_off, 9, vec![removed()]);
    assert!(knows(&cut_off));
    receive(&mut peer, "vm-1", report);
    assert!(!knows(&peer));
}

/// A daemon kept an upstream through a cut, so its registration after the cut was no change there, and
/// the peers that had removed the upstream went without it.
#[test]
fn a_registration_that_is_no_change_for_the_reader_reaches_its_peers() {
    let mut cut_off = daemon("vm-1", "vm-0");
    let mut peer = daemon("vm-0", "vm-1");
    is_cut_off(&mut cut_off);
    read(&mut peer, 5, vec![removed()]);
    let report = read(&mut cut_off, 9, vec![registered(2)]);
    receive(&mut peer, "vm-1", report);
    assert!(knows(&peer));
}

/// A reader that did not know an upstream reported nothing of its removal, and the daemon that knew it
/// went on sending (rule DRAIN, kabin-router).
#[test]
fn a_removal_of_an_upstream_that_the_reader_does_not_know_reaches_its_peers() {
    let mut reader = daemon("vm-0", "vm-1");
    let mut peer = daemon("vm-1", "vm-0");
    read(&mut reader, 5, vec![removed()]);
    let nothing_new = DispatchMessage::UpstreamChanges {
        after: position(2),
        position: position(7),
        changes: Vec::new(),
    };
    receive(&mut reader, "vm-1", vec![nothing_new.clone()]);
    receive(&mut peer, "vm-0", vec![nothing_new]);
    let report = read(&mut reader, 9, vec![removed()]);
    receive(&mut peer, "vm-0", report);
    assert!(!knows(&peer));
}

/// An upstream said in an answer that it leaves. The daemon that got the answer read nothing new in the
/// list, and a peer that connected since was not notified.
#[test]
fn draining_that_the_reader_knew_before_reaches_its_peers() {
    let mut reader = daemon("vm-0", "vm-1");
    let mut peer = daemon("vm-1", "vm-0");
    let leaving = upstream(PLAIN, 101).incarnation();
    let notice = DispatchMessage::UpstreamLeaving(leaving);
    receive(&mut reader, "vm-2", vec![notice]);
    let mut record = upstream(PLAIN, 101);
    record.draining = true;
    record.writes_count = 2;
    let report = read(&mut reader, 9, vec![Change::Upstream(Box::new(record))]);
    receive(&mut peer, "vm-0", report);
    let known = peer.dispatcher.fleet().get(&id(LEAVING));
    assert!(known.is_some_and(|known| known.record.draining));
}

/// A peer's report overtakes an answer of the store that is older. The answer undid what the report said.
#[test]
fn an_answer_that_a_report_overtook_undoes_nothing() {
    let mut node = daemon("vm-1", "vm-0");
    node.pass(ms(1_200));
    let mut again = upstream(PLAIN, 101);
    again.writes_count = 3;
    let report = DispatchMessage::UpstreamChanges {
        after: position(2),
        position: position(12),
        changes: vec![UpstreamChange::Registered(again)],
    };
    receive(&mut node, "vm-0", vec![report]);
    read(&mut node, 10, vec![removed()]);
    assert!(knows(&node));
}

/// The same for operators' changes: a failure domain that was returned to service was out again.
#[test]
fn an_answer_that_a_passed_on_change_overtook_undoes_nothing() {
    let mut node = daemon("vm-1", "vm-0");
    node.pass(ms(1_200));
    let returned = DispatchMessage::OperatorChanges {
        after: position(1),
        position: position(12),
        changes: vec![OperatorChange::DomainReturned(id("a"))],
    };
    receive(&mut node, "vm-0", vec![returned]);
    let withdrawn = vec![Change::DomainWithdrawn(id("a"))];
    let answer = Ok(Box::new(batch(10, false, withdrawn)));
    let topic = Topic::Operators;
    node.step(DispatchEvent::StoreAnswered { topic, answer });
    assert!(node.dispatcher.fleet().withdrawn_domains().is_empty());
}

/// After a cut, a daemon waited two seconds for its next try to read the list, while peers reported changes
/// that it could not apply, and sent requests to an upstream that had left (rule DRAIN, cryogas-order-desk,
/// cut-then-release varied by seed 939856469516).
#[test]
fn a_report_with_a_gap_before_it_has_the_list_read_soon() {
    let mut node = Node::named("vm-5");
    for reader in ["vm-0", "vm-1"] {
        node.step(DispatchEvent::PeerUp { vm: id(reader) });
    }
    node.learn(0, 3);
    node.pass(ms(1_200));
    for _ in 0..6 {
        node.store_fails(Topic::Upstreams);
        node.now = node.now + ms(2_000);
        node.step(DispatchEvent::Tick);
    }
    node.store_fails(Topic::Upstreams);
    let report = DispatchMessage::UpstreamChanges {
        after: position(9),
        position: position(12),
        changes: Vec::new(),
    };
    receive(&mut node, "vm-0", vec![report]);
    let mut actions = Vec::new();
    node.now = node.now + ms(200);
    let tick = DispatchEvent::Tick;
    node.dispatcher.handle(node.now, tick, &mut actions);
    let reads = actions.iter().filter(|action| {
        matches!(action, DispatchAction::ReadStore(call) if call.topic == Topic::Upstreams)
    });
    assert_eq!(reads.count(), 1);
}

/// A report that arrived late kept the daemon from reading the list, as if it told of the present.
#[test]
fn a_delayed_report_postpones_no_read() {
    let mut node = daemon("vm-1", "vm-0");
    let report = |at| DispatchMessage::UpstreamChanges {
        after: position(2),
        position: position(at),
        changes: Vec::new(),
    };
    receive(&mut node, "vm-0", vec![report(12)]);
    node.now = node.now + ms(900);
    receive(&mut node, "vm-0", vec![report(5)]);
    let mut actions = Vec::new();
    node.now = node.now + ms(200);
    let tick = DispatchEvent::Tick;
    node.dispatcher.handle(node.now, tick, &mut actions);
    let reads = actions.iter().filter(|action| {
        matches!(action, DispatchAction::ReadStore(call) if call.topic == Topic::Upstreams)
    });
    assert_eq!(reads.count(), 1);
}
