//! Life cycle of requests at an entry daemon, from admission to the final response.

mod entry_common;

use entry_common::{
    attempt, busy, complete, failed, granted, id, keyed_spec, member, model_spec, summary_lines,
    vm, EntryHarness,
};
use insta::assert_snapshot;
use persimmon_core::{
    entry::RawEntrySettings,
    message::{GrantAnswer, GrantMessage},
    request::UpstreamError,
    units::{Millis, Time},
};

/// A harness whose request 1 runs at `a` with a grant of `o1`.
fn running() -> EntryHarness {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    harness
}

#[test]
fn completed_request_releases_its_grant() {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    assert_snapshot!(summary_lines(&harness.request(model_spec(1))), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 0), granted("a", 1, false))), @"start #0 at a from 0");
    harness.progress(attempt(1, 0), 1);
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), complete(100))), @r"
    o1 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
    assert_eq!(harness.entry.open_requests(), 0);
    assert_snapshot!(summary_lines(&harness.advance(60_000)), @"table get claims-epoch");
}

#[test]
fn next_owner_is_asked_after_a_denial_or_time_out() {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    harness.request(model_spec(1));
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 0), busy())), @"o2 <- request #1 from 0 avoid [] resume None");
    assert_snapshot!(summary_lines(&harness.advance(300)), @r"
    o2 <- withdraw #1
    o3 <- request #2 from 0 avoid [] resume None
    table get claims-epoch
    ");
    assert_snapshot!(summary_lines(&harness.answer("o3", attempt(1, 2), busy())), @"");
    // A late grant of an owner whose grant request was withdrawn is released.
    assert_snapshot!(summary_lines(&harness.answer("o2", attempt(1, 1), granted("b", 1, false))), @"o2 <- release #1 b complete false blame false cancel false tokens 0");
}

#[test]
fn request_is_refused_at_once_if_all_owners_are_busy() {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), busy());
    harness.answer("o2", attempt(1, 1), busy());
    assert_snapshot!(summary_lines(&harness.answer("o3", attempt(1, 2), busy())), @"end refused no_capacity not_run retry_after 700ms");
}

#[test]
fn queued_grant_request_is_sent_again() {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    harness.request(model_spec(1));
    let wait_ms = Millis::new(5_000);
    harness.answer("o1", attempt(1, 0), GrantAnswer::Queued { wait_ms });
    assert_snapshot!(summary_lines(&harness.advance(1_000)), @r"
    o1 <- request #0 from 0 avoid [] resume None
    table get claims-epoch
    ");
    harness.answer("o1", attempt(1, 0), GrantAnswer::Queued { wait_ms });
    let owner = vm("o1");
    let actions = harness.run(|entry, ctx, view| entry.on_unreachable(ctx, view, &owner));
    assert_snapshot!(summary_lines(&actions), @r"
    o1 <- withdraw #0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn broken_stream_is_resumed_at_the_same_upstream() {
    let mut harness = running();
    harness.progress(attempt(1, 0), 7);
    let broken = failed(9, UpstreamError::Broken);
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), broken)), @"o1 <- request #1 from 9 avoid [] resume Some(a)");
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 1), granted("a", 1, true))), @r"
    o1 <- release #0 a complete false blame false cancel false tokens 9
    start #1 at a from 9 resume
    ");
}

#[test]
fn stream_that_cannot_be_resumed_continues_at_another_upstream() {
    let mut harness = running();
    harness.ended(attempt(1, 0), failed(9, UpstreamError::Broken));
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 1), busy())), @r"
    o1 <- release #0 a complete false blame true cancel true tokens 9
    o1 <- request #2 from 9 avoid [a] resume None
    ");
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 2), granted("b", 1, false))), @"start #2 at b from 9");
}

