//! The store comes back from an older copy: what this daemon knows neither regresses nor stands still.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    batch, batch_at, catalog, id, ms,
    node::{sent, Node, Seen},
    position, position_in, upstream, upstream_list, ENGINES, PLAIN,
};
use persimmon_core::{
    catalog::{CatalogStamp, RawCatalog},
    dispatch::{DispatchAction, DispatchEvent, DispatchMessage, RefusalReason, UpstreamChange},
    fleet::UpstreamRecord,
    ids::{CatalogVersion, StoreEra},
    units::{Millis, Time},
    watch::{Change, Topic, TopicWatch, WatchSettings},
};
use proptest::prelude::*;

fn watch() -> TopicWatch {
    let mut watch = TopicWatch::new(
        Topic::Operators,
        WatchSettings {
            wait_ms: ms(800),
            pause_ms: Millis::ZERO,
            timeout_ms: ms(1_000),
        },
    );
    watch.poll(Time::START);
    watch.on_answer(Time::START, &batch(50, true, Vec::new()));
    watch
}

fn set_catalog(node: &mut Node, whole: bool, raw: RawCatalog) {
    node.operators(whole, vec![Change::Catalog(Box::new(raw))]);
}

/// A catalog in which nobody holds the key of the tests.
fn catalog_without_key(version: u64) -> RawCatalog {
    RawCatalog {
        keys: Some(Vec::new()),
        ..catalog(version)
    }
}

fn refusal(node: &mut Node, route: &str) -> Option<RefusalReason> {
    let (_, seen) = node.call(route, 0);
    seen.iter().find_map(|seen| match seen {
        Seen::Refuse(_, reason, ..) => Some(*reason),
        _ => None,
    })
}

fn act(node: &mut Node, event: DispatchEvent) -> Vec<DispatchAction> {
    let mut actions = Vec::new();
    node.dispatcher.handle(node.now, event, &mut actions);
    actions
}

fn receive(node: &mut Node, message: DispatchMessage) -> Vec<DispatchAction> {
    let vm = id("vm-0");
    act(node, DispatchEvent::PeerMessage { vm, message })
}

fn stamp(era: u64, version: u64) -> CatalogStamp {
    CatalogStamp {
        era: StoreEra::new(era),
        version: CatalogVersion::new(version),
    }
}

#[test]
fn changes_since_a_version_of_the_old_era_are_not_used() {
    let mut watch = watch();
    assert_eq!(watch.poll(Time::START).unwrap().after, Some(position(50)));
    // The restored store gave version 50 out again: what it lost is missing from this answer.
    let change = vec![Change::DomainWithdrawn(id("a"))];
    let across = batch_at(position_in(1, 52), false, change);
    assert_eq!(watch.on_answer(Time::START, &across), None);
    assert_eq!(watch.poll(Time::START).unwrap().after, None);
    let all = batch_at(position_in(1, 40), true, Vec::new());
    assert!(watch.on_answer(Time::START, &all).unwrap().restored);
    assert_eq!(watch.position(), Some(position_in(1, 40)));
}

#[test]
fn a_delayed_answer_of_the_old_era_is_not_used() {
    let mut watch = watch();
    watch.poll(Time::START);
    watch.on_era(StoreEra::new(1), Time::START);
    watch.on_answer(Time::START, &batch_at(position_in(1, 40), true, Vec::new()));
    watch.poll(Time::START);
    let fresh_at = watch.fresh_at();
    let now = Time::START + ms(500);
    assert_eq!(watch.on_answer(now, &batch(60, false, Vec::new())), None);
    assert_eq!(watch.position(), Some(position_in(1, 40)));
    assert_eq!(watch.fresh_at(), fresh_at);
}

#[test]
fn positions_are_ordered_by_era_and_round_trip_as_text() {
    assert!(position_in(1, 2) > position_in(0, 900));
    let parsed = position_in(3, 14).to_string().parse();
    assert_eq!(parsed, Ok(position_in(3, 14)));
}

