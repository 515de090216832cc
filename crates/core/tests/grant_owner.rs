//! The owner's accounting: grants, queueing, lease expiry and cancels.

#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{
    attempt, engine, grant_request, lines, model_spec, service_spec, upstream, warm_report,
    OwnerHarness,
};
use persimmon_core::{
    config::{ServiceState, UpstreamKind},
    ids::{AttemptNumber, FencingNumber, Incarnation, RequestId},
    message::{GrantMessage, GrantRequest, HeldGrant},
    request::UpstreamError,
    units::{KvBytes, Millis, Time, Tokens},
    upstream::LoadReport,
};
use std::sync::Arc;

fn short(request: u128) -> GrantRequest {
    grant_request(model_spec(request, 1_000, 100))
}

#[test]
fn a_grant_is_idempotent_and_released_once() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    insta::assert_snapshot!(harness.request(short(1)), @"vm-2 <- 1/0 granted e1 ttft 100ms runner-up None resume false");
    insta::assert_snapshot!(harness.request(short(1)), @"vm-2 <- 1/0 granted e1 ttft 100ms runner-up None resume false");
    assert_eq!(harness.account("e1"), (1, 11_000));
    insta::assert_snapshot!(harness.release(1, false), @"");
    assert_eq!(harness.account("e1"), (0, 0));
    insta::assert_snapshot!(harness.release(1, false), @"");
    // A late copy of the request does not reserve anything.
    insta::assert_snapshot!(harness.request(short(1)), @"");
    assert_eq!(harness.account("e1"), (0, 0));
}

#[test]
fn requests_over_the_limit_queue_until_their_deadline() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 1))]);
    harness.request(short(1));
    insta::assert_snapshot!(harness.request(short(2)), @"vm-2 <- 2/0 queued 600ms");
    insta::assert_snapshot!(harness.request(short(3)), @"vm-2 <- 3/0 queued 1200ms");
    assert_eq!(harness.account("e1"), (1, 11_000));
    insta::assert_snapshot!(harness.release(1, false), @"vm-2 <- 2/0 granted e1 ttft 97ms runner-up None resume false");
    assert_eq!(harness.account("e1"), (1, 11_000));
    insta::assert_snapshot!(lines(&harness.tick_after(30_000)), @"vm-2 <- 3/0 denied Busy { better: None, retry_after_ms: Millis(100)");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_denied_immediately() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 1))]);
    harness.request(short(1));
    let mut urgent = short(2);
    urgent.remaining_ms = Millis::new(20);
    insta::assert_snapshot!(harness.request(urgent), @"vm-2 <- 2/0 denied Busy { better: None, retry_after_ms: Millis(600)");
}

#[test]
fn a_grant_of_a_dead_entry_daemon_is_accounted_until_its_cancel_is_answered() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    harness.request(short(1));
    let lost = harness.entry_dies();
    insta::assert_snapshot!(lines(&lost), @"e1: cancel 1 fencing 5");
    assert_eq!(harness.account("e1"), (1, 11_000));
    harness.answer_orders(&lost, Err(UpstreamError::Timeout));
    let again = harness.tick_after(500);
    insta::assert_snapshot!(lines(&again), @"e1: cancel 1 fencing 5");
    harness.answer_orders(&lost, Ok(()));
    assert_eq!(harness.account("e1"), (1, 11_000));
    harness.answer_orders(&again, Ok(()));
    assert_eq!(harness.account("e1"), (0, 0));
    assert!(harness.tick_after(500).is_empty());
}

#[test]
fn a_grant_whose_release_is_lost_expires_after_its_deadline() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    harness.request(short(1));
    let orders = harness.tick_after(32_000);
    insta::assert_snapshot!(lines(&orders), @r#"
    vm-2 <- revoke 1/0
    e1: cancel 1 fencing 5
    "#);
    harness.answer_orders(&orders, Ok(()));
    assert_eq!(harness.account("e1"), (0, 0));
}

#[test]
fn an_engine_restart_resends_open_cancels_immediately() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    harness.request(short(1));
    harness.entry_dies();
    let restarted = LoadReport {
        incarnation: Incarnation::new(2),
        ..warm_report()
    };
    harness.report("e1", &restarted);
    let orders = harness.bench.take();
    insta::assert_snapshot!(lines(&orders), @"e1: cancel 1 fencing 5");
    harness.answer_orders(&orders, Ok(()));
    assert_eq!(harness.account("e1"), (0, 0));
}

#[test]
fn memory_is_reserved_before_dispatch() {
    let mut harness = OwnerHarness::new(vec![
        ("e1", engine("a", 2_000, 9)),
        ("e2", engine("a", 4_000, 9)),
    ]);
    insta::assert_snapshot!(harness.request(grant_request(model_spec(1, 3_000, 500))), @"vm-2 <- 1/0 granted e2 ttft 300ms runner-up None resume false");
    insta::assert_snapshot!(harness.request(grant_request(model_spec(2, 3_000, 500))), @"vm-2 <- 2/0 queued 2800ms");
    insta::assert_snapshot!(harness.request(grant_request(model_spec(3, 1_000, 500))), @"vm-2 <- 3/0 granted e1 ttft 100ms runner-up None resume false");
    insta::assert_snapshot!(harness.request(grant_request(model_spec(4, 9_000, 500))), @"vm-2 <- 4/0 denied TooLong { max_prompt_tokens: Tokens(5500) }");
}

