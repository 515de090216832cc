//! Claims while the table service is late, silent or overrun, and tickets that are given back.

mod entry_common;

use bytes::Bytes;
use entry_common::{
    attempt, complete_with, failed, granted, keyed_spec, lines, member, ready_bench, tell_ticket,
    ticket, Bench, FakeStore,
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

/// The store's calls among `actions`, in order.
fn calls(actions: &[Action]) -> Vec<TableOp> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Table { op, .. } => Some(op.clone()),
        _ => None,
    });
    calls.collect()
}

#[test]
fn an_insert_that_comes_after_its_withdrawal_claims_nothing() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    let sent = calls(&one.request(keyed_spec(1, "k", 7)));
    let late = sent.into_iter().find(is_insert).expect("insert");
    let actions = one.wait(2_000);
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"end refused store_unavailable not_run retry_after 2000ms");
    store.call(&late).expect("store");
    // The key is free: another daemon runs it.
    let mut two = ready_bench("e2", 2, &mut store);
    let actions = two.request(keyed_spec(2, "k", 8));
    assert_snapshot!(lines(&two.settle(&mut store, actions)), @"o1 <- request #0 from 0 avoid [] resume None");
}

#[test]
fn a_store_that_fails_reads_is_read_at_a_bounded_rate() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    store.loses_answers = true;
    let mut actions = one.request(keyed_spec(1, "k", 7));
    let mut calls_count = 0;
    for _ in 0..40 {
        let mut queue = std::mem::take(&mut actions);
        while let Some(action) = queue.pop() {
            if let Action::Table { token, op } = action {
                calls_count += 1;
                assert!(calls_count < 60, "the store is called without a pause");
                let answer = store.call(&op);
                store.down = true;
                queue.extend(one.platform(token, answer));
            }
        }
        actions = one.wait(50);
    }
    assert!(calls_count > 10, "{calls_count}");
}

#[test]
fn a_silent_store_refuses_in_time() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    one.request(keyed_spec(1, "k", 7));
    assert_snapshot!(lines(&one.wait(1_999)), @"");
    assert!(lines(&one.wait(1)).contains("end refused store_unavailable not_run"));
    assert_eq!(one.entry.open_requests(), 0);
}

#[test]
fn claims_are_written_within_their_budget() {
    let claims = RawClaimSettings {
        max_writes_per_s: 5,
        ..RawClaimSettings::default()
    };
    let raw = RawEntrySettings {
        claims,
        ..RawEntrySettings::default()
    };
    let mut store = FakeStore::default();
    let mut one = Bench::named("e1", 1, raw);
    let actions = one.wait(0);
    one.settle(&mut store, actions);
    for number in 0..50 {
        let actions = one.request(keyed_spec(number, &format!("k{number}"), 7));
        one.settle(&mut store, actions);
    }
    assert_eq!(store.writes, 5);
    for _ in 0..20 {
        let actions = one.wait(100);
        one.settle(&mut store, actions);
    }
    assert!((10..=15).contains(&store.writes), "{}", store.writes);
    assert!(one.entry.open_requests() < 20);
}

#[test]
fn dropped_results_raise_an_alarm() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    let key = ticket(&mut one);
    let mut alarms = 0;
    for number in 0..4_200 {
        let key = if number == 0 {
            key.clone()
        } else {
            ticket(&mut one)
        };
        let mut actions = one.request(keyed_spec(number, &key, 7));
        actions.extend(one.answer("o1", attempt(number, 0), granted("s", 1, false)));
        actions.extend(one.ended(attempt(number, 0), failed(0, UpstreamError::Broken)));
        actions.extend(one.wait(0));
        let named = |action: &&Action| format!("{action:?}").contains("claim_writes_dropped");
        alarms += actions.iter().filter(named).count();
    }
    assert!(alarms > 0);
}

#[test]
fn results_are_kept_in_base64() {
    let mut store = FakeStore::default();
    let mut one = ready_bench("e1", 1, &mut store);
    let actions = one.request(keyed_spec(1, "k", 7));
    one.settle(&mut store, actions);
    one.answer("o1", attempt(1, 0), granted("s", 1, false));
    let mut actions = one.ended(attempt(1, 0), complete_with("first"));
    actions.extend(one.wait(0));
    one.settle(&mut store, actions);
    let row: &Bytes = &store.rows["claims/w/k"];
    let text = String::from_utf8_lossy(row);
    assert!(text.contains(r#""body":"Zmlyc3Q=""#), "{text}");
    assert!(ClaimRecord::decode(row).is_some());
}

/// Two daemons that know each other, without the store, and a ticket of the first.
fn pair() -> (FakeStore, Bench, Bench, String) {
    let mut store = FakeStore {
        down: true,
        ..FakeStore::default()
    };
    let mut one = ready_bench("e1", 1, &mut store);
    let mut two = ready_bench("e2", 2, &mut store);
    one.directory.0.insert(two.me.vm.clone(), two.me.clone());
    two.directory.0.insert(one.me.vm.clone(), one.me.clone());
    let key = ticket(&mut one);
    (store, one, two, key)
}

#[test]
fn a_ticket_of_a_call_that_did_not_run_is_given_back() {
    let (mut store, mut one, mut two, key) = pair();
    let asked = two.request(keyed_spec(1, &key, 7));
    let answers = tell_ticket(&mut one, &member("e2", 1), asked.clone());
    tell_ticket(&mut two, &member("e1", 1), answers);
    for (number, upstream) in ["s", "t", "u", "v"].iter().enumerate() {
        let attempt = attempt(1, number as u32);
        two.answer("o1", attempt, granted(upstream, 1, false));
        two.ended(attempt, failed(0, UpstreamError::Refused));
    }
    assert_eq!(two.entry.open_requests(), 0);
    let given_back = two.wait(0);
    tell_ticket(&mut one, &member("e2", 1), given_back);
    // The question of the claim that gave it back comes late: it gets nothing.
    let late = tell_ticket(&mut one, &member("e2", 1), asked);
    assert!(lines(&late).contains("ticket_use: Taken"));
    let actions = one.request(keyed_spec(2, &key, 9));
    assert_snapshot!(lines(&one.settle(&mut store, actions)), @"o1 <- request #0 from 0 avoid [] resume None");
}

#[test]
fn a_ticket_with_another_body_is_refused() {
    let (mut store, mut one, mut two, key) = pair();
    let actions = one.request(keyed_spec(1, &key, 7));
    one.settle(&mut store, actions);
    let asked = two.request(keyed_spec(2, &key, 8));
    let answers = tell_ticket(&mut one, &member("e2", 1), asked);
    assert_snapshot!(lines(&tell_ticket(&mut two, &member("e1", 1), answers)), @"end refused key_reused not_run");
}
