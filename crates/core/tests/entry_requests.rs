//! Requests from their arrival to their last word.

mod entry_common;

use entry_common::{
    attempt, busy, complete, failed, granted, id, keyed_spec, lines, member, model_spec, vm, Bench,
};
use insta::assert_snapshot;
use persimmon_core::{
    entry::RawEntrySettings,
    message::{GrantAnswer, GrantMessage},
    request::UpstreamError,
    units::Millis,
};

/// A bench whose request 1 runs at `a`, granted by `o1`.
fn running() -> Bench {
    let mut bench = Bench::new(RawEntrySettings::default());
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), granted("a", 1, false));
    bench
}

#[test]
fn a_request_runs_and_gives_its_grant_back() {
    let mut bench = Bench::new(RawEntrySettings::default());
    assert_snapshot!(lines(&bench.request(model_spec(1))), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 0), granted("a", 1, false))), @"start #0 at a from 0");
    bench.progress(attempt(1, 0), 1);
    assert_snapshot!(lines(&bench.ended(attempt(1, 0), complete(100))), @r"
    o1 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
    assert_eq!(bench.entry.open_requests(), 0);
    assert_snapshot!(lines(&bench.wait(60_000)), @"table get claims-epoch");
}

#[test]
fn denied_and_silent_owners_are_followed_by_the_next() {
    let mut bench = Bench::new(RawEntrySettings::default());
    bench.request(model_spec(1));
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 0), busy())), @"o2 <- request #1 from 0 avoid [] resume None");
    assert_snapshot!(lines(&bench.wait(300)), @r"
    o2 <- withdraw #1
    o3 <- request #2 from 0 avoid [] resume None
    table get claims-epoch
    ");
    assert_snapshot!(lines(&bench.answer("o3", attempt(1, 2), busy())), @"");
    // A late grant of an owner that was given up is given back.
    assert_snapshot!(lines(&bench.answer("o2", attempt(1, 1), granted("b", 1, false))), @"o2 <- release #1 b complete false blame false cancel false tokens 0");
}

#[test]
fn no_capacity_is_said_at_once() {
    let mut bench = Bench::new(RawEntrySettings::default());
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), busy());
    bench.answer("o2", attempt(1, 1), busy());
    assert_snapshot!(lines(&bench.answer("o3", attempt(1, 2), busy())), @"end refused no_capacity not_run retry_after 700ms");
}

#[test]
fn a_place_in_a_queue_is_asked_for_again() {
    let mut bench = Bench::new(RawEntrySettings::default());
    bench.request(model_spec(1));
    let wait_ms = Millis::new(5_000);
    bench.answer("o1", attempt(1, 0), GrantAnswer::Queued { wait_ms });
    assert_snapshot!(lines(&bench.wait(1_000)), @r"
    o1 <- request #0 from 0 avoid [] resume None
    table get claims-epoch
    ");
    bench.answer("o1", attempt(1, 0), GrantAnswer::Queued { wait_ms });
    let gone = vm("o1");
    let actions = bench.run(|entry, ctx, view| entry.on_unreachable(ctx, view, &gone));
    assert_snapshot!(lines(&actions), @r"
    o1 <- withdraw #0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn a_broken_stream_is_resumed_where_it_broke() {
    let mut bench = running();
    bench.progress(attempt(1, 0), 7);
    let broken = failed(9, UpstreamError::Broken);
    assert_snapshot!(lines(&bench.ended(attempt(1, 0), broken)), @"o1 <- request #1 from 9 avoid [] resume Some(a)");
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 1), granted("a", 1, true))), @r"
    o1 <- release #0 a complete false blame false cancel false tokens 9
    start #1 at a from 9 resume
    ");
}

#[test]
fn a_stream_that_cannot_be_resumed_is_replayed_elsewhere() {
    let mut bench = running();
    bench.ended(attempt(1, 0), failed(9, UpstreamError::Broken));
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 1), busy())), @r"
    o1 <- release #0 a complete false blame true cancel true tokens 9
    o1 <- request #2 from 9 avoid [a] resume None
    ");
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 2), granted("b", 1, false))), @"start #2 at b from 9");
}

