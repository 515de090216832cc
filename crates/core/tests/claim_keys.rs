//! Calls with an idempotency key are executed at most once.

mod entry_common;

use entry_common::{
    attempt, complete_with, deliver_ticket_messages, failed, granted, keyed_spec, member,
    ready_harness, summary_lines, ticket, EntryHarness, FakeStore,
};
use insta::assert_snapshot;
use persimmon_core::{ids::BodyHash, message::TicketMessage, request::UpstreamError};

fn call(harness: &mut EntryHarness, store: &mut FakeStore, number: u128, body: u64) -> String {
    let actions = harness.request(keyed_spec(number, "k", body));
    summary_lines(&harness.answer_store_calls(store, actions))
}

#[test]
fn duplicate_call_gets_the_stored_result() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (
        ready_harness("e1", 1, &mut store),
        ready_harness("e2", 2, &mut store),
    );
    assert_snapshot!(call(&mut first, &mut store, 1, 7), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(call(&mut second, &mut store, 2, 7), @"");
    first.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = first.ended(attempt(1, 0), complete_with("first"));
    actions.extend(first.advance(0));
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @r"
    o1 <- release #0 s complete true blame false cancel false tokens 0
    end complete
    ");
    let actions = second.advance(250);
    assert_snapshot!(summary_lines(&second.answer_store_calls(&mut store, actions)), @r#"
    end stored b"first"
    "#);
    assert_snapshot!(call(&mut second, &mut store, 3, 8), @"end refused key_reused not_run");
}

#[test]
fn lost_answer_to_an_insert_is_resolved_by_reading_the_row() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    store.loses_answers = true;
    assert_snapshot!(call(&mut first, &mut store, 1, 7), @"o1 <- request #0 from 0 avoid [] resume None");
    let mut second = ready_harness("e2", 2, &mut store);
    assert_snapshot!(call(&mut second, &mut store, 2, 7), @"");
}

#[test]
fn claim_times_out_without_the_store_and_leaves_no_row() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    store.down = true;
    assert_snapshot!(call(&mut first, &mut store, 1, 7), @"");
    let actions = first.advance(1_999);
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"");
    let actions = first.advance(1);
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"end refused store_unavailable not_run retry_after 2000ms");
    store.down = false;
    let actions = first.advance(1_000);
    first.answer_store_calls(&mut store, actions);
    assert_snapshot!(format!("{:?}", store.rows.keys()), @"[]");
}

#[test]
fn call_that_did_not_run_frees_its_key() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    call(&mut first, &mut store, 1, 7);
    for (number, upstream) in ["s", "t", "u", "v"].iter().enumerate() {
        let attempt = attempt(1, number as u32);
        first.answer("o1", attempt, granted(upstream, 1, false));
        let mut actions = first.ended(attempt, failed(0, UpstreamError::Refused));
        actions.extend(first.advance(0));
        let remaining = first.answer_store_calls(&mut store, actions);
        if number == 3 {
            assert_snapshot!(summary_lines(&remaining), @r"
            o1 <- release #3 v complete false blame true cancel false tokens 0
            end refused upstream_failed not_run retry_after 1000ms
            ");
        }
    }
    assert_eq!(store.rows.len(), 0);
}

#[test]
fn duplicate_of_a_call_with_lost_answer_gets_outcome_unknown() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    call(&mut first, &mut store, 1, 7);
    first.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = first.ended(attempt(1, 0), failed(0, UpstreamError::Broken));
    actions.extend(first.advance(0));
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @r"
    o1 <- release #0 s complete false blame true cancel true tokens 0
    end refused upstream_failed unknown
    ");
    assert_snapshot!(call(&mut first, &mut store, 2, 7), @"end refused key_unresolved unknown");
}

#[test]
fn ticket_is_used_once_without_the_store() {
    let mut store = FakeStore {
        down: true,
        ..FakeStore::default()
    };
    let (mut first, mut second) = (
        ready_harness("e1", 1, &mut store),
        ready_harness("e2", 2, &mut store),
    );
    first
        .directory
        .0
        .insert(second.me.vm.clone(), second.me.clone());
    second
        .directory
        .0
        .insert(first.me.vm.clone(), first.me.clone());
    let key = ticket(&mut first);
    let claim_messages = second.request(keyed_spec(1, &key, 7));
    let claim_messages = second.answer_store_calls(&mut store, claim_messages);
    let answers = deliver_ticket_messages(&mut first, &member("e2", 1), claim_messages.clone());
    assert_snapshot!(summary_lines(&deliver_ticket_messages(&mut second, &member("e1", 1), answers.clone())), @"o1 <- request #0 from 0 avoid [] resume None");
    // A repeated answer has no effect, and a call at the issuer itself can't use the ticket again.
    assert_snapshot!(summary_lines(&deliver_ticket_messages(&mut second, &member("e1", 1), answers)), @"");
    let actions = first.request(keyed_spec(2, &key, 7));
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"");
    let actions = first.advance(20_000);
    assert_snapshot!(summary_lines(&first.answer_store_calls(&mut store, actions)), @"end refused key_unresolved unknown retry_after 2000ms");
}

#[test]
fn ticket_of_an_earlier_incarnation_cannot_be_used() {
    let mut store = FakeStore::default();
    let key = ticket(&mut ready_harness("e1", 1, &mut store));
    let mut restarted = ready_harness("e1", 2, &mut store);
    restarted.me.incarnation = restarted.me.incarnation.next();
    let me = restarted.me.clone();
    restarted.directory.0.insert(me.vm.clone(), me);
    let message = TicketMessage::Claim {
        key: key.parse().expect("key"),
        claim: entry_common::id(5),
        body_hash: BodyHash::new(7),
    };
    let from = member("e2", 1);
    restarted.directory.0.insert(from.vm.clone(), from.clone());
    let answers = restarted.run(|entry, ctx, view| entry.on_ticket(ctx, view, &from, message));
    assert!(summary_lines(&answers).contains("ticket_use: Taken"));
    let actions = restarted.request(keyed_spec(1, &key, 7));
    assert_snapshot!(summary_lines(&restarted.answer_store_calls(&mut store, actions)), @"");
    let actions = restarted.advance(20_000);
    assert_snapshot!(summary_lines(&restarted.answer_store_calls(&mut store, actions)), @"end refused key_unresolved unknown retry_after 2000ms");
}

#[test]
fn expired_rows_are_removed() {
    let mut store = FakeStore::default();
    let mut first = ready_harness("e1", 1, &mut store);
    call(&mut first, &mut store, 1, 7);
    first.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = first.ended(attempt(1, 0), complete_with("first"));
    actions.extend(first.advance(0));
    first.answer_store_calls(&mut store, actions);
    let mut elapsed_ms = 0;
    while store.rows.keys().any(|key| key.starts_with("claims/")) {
        let actions = first.advance(10_000);
        first.answer_store_calls(&mut store, actions);
        elapsed_ms += 10_000;
        assert!(elapsed_ms < 40 * 3_600_000, "never removed");
    }
    assert!(elapsed_ms > 24 * 3_600_000, "removed after {elapsed_ms} ms");
}