#[test]
fn a_revoked_key_stays_revoked_although_the_copy_holds_it() {
    let mut node = Node::ready(2, 2);
    set_catalog(&mut node, false, catalog_without_key(5));
    node.restore_store(2);
    set_catalog(&mut node, true, catalog(4));
    assert_eq!(refusal(&mut node, "status"), Some(RefusalReason::WrongKey));
    // Operators write again what was lost, and go on.
    set_catalog(&mut node, false, catalog(4));
    assert_eq!(refusal(&mut node, "status"), Some(RefusalReason::WrongKey));
    set_catalog(&mut node, false, catalog_without_key(5));
    assert_eq!(refusal(&mut node, "status"), Some(RefusalReason::WrongKey));
    set_catalog(&mut node, false, catalog(6));
    assert_eq!(refusal(&mut node, "status"), None);
}

#[test]
fn a_daemon_that_knows_only_the_copy_serves_nobody_while_peers_know_more() {
    let mut node = Node::named("vm-5");
    node.step(DispatchEvent::PeerUp { vm: id("vm-0") });
    receive(&mut node, DispatchMessage::CatalogInUse(stamp(0, 5)));
    node.restore_store(0);
    node.learn(2, 2);
    let reason = refusal(&mut node, "status");
    assert_eq!(reason, Some(RefusalReason::KnowledgeTooOld));
    // The operators' newer catalog makes this daemon ready.
    let seen = node.operators(false, vec![Change::Catalog(Box::new(catalog(5)))]);
    assert!(seen.contains(&Seen::Ready(true)), "{seen:?}");
    assert_eq!(refusal(&mut node, "status"), None);
}

#[test]
fn a_newer_catalog_of_a_peer_in_the_same_era_stops_nobody() {
    let mut node = Node::named("vm-5");
    node.step(DispatchEvent::PeerUp { vm: id("vm-0") });
    receive(&mut node, DispatchMessage::CatalogInUse(stamp(0, 5)));
    node.learn(2, 2);
    assert_eq!(refusal(&mut node, "status"), None);
}

#[test]
fn a_peer_that_is_gone_stops_nobody() {
    let mut node = Node::named("vm-5");
    node.step(DispatchEvent::PeerUp { vm: id("vm-0") });
    receive(&mut node, DispatchMessage::CatalogInUse(stamp(0, 5)));
    node.restore_store(0);
    node.learn(2, 2);
    node.step(DispatchEvent::PeerDown { vm: id("vm-0") });
    assert_eq!(refusal(&mut node, "status"), None);
}

#[test]
fn the_catalog_in_use_is_reported_to_a_peer_that_connects() {
    let mut node = Node::ready(2, 2);
    let actions = act(&mut node, DispatchEvent::PeerUp { vm: id("vm-7") });
    let reported = actions.iter().any(|action| {
        matches!(action, DispatchAction::Notify { to: Some(to), message: DispatchMessage::CatalogInUse(known) }
            if *to == id("vm-7") && *known == stamp(0, 1))
    });
    assert!(reported, "{actions:?}");
}

fn uses(node: &mut Node) -> Vec<String> {
    let service = id(PLAIN);
    let usable = node.dispatcher.fleet().usable(&service);
    usable.map(|known| known.record.id.to_string()).collect()
}

fn restored_list(node: &mut Node, records: Vec<UpstreamRecord>) {
    let changes = records.into_iter();
    let changes = changes.map(|record| Change::Upstream(Box::new(record)));
    node.restore_store(2);
    node.upstreams(true, changes.collect());
}

#[test]
fn draining_and_removed_upstreams_of_the_copy_get_no_work() {
    let mut node = Node::ready(0, 3);
    let mut draining = upstream(PLAIN, 101);
    draining.draining = true;
    draining.writes_count = 2;
    node.upstreams(false, vec![Change::Upstream(Box::new(draining))]);
    node.upstreams(false, vec![Change::UpstreamRemoved(id("orders-102"))]);
    let copy = [101, 102, 103].map(|number| upstream(PLAIN, number));
    restored_list(&mut node, copy.to_vec());
    assert_eq!(uses(&mut node), ["orders-103"]);
    // A server that lives writes its entry again with a higher count.
    let mut renewed = upstream(PLAIN, 102);
    renewed.writes_count = 2;
    node.upstreams(false, vec![Change::Upstream(Box::new(renewed))]);
    assert_eq!(uses(&mut node), ["orders-102", "orders-103"]);
}