#[test]
fn a_drained_upstream_gets_no_new_work_and_its_streams_move_after_the_grace() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 1))]);
    harness.request(short(1));
    harness.request(short(2));
    let mut config = (*harness.bench.config).clone();
    config.upstreams.get_mut(&upstream("e1")).unwrap().state = ServiceState::Drained;
    harness.bench.config = Arc::new(config);
    let owner = &mut harness.owner;
    harness.bench.with(|ctx, view| owner.on_config(ctx, view));
    insta::assert_snapshot!(lines(&harness.bench.take()), @"vm-2 <- 2/0 denied Drained");
    insta::assert_snapshot!(harness.request(short(3)), @"vm-2 <- 3/0 denied Drained");
    assert!(harness.tick_after(19_000).is_empty());
    insta::assert_snapshot!(lines(&harness.tick_after(1_000)), @"vm-2 <- revoke 1/0");
    assert_eq!(harness.account("e1"), (1, 11_000));
}

#[test]
fn a_new_owner_limits_grants_until_it_has_collected_outstanding_ones() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    let until = harness.bench.now + Millis::from_secs(3);
    harness.gain("e1", until);
    insta::assert_snapshot!(lines(&harness.bench.take()), @r#"
    vm-1 <- Collect { upstreams: [e1], fencing: FencingNumber(5) }
    vm-2 <- Collect { upstreams: [e1], fencing: FencingNumber(5) }
    "#);
    harness.message(GrantMessage::Held {
        grants: vec![HeldGrant {
            attempt: attempt(9),
            spec: model_spec(9, 1_000, 100),
            upstream: upstream("e1"),
            model: Some(grant_bench::model()),
            kv_bytes: KvBytes::new(11_000),
            remaining_ms: Millis::from_secs(9),
        }],
        fencing: FencingNumber::new(4),
    });
    assert_eq!(harness.account("e1"), (1, 11_000));
    insta::assert_snapshot!(harness.request(short(1)), @"vm-2 <- 1/0 queued 9000ms");
    insta::assert_snapshot!(lines(&harness.tick_after(3_000)), @"vm-2 <- 1/0 granted e1 ttft 100ms runner-up None resume false");
    insta::assert_snapshot!(harness.release(9, false), @"");
    assert_eq!(harness.account("e1"), (1, 11_000));
}

#[test]
fn a_resumed_stream_replaces_its_earlier_attempt() {
    let mut harness = OwnerHarness::new(vec![
        ("e1", engine("a", 10_000, 1)),
        ("e2", engine("a", 10_000, 1)),
    ]);
    harness.request(short(1));
    let mut resumed = short(1);
    resumed.attempt.number = AttemptNumber::new(1);
    resumed.resume_at = Some(upstream("e1"));
    resumed.offset_tokens = Tokens::new(10);
    insta::assert_snapshot!(harness.request(resumed), @"vm-2 <- 1/1 granted e1 ttft 0ms runner-up None resume true");
    assert_eq!(harness.account("e1"), (1, 11_000));
    // The late release of the earlier attempt does not end the resumed one.
    insta::assert_snapshot!(harness.release(1, true), @"");
    assert_eq!(harness.account("e1"), (1, 11_000));
}

#[test]
fn the_limit_of_a_plain_service_applies_to_each_server() {
    let mut server = engine("a", 0, 9);
    server.kind = UpstreamKind::Service("cell-orders".parse().unwrap());
    let mut harness = OwnerHarness::new(vec![("s1", server)]);
    for request in 1..=3 {
        harness.request(grant_request(service_spec(request)));
    }
    assert_eq!(harness.account("s1"), (2, 0));
    let now = harness.bench.now;
    let owner = &harness.owner;
    let summary = harness.bench.with(|_, view| owner.summary(now, view));
    insta::assert_debug_snapshot!(summary, @r#"
    CapacitySummary {
        models: [],
        services: [
            (
                cell-orders,
                0,
            ),
        ],
        short_busy_permille: 0,
        long_busy_permille: 0,
    }
    "#);
}

#[test]
fn a_request_without_grant_in_two_reports_is_cancelled() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 4))]);
    harness.request(short(1));
    let report = LoadReport {
        requests: [1, 2].map(RequestId::new).into(),
        kv_held_bytes: KvBytes::new(90_000),
        ..warm_report()
    };
    harness.report("e1", &report);
    insta::assert_snapshot!(lines(&harness.bench.take()), @"");
    harness.report("e1", &report);
    let orders = harness.bench.take();
    insta::assert_snapshot!(lines(&orders), @"e1: cancel 2 fencing 5");
    insta::assert_snapshot!(harness.request(short(2)), @"vm-2 <- 2/0 queued 600ms");
    harness.answer_orders(&orders, Ok(()));
    harness.report("e1", &warm_report());
    insta::assert_snapshot!(lines(&harness.tick_after(100)), @"vm-2 <- 2/0 granted e1 ttft 200ms runner-up None resume false");
}

#[test]
fn a_leaving_owner_grants_nothing() {
    let mut harness = OwnerHarness::new(vec![("e1", engine("a", 10_000, 1))]);
    harness.request(short(1));
    harness.request(short(2));
    harness.owner.set_leaving();
    assert_eq!(harness.owner.next_wakeup(), Some(Time::START));
    insta::assert_snapshot!(lines(&harness.tick_after(0)), @"vm-2 <- 2/0 denied NotOwner { better: None }");
    insta::assert_snapshot!(harness.request(short(3)), @"vm-2 <- 3/0 denied NotOwner { better: None }");
}