#[test]
fn attempt_without_progress_times_out_and_is_retried() {
    let mut harness = running();
    assert_snapshot!(summary_lines(&harness.advance(2_299)), @"table get claims-epoch");
    assert_snapshot!(summary_lines(&harness.advance(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame true cancel true tokens 0
    o1 <- request #1 from 0 avoid [a] resume None
    ");
    harness.answer("o1", attempt(1, 1), granted("b", 1, false));
    harness.progress(attempt(1, 1), 1);
    assert_snapshot!(summary_lines(&harness.advance(1_999)), @"");
    assert_snapshot!(summary_lines(&harness.advance(1)), @r"
    stop #1
    o1 <- release #1 b complete false blame true cancel true tokens 1
    o1 <- request #2 from 1 avoid [a, b] resume None
    ");
}

#[test]
fn revoked_stream_moves_to_another_upstream() {
    let mut harness = running();
    harness.progress(attempt(1, 0), 5);
    let revoke = GrantMessage::Revoke {
        attempt: attempt(1, 0),
    };
    let from = member("o1", 2);
    let actions = harness.run(|entry, ctx, view| entry.on_message(ctx, view, &from, revoke));
    assert_snapshot!(summary_lines(&actions), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 5
    o1 <- request #1 from 5 avoid [a] resume None
    ");
}

#[test]
fn running_request_is_refused_before_its_deadline() {
    let raw = RawEntrySettings {
        first_token_slack_ms: 60_000,
        ..RawEntrySettings::default()
    };
    let mut harness = EntryHarness::new(raw);
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    assert_snapshot!(summary_lines(&harness.advance(29_949)), @"table get claims-epoch");
    assert_snapshot!(summary_lines(&harness.advance(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused deadline_exceeded unknown retry_after 1000ms
    ");
    assert_eq!(
        harness.entry.next_wakeup().map(|at| at > harness.now),
        Some(true)
    );
}

/// An attempt that ended within the last millisecond was followed by a refusal for want of capacity, as no owner can do
/// anything in no time.
#[test]
fn an_attempt_that_ends_just_before_the_deadline_is_refused_for_it() {
    let raw = RawEntrySettings {
        first_token_slack_ms: 60_000,
        ..RawEntrySettings::default()
    };
    let mut harness = EntryHarness::new(raw);
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    harness.advance(29_949);
    harness.now = Time::from_us(harness.now.as_us() + 400);
    let end = failed(0, UpstreamError::Timeout);
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), end)), @r"
    o1 <- release #0 a complete false blame true cancel true tokens 0
    end refused deadline_exceeded unknown retry_after 1000ms
    ");
}

#[test]
fn disconnected_caller_stops_its_attempt() {
    let mut harness = running();
    let actions = harness.run(|entry, ctx, view| entry.on_caller_disconnected(ctx, view, id(1)));
    assert_snapshot!(summary_lines(&actions), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused deadline_exceeded unknown
    ");
}

#[test]
fn grant_with_lower_fencing_number_is_released() {
    let mut harness = running();
    harness.request(model_spec(2));
    harness.answer("o1", attempt(2, 0), granted("b", 5, false));
    harness.request(model_spec(3));
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(3, 0), granted("b", 4, false))), @r"
    o1 <- release #0 b complete false blame false cancel false tokens 0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn retries_stop_when_their_budget_is_exhausted() {
    let raw = RawEntrySettings {
        retry_reserve_count: 1,
        ..RawEntrySettings::default()
    };
    let mut harness = EntryHarness::new(raw);
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    harness.ended(attempt(1, 0), failed(0, UpstreamError::Overloaded));
    harness.answer("o1", attempt(1, 1), granted("b", 1, false));
    let actions = harness.ended(attempt(1, 1), failed(0, UpstreamError::Overloaded));
    assert_snapshot!(summary_lines(&actions), @r"
    o1 <- release #1 b complete false blame true cancel false tokens 0
    end refused retry_budget_spent not_run retry_after 1000ms
    ");
}

#[test]
fn call_without_a_key_is_retried_only_if_it_did_not_run() {
    let mut harness = EntryHarness::new(RawEntrySettings::default());
    harness.request(keyed_spec(1, "", 1));
    harness.answer("o1", attempt(1, 0), granted("s", 1, false));
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), failed(0, UpstreamError::Refused))), @r"
    o1 <- release #0 s complete false blame true cancel false tokens 0
    o1 <- request #1 from 0 avoid [s] resume None
    ");
    harness.answer("o1", attempt(1, 1), granted("t", 1, false));
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 1), failed(0, UpstreamError::Broken))), @r"
    o1 <- release #1 t complete false blame true cancel true tokens 0
    end refused upstream_failed unknown
    ");
}

#[test]
fn shutdown_refuses_new_requests_and_ends_open_ones_after_the_grace() {
    let raw = RawEntrySettings {
        first_token_slack_ms: 60_000,
        shutdown_accept_ms: 100,
        shutdown_grace_ms: 5_000,
        ..RawEntrySettings::default()
    };
    let mut harness = EntryHarness::new(raw);
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    harness.run(|entry, ctx, view| entry.on_shutdown(ctx, view));
    assert_snapshot!(summary_lines(&harness.request(model_spec(3))), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(3, 0), granted("a", 1, false))), @"start #0 at a from 0");
    harness.progress(attempt(3, 0), 1);
    assert_snapshot!(summary_lines(&harness.ended(attempt(3, 0), complete(100))), @r"
    o1 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
    harness.advance(100);
    assert_snapshot!(summary_lines(&harness.request(model_spec(2))), @"end refused not_ready not_run retry_after 1000ms");
    assert_snapshot!(summary_lines(&harness.advance(4_899)), @"");
    assert!(harness.entry.has_work(harness.now));
    assert_snapshot!(summary_lines(&harness.advance(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused not_ready unknown retry_after 1000ms
    ");
    assert!(!harness.entry.has_work(harness.now));
}