#[test]
fn upstreams_that_the_copy_lacks_stay_until_they_had_time_to_register() {
    let mut node = Node::ready(0, 3);
    restored_list(&mut node, vec![upstream(PLAIN, 101)]);
    assert_eq!(uses(&mut node).len(), 3);
    node.pass(ms(2_000));
    assert_eq!(uses(&mut node), ["orders-101"]);
}

fn is_out(node: &Node) -> bool {
    let out = node.dispatcher.fleet().withdrawn_domains();
    out.contains(&id("a"))
}

fn without_domain() -> Node {
    let mut node = Node::ready(2, 3);
    node.operators(false, vec![Change::DomainWithdrawn(id("a"))]);
    node.restore_store(1);
    set_catalog(&mut node, true, catalog(1));
    node
}

#[test]
fn a_domain_out_of_service_stays_out_although_the_copy_lacks_it() {
    let mut node = without_domain();
    assert!(is_out(&node));
    // Operators write it again within the time that they have for that.
    node.pass(ms(6_000));
    assert!(is_out(&node));
    node.operators(false, vec![Change::DomainWithdrawn(id("a"))]);
    node.pass(ms(30_000));
    assert!(is_out(&node));
}

#[test]
fn a_domain_that_nobody_takes_out_again_returns() {
    let mut node = without_domain();
    node.pass(ms(9_900));
    assert!(is_out(&node));
    node.pass(ms(200));
    assert!(!is_out(&node));
}

#[test]
fn a_domain_that_operators_return_in_the_new_era_returns_at_once() {
    let mut node = without_domain();
    node.operators(false, vec![Change::DomainReturned(id("a"))]);
    assert!(!is_out(&node));
}

#[test]
fn a_domain_stays_held_when_the_history_is_dropped_meanwhile() {
    let mut node = without_domain();
    set_catalog(&mut node, true, catalog(1));
    assert!(is_out(&node));
}

fn registrations(actions: &[DispatchAction]) -> Vec<Millis> {
    let times = actions.iter().filter_map(|action| match action {
        DispatchAction::Register { after_ms } => Some(*after_ms),
        _ => None,
    });
    times.collect()
}

#[test]
fn each_daemon_writes_its_entry_again_once_in_an_era() {
    let mut node = Node::ready(2, 2);
    let read = |node: &mut Node, topic, version| {
        let answer = Ok(Box::new(batch_at(
            position_in(1, version),
            true,
            Vec::new(),
        )));
        let actions = act(node, DispatchEvent::StoreAnswered { topic, answer });
        registrations(&actions)
    };
    let first = read(&mut node, Topic::Upstreams, 3);
    assert!(
        matches!(first[..], [after_ms] if after_ms < ms(500)),
        "{first:?}"
    );
    assert_eq!(read(&mut node, Topic::Operators, 3), []);
    assert_eq!(read(&mut node, Topic::Operators, 4), []);
}

fn reads(actions: &[DispatchAction], topic: Topic) -> bool {
    let read = |action: &DispatchAction| matches!(action, DispatchAction::ReadStore(call) if call.topic == topic && call.after.is_none());
    actions.iter().any(read)
}

