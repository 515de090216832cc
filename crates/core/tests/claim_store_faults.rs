//! Claims while the table service is delayed, unresponsive or overloaded, and released tickets.

mod entry_common;

use bytes::Bytes;
use entry_common::{
    attempt, complete_with, deliver_ticket_messages, failed, granted, keyed_spec, member,
    ready_harness, summary_lines, ticket, EntryHarness, FakeStore,
};
use insta::assert_snapshot;
use persimmon_core::{
    claim::{ClaimRecord, RawClaimSettings},
    entry::RawEntrySettings,
    platform::TableOp,
    request::UpstreamError,
    Action,
};

fn is_insert(op: &TableOp) -> bool {
    matches!(op, TableOp::Transact { writes, .. } if !writes.is_empty())
}

/// The store calls among `actions`, in order.
fn calls(actions: &[Action]) -> Vec<TableOp> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Table { op, .. } => Some(op.clone()),
        _ => None,
    });
    calls.collect()
}

#[test]
fn insert_that_arrives_after_its_withdrawal_has_no_effect() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    let sent = calls(&first.request(keyed_spec(1, "k", 7)));
    let delayed = sent.into_iter().find(is_insert).expect("insert");
    let actions = first.advance(2_000);
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"end refused store_unavailable not_run retry_after 2000ms");
    store.call(&delayed).expect("store");
    // The key is free: another daemon can claim it.
    let mut second = ready_harness("e2", 2, &mut store);
    let actions = second.request(keyed_spec(2, "k", 8));
    assert_snapshot!(summary_lines(&second.answer_store_calls(&mut store, actions)), @"o1 <- request #0 from 0 avoid [] resume None");
}

#[test]
fn failing_reads_are_retried_at_a_bounded_rate() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    store.loses_answers = true;
    let mut actions = first.request(keyed_spec(1, "k", 7));
    let mut calls_count = 0;
    for _ in 0..40 {
        let mut queue = std::mem::take(&mut actions);
        while let Some(action) = queue.pop() {
            if let Action::Table { token, op } = action {
                calls_count += 1;
                assert!(calls_count < 60, "the store is called without a pause");
                let answer = store.call(&op);
                store.down = true;
                queue.extend(first.store_answer(token, answer));
            }
        }
        actions = first.advance(50);
    }
    assert!(calls_count > 10, "{calls_count}");
}

#[test]
fn claim_times_out_if_the_store_does_not_answer() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    first.request(keyed_spec(1, "k", 7));
    assert_snapshot!(summary_lines(&first.advance(1_999)), @"");
    assert!(summary_lines(&first.advance(1)).contains("end refused store_unavailable not_run"));
    assert_eq!(first.entry.open_requests(), 0);
}

#[test]
fn claim_inserts_stay_within_the_write_budget() {
    let claims = RawClaimSettings {
        max_writes_per_s: 5,
        ..RawClaimSettings::default()
    };
    let raw = RawEntrySettings {
        claims,
        ..RawEntrySettings::default()
    };
    let mut store = FakeStore::default();
    let mut first = EntryHarness::with_name("e1", 1, raw);
    let actions = first.advance(0);
    first.answer_store_calls(&mut store, actions);
    for number in 0..50 {
        let actions = first.request(keyed_spec(number, &format!("k{number}"), 7));
        first.answer_store_calls(&mut store, actions);
    }
    assert_eq!(store.writes, 5);
    for _ in 0..20 {
        let actions = first.advance(100);
        first.answer_store_calls(&mut store, actions);
    }
    assert!((10..=15).contains(&store.writes), "{}", store.writes);
    assert!(first.entry.open_requests() < 20);
}

#[test]
fn dropped_writes_raise_an_alarm() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    let key = ticket(&mut first);
    let mut alarms = 0;
    for number in 0..4_200 {
        let key = if number == 0 {
            key.clone()
        } else {
            ticket(&mut first)
        };
        let mut actions = first.request(keyed_spec(number, &key, 7));
        actions.extend(first.answer("o1", attempt(number, 0), granted("s", 1, false)));
        actions.extend(first.ended(attempt(number, 0), failed(0, UpstreamError::Broken)));
        actions.extend(first.advance(0));
        let with_name = |action: &&Action| format!("{action:?}").contains("claim_writes_dropped");
        alarms += actions.iter().filter(with_name).count();
    }
    assert!(alarms > 0);
}

#[test]
fn results_are_stored_in_base64() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    let actions = first.request(keyed_spec(1, "k", 7));
    first.answer_store_calls(&mut store, actions);
    first.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = first.ended(attempt(1, 0), complete_with("first"));
    actions.extend(first.advance(0));
    first.answer_store_calls(&mut store, actions);
    let row: &Bytes = &store.rows["claims/w/k"];
    let text = String::from_utf8_lossy(row);
    assert!(text.contains(r#""body":"Zmlyc3Q=""#), "{text}");
    assert!(ClaimRecord::decode(row).is_some());
}

/// Two daemons that know each other, an unavailable store, and a ticket issued by the first daemon.
fn pair() -> (FakeStore, EntryHarness, EntryHarness, String) {
    let mut store = FakeStore {
        down: true,
        ..FakeStore::default()
    };
    let mut first = ready_harness("e1", 1, &mut store);
    let mut second = ready_harness("e2", 2, &mut store);
    first
        .directory
        .0
        .insert(second.me.vm.clone(), second.me.clone());
    second
        .directory
        .0
        .insert(first.me.vm.clone(), first.me.clone());
    let key = ticket(&mut first);
    (store, first, second, key)
}

#[test]
fn ticket_of_a_call_that_did_not_run_is_released() {
    let (mut store, mut first, mut second, key) = pair();
    let claim_messages = second.request(keyed_spec(1, &key, 7));
    let answers = deliver_ticket_messages(&mut first, &member("e2", 1), claim_messages.clone());
    deliver_ticket_messages(&mut second, &member("e1", 1), answers);
    for (number, upstream) in ["s", "t", "u", "v"].iter().enumerate() {
        let attempt = attempt(1, number as u32);
        second.answer("o1", attempt, granted(upstream, 1, false));
        second.ended(attempt, failed(0, UpstreamError::Refused));
    }
    assert_eq!(second.entry.open_requests(), 0);
    let release_messages = second.advance(0);
    deliver_ticket_messages(&mut first, &member("e2", 1), release_messages);
    // A delayed request of the claim that released the ticket does not get it again.
    let delayed = deliver_ticket_messages(&mut first, &member("e2", 1), claim_messages);
    assert!(summary_lines(&delayed).contains("ticket_use: Taken"));
    let actions = first.request(keyed_spec(2, &key, 9));
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"o1 <- request #0 from 0 avoid [] resume None");
}

#[test]
fn ticket_with_another_body_is_refused() {
    let (mut store, mut first, mut second, key) = pair();
    let actions = first.request(keyed_spec(1, &key, 7));
    first.answer_store_calls(&mut store, actions);
    let claim_messages = second.request(keyed_spec(2, &key, 8));
    let answers = deliver_ticket_messages(&mut first, &member("e2", 1), claim_messages);
    assert_snapshot!(summary_lines(&deliver_ticket_messages(&mut second, &member("e1", 1), answers)), @"end refused key_reused not_run");
}