#[test]
fn a_hanging_engine_is_left() {
    let mut bench = running();
    assert_snapshot!(lines(&bench.wait(2_299)), @"table get claims-epoch");
    assert_snapshot!(lines(&bench.wait(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame true cancel true tokens 0
    o1 <- request #1 from 0 avoid [a] resume None
    ");
    bench.answer("o1", attempt(1, 1), granted("b", 1, false));
    bench.progress(attempt(1, 1), 1);
    assert_snapshot!(lines(&bench.wait(1_999)), @"");
    assert_snapshot!(lines(&bench.wait(1)), @r"
    stop #1
    o1 <- release #1 b complete false blame true cancel true tokens 1
    o1 <- request #2 from 1 avoid [a, b] resume None
    ");
}

#[test]
fn a_revoked_stream_moves() {
    let mut bench = running();
    bench.progress(attempt(1, 0), 5);
    let revoke = GrantMessage::Revoke {
        attempt: attempt(1, 0),
    };
    let from = member("o1", 2);
    let actions = bench.run(|entry, ctx, view| entry.on_message(ctx, view, &from, revoke));
    assert_snapshot!(lines(&actions), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 5
    o1 <- request #1 from 5 avoid [a] resume None
    ");
}

#[test]
fn the_deadline_ends_a_running_request_in_time() {
    let raw = RawEntrySettings {
        first_token_slack_ms: 60_000,
        ..RawEntrySettings::default()
    };
    let mut bench = Bench::new(raw);
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), granted("a", 1, false));
    assert_snapshot!(lines(&bench.wait(29_949)), @"table get claims-epoch");
    assert_snapshot!(lines(&bench.wait(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused deadline_exceeded unknown retry_after 1000ms
    ");
    assert_eq!(
        bench.entry.next_wakeup().map(|at| at > bench.now),
        Some(true)
    );
}

#[test]
fn a_caller_that_goes_away_frees_the_engine() {
    let mut bench = running();
    let actions = bench.run(|entry, ctx, view| entry.on_caller_disconnected(ctx, view, id(1)));
    assert_snapshot!(lines(&actions), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused deadline_exceeded unknown
    ");
}

#[test]
fn an_old_fencing_number_is_refused() {
    let mut bench = running();
    bench.request(model_spec(2));
    bench.answer("o1", attempt(2, 0), granted("b", 5, false));
    bench.request(model_spec(3));
    assert_snapshot!(lines(&bench.answer("o1", attempt(3, 0), granted("b", 4, false))), @r"
    o1 <- release #0 b complete false blame false cancel false tokens 0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn retries_stop_with_their_budget() {
    let raw = RawEntrySettings {
        retry_reserve_count: 1,
        ..RawEntrySettings::default()
    };
    let mut bench = Bench::new(raw);
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), granted("a", 1, false));
    bench.ended(attempt(1, 0), failed(0, UpstreamError::Overloaded));
    bench.answer("o1", attempt(1, 1), granted("b", 1, false));
    let actions = bench.ended(attempt(1, 1), failed(0, UpstreamError::Overloaded));
    assert_snapshot!(lines(&actions), @r"
    o1 <- release #1 b complete false blame true cancel false tokens 0
    end refused retry_budget_spent not_run retry_after 1000ms
    ");
}

#[test]
fn a_call_without_a_key_is_sent_once() {
    let mut bench = Bench::new(RawEntrySettings::default());
    bench.request(keyed_spec(1, "", 1));
    bench.answer("o1", attempt(1, 0), granted("s", 1, false));
    assert_snapshot!(lines(&bench.ended(attempt(1, 0), failed(0, UpstreamError::Refused))), @r"
    o1 <- release #0 s complete false blame true cancel false tokens 0
    o1 <- request #1 from 0 avoid [s] resume None
    ");
    bench.answer("o1", attempt(1, 1), granted("t", 1, false));
    assert_snapshot!(lines(&bench.ended(attempt(1, 1), failed(0, UpstreamError::Broken))), @r"
    o1 <- release #1 t complete false blame true cancel true tokens 0
    end refused upstream_failed unknown
    ");
}

#[test]
fn a_stopping_daemon_takes_nothing_new_and_ends_in_its_grace() {
    let raw = RawEntrySettings {
        first_token_slack_ms: 60_000,
        shutdown_accept_ms: 100,
        shutdown_grace_ms: 5_000,
        ..RawEntrySettings::default()
    };
    let mut bench = Bench::new(raw);
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), granted("a", 1, false));
    bench.run(|entry, ctx, view| entry.on_shutdown(ctx, view));
    assert_snapshot!(lines(&bench.request(model_spec(3))), @"o1 <- request #0 from 0 avoid [] resume None");
    assert_snapshot!(lines(&bench.answer("o1", attempt(3, 0), granted("a", 1, false))), @"start #0 at a from 0");
    bench.progress(attempt(3, 0), 1);
    assert_snapshot!(lines(&bench.ended(attempt(3, 0), complete(100))), @r"
    o1 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
    bench.wait(100);
    assert_snapshot!(lines(&bench.request(model_spec(2))), @"end refused not_ready not_run retry_after 1000ms");
    assert_snapshot!(lines(&bench.wait(4_899)), @"");
    assert!(bench.entry.has_work(bench.now));
    assert_snapshot!(lines(&bench.wait(1)), @r"
    stop #0
    o1 <- release #0 a complete false blame false cancel true tokens 0
    end refused not_ready unknown retry_after 1000ms
    ");
    assert!(!bench.entry.has_work(bench.now));
}
