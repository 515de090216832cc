//! Calls with an idempotency key run at most once.

mod entry_common;

use entry_common::{
    attempt, complete_with, failed, granted, keyed_spec, lines, member, ready_bench, tell_ticket,
    ticket, Bench, FakeStore,
};
use insta::assert_snapshot;
use persimmon_core::{ids::BodyHash, message::TicketMessage, request::UpstreamError};

fn call(bench: &mut Bench, store: &mut FakeStore, number: u128, body: u64) -> String {
    let actions = bench.request(keyed_spec(number, "k", body));
    lines(&bench.settle(store, actions))
}

#[test]
fn a_duplicate_gets_the_first_result() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (
        ready_bench("e1", 1, &mut store),
        ready_bench("e2", 2, &mut store),
    );
    assert_snapshot!(call(&mut one, &mut store, 1, 7), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(call(&mut two, &mut store, 2, 7), @"");
    one.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = one.ended(attempt(1, 0), complete_with("first"));
    actions.extend(one.wait(0));
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @r"
    o1 <- release #0 s complete true blame false cancel false tokens 0
    end complete
    ");
    let actions = two.wait(250);
    assert_snapshot!(lines(&two.settle(&mut store, actions)), @r#"
    end stored b"first"
    "#);
    assert_snapshot!(call(&mut two, &mut store, 3, 8), @"end refused key_reused not_run");
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    store.loses_answers = true;
    assert_snapshot!(call(&mut one, &mut store, 1, 7), @"o1 <- request #0 from 0 avoid [] resume None");
    let mut two = ready_bench("e2", 2, &mut store);
    assert_snapshot!(call(&mut two, &mut store, 2, 7), @"");
}

#[test]
fn without_the_store_a_key_is_refused_and_leaves_nothing() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    store.down = true;
    assert_snapshot!(call(&mut one, &mut store, 1, 7), @"");
    let actions = one.wait(1_999);
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"");
    let actions = one.wait(1);
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"end refused store_unavailable not_run retry_after 2000ms");
    store.down = false;
    let actions = one.wait(1_000);
    one.settle(&mut store, actions);
    assert_snapshot!(format!("{:?}", store.rows.keys()), @"[]");
}

#[test]
fn a_call_that_did_not_run_gives_its_key_back() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    call(&mut one, &mut store, 1, 7);
    for (number, upstream) in ["s", "t", "u", "v"].iter().enumerate() {
        let attempt = attempt(1, number as u32);
        one.answer("o1", attempt, granted(upstream, 1, false));
        let mut actions = one.ended(attempt, failed(0, UpstreamError::Refused));
        actions.extend(one.wait(0));
        let rest = one.settle(&mut store, actions);
        if number == 3 {
            assert_snapshot!(lines(&rest), @r"
            o1 <- release #3 v complete false blame true cancel false tokens 0
            end refused upstream_failed not_run retry_after 1000ms
            ");
        }
    }
    assert_eq!(store.rows.len(), 0);
}

#[test]
fn a_lost_run_is_unknown_to_duplicates() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    call(&mut one, &mut store, 1, 7);
    one.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = one.ended(attempt(1, 0), failed(0, UpstreamError::Broken));
    actions.extend(one.wait(0));
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @r"
    o1 <- release #0 s complete false blame true cancel true tokens 0
    end refused upstream_failed unknown
    ");
    assert_snapshot!(call(&mut one, &mut store, 2, 7), @"end refused key_unresolved unknown");
}

#[test]
fn a_ticket_runs_once_without_the_store() {
    let mut store = FakeStore {
        down: true,
        ..FakeStore::default()
    };
    let (mut one, mut two) = (
        ready_bench("e1", 1, &mut store),
        ready_bench("e2", 2, &mut store),
    );
    one.directory.0.insert(two.me.vm.clone(), two.me.clone());
    two.directory.0.insert(one.me.vm.clone(), one.me.clone());
    let key = ticket(&mut one);
    let asked = two.request(keyed_spec(1, &key, 7));
    let asked = two.settle(&mut store, asked);
    let answers = tell_ticket(&mut one, &member("e2", 1), asked.clone());
    assert_snapshot!(lines(&tell_ticket(&mut two, &member("e1", 1), answers.clone())), @"o1 <- request #0 from 0 avoid [] resume None");
    // The answer or the question comes twice, and the issuer itself gets the key.
    assert_snapshot!(lines(&tell_ticket(&mut two, &member("e1", 1), answers)), @"");
    let actions = one.request(keyed_spec(2, &key, 7));
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"");
    let actions = one.wait(20_000);
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"end refused key_unresolved unknown retry_after 2000ms");
}

#[test]
fn nobody_can_use_a_ticket_of_an_earlier_run() {
    let mut store = FakeStore::default();
    let key = ticket(&mut ready_bench("e1", 1, &mut store));
    let mut next_run = ready_bench("e1", 2, &mut store);
    next_run.me.incarnation = next_run.me.incarnation.next();
    let me = next_run.me.clone();
    next_run.directory.0.insert(me.vm.clone(), me);
    let message = TicketMessage::Claim {
        key: key.parse().expect("key"),
        claim: entry_common::id(5),
        body_hash: BodyHash::new(7),
    };
    let from = member("e2", 1);
    next_run.directory.0.insert(from.vm.clone(), from.clone());
    let answers = next_run.run(|entry, ctx, view| entry.on_ticket(ctx, view, &from, message));
    assert!(lines(&answers).contains("ticket_use: Taken"));
    let actions = next_run.request(keyed_spec(1, &key, 7));
    assert_snapshot!(lines(&next_run.settle(&mut store, actions)), @"");
    let actions = next_run.wait(20_000);
    assert_snapshot!(lines(&next_run.settle(&mut store, actions)), @"end refused key_unresolved unknown retry_after 2000ms");
}

#[test]
fn old_rows_are_removed() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    call(&mut one, &mut store, 1, 7);
    one.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = one.ended(attempt(1, 0), complete_with("first"));
    actions.extend(one.wait(0));
    one.settle(&mut store, actions);
    let mut life_ms = 0;
    while store.rows.keys().any(|key| key.starts_with("claims/")) {
        let actions = one.wait(10_000);
        one.settle(&mut store, actions);
        life_ms += 10_000;
        assert!(life_ms < 40 * 3_600_000, "never removed");
    }
    assert!(life_ms > 24 * 3_600_000, "removed after {life_ms} ms");
}