/// A follower whose readers have seen the new era, or have not.
#[test]
fn daemons_of_two_eras_neither_go_back_nor_stand_still() {
    let mut node = Node::named("vm-5");
    node.step(DispatchEvent::PeerUp { vm: id("vm-0") });
    node.step(DispatchEvent::PeerUp { vm: id("vm-1") });
    node.learn(2, 2);
    let report = |era, version, asked_at| DispatchMessage::FreshnessReport {
        asked_at: Some(asked_at),
        changed: position_in(era, version),
        position: position_in(era, version),
    };
    let asked_at = node.now;
    node.pass(ms(100));
    // A reader of the new era: this daemon reads all entries soon, whatever the versions are.
    receive(&mut node, report(1, 1, asked_at));
    node.now = node.now + ms(200);
    assert!(reads(
        &act(&mut node, DispatchEvent::Tick),
        Topic::Operators
    ));
    node.restore_store(1);
    set_catalog(&mut node, true, catalog(1));
    let known_at = node.dispatcher.next_wakeup();
    // A reader of the old era confirms nothing, so the daemon reads the store itself in time.
    let asked_at = node.now;
    receive(&mut node, report(0, 900, asked_at));
    assert!(node.dispatcher.next_wakeup() <= known_at);
    let mut asked = false;
    for _ in 0..30 {
        node.now = node.now + ms(100);
        let mut actions = receive(&mut node, report(0, 900, asked_at));
        actions.extend(act(&mut node, DispatchEvent::Tick));
        asked |= actions.iter().any(|action| {
            matches!(action, DispatchAction::ReadStore(call) if call.topic == Topic::Operators)
        });
    }
    assert!(asked);
    assert_eq!(refusal(&mut node, "status"), None);
}

#[test]
fn changes_of_upstreams_from_a_peer_of_the_old_era_are_ignored() {
    let mut node = Node::ready(0, 3);
    let copy = [101, 102, 103].map(|number| upstream(PLAIN, number));
    restored_list(&mut node, copy.to_vec());
    let removed = |era| DispatchMessage::UpstreamChanges {
        after: position_in(era, 0),
        position: position_in(era, 500),
        changes: vec![UpstreamChange::Removed(id("orders-101"))],
    };
    receive(&mut node, removed(0));
    assert_eq!(uses(&mut node).len(), 3);
    receive(&mut node, removed(1));
    assert_eq!(uses(&mut node).len(), 2);
}

#[test]
fn requests_go_on_through_a_restore() {
    let mut node = Node::ready(4, 2);
    node.restore_store(1);
    set_catalog(&mut node, true, catalog(1));
    node.upstreams(true, upstream_list(4, 2));
    let (_, seen) = node.call("alarm", 5_000);
    assert!(sent(&seen).upstream.as_str().starts_with(ENGINES));
}

/// One step of a store that loses writes: operators write the next catalog, the store comes back as it
/// was some catalogs ago, or the daemon reads all or the changes.
#[derive(Clone, Copy, Debug)]
enum StoreStep {
    Write,
    Restore(u64),
    ReadAll,
    ReadChanges,
}

fn store_step() -> impl Strategy<Value = StoreStep> {
    prop_oneof![
        Just(StoreStep::Write),
        (0u64..4).prop_map(StoreStep::Restore),
        Just(StoreStep::ReadAll),
        Just(StoreStep::ReadChanges),
    ]
}

proptest! {
    /// Odd catalogs have no key, even ones have it. The daemon never goes back to an older catalog.
    #[test]
    fn the_catalog_in_use_never_regresses(steps in prop::collection::vec(store_step(), 1..40)) {
        let mut node = Node::empty();
        let (mut era, mut version) = (0, 2_u64);
        let mut newest_read = None;
        for step in steps {
            match step {
                StoreStep::Write => version += 1,
                StoreStep::Restore(lost) => {
                    era += 1;
                    version = version.saturating_sub(lost).max(1);
                }
                StoreStep::ReadAll | StoreStep::ReadChanges => {
                    let raw = if version % 2 == 1 { catalog_without_key(version) } else { catalog(version) };
                    let whole = matches!(step, StoreStep::ReadAll);
                    let batch = batch_at(position_in(era, version), whole, vec![Change::Catalog(Box::new(raw))]);
                    let known = node.dispatcher.catalog_version();
                    let topic = Topic::Operators;
                    node.step(DispatchEvent::StoreAnswered { topic, answer: Ok(Box::new(batch)) });
                    let used = node.dispatcher.catalog_version();
                    prop_assert!(used >= known);
                    newest_read = newest_read.max(used);
                    prop_assert_eq!(used, newest_read);
                    if whole && newest_read.is_none_or(|newest| newest <= CatalogVersion::new(version)) {
                        prop_assert_eq!(used, Some(CatalogVersion::new(version)));
                    }
                }
            }
        }
    }
}
