//! Groups of engines for prompts that exceed the KV memory of every single engine.

#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{attempt, engine, grant_request, lines, model_spec, warm_report, OwnerHarness};
use persimmon_core::{
    config::{UpstreamConfig, UpstreamKind},
    ids::Incarnation,
    message::GrantMessage,
    request::UpstreamError,
    upstream::LoadReport,
    Action,
};

const NAMES: [&str; 3] = ["e1", "e2", "e3"];

fn harness(can_group: bool) -> OwnerHarness {
    let engine_config = |kv_tokens| {
        let mut config: UpstreamConfig = engine("a", kv_tokens, 4);
        if let UpstreamKind::Engine(engine_settings) = &mut config.kind {
            engine_settings.can_group = can_group;
        }
        config
    };
    let engines = NAMES
        .into_iter()
        .zip([4_000, 9_000, 6_000].map(engine_config));
    OwnerHarness::new(engines.collect())
}

fn accounts(harness: &OwnerHarness) -> [(u32, u64); 3] {
    NAMES.map(|name| harness.account(name))
}

/// Requests a prompt that fits two engines together. Returns the actions, with the group's first
/// order.
fn ask(harness: &mut OwnerHarness, request: u128) -> Vec<Action> {
    let request = grant_request(model_spec(request, 12_000, 500));
    let entry = harness.entry.clone();
    harness.message_from(&entry, GrantMessage::Request(Box::new(request)));
    harness.bench.take()
}

fn answer(
    harness: &mut OwnerHarness,
    orders: &[Action],
    answer: Result<(), UpstreamError>,
) -> Vec<Action> {
    harness.answer_orders(orders, answer);
    harness.bench.take()
}

const EMPTY: [(u32, u64); 3] = [(0, 0); 3];

#[test]
fn a_group_is_reserved_prefilled_granted_and_released() {
    let mut harness = harness(true);
    let orders = ask(&mut harness, 1);
    insta::assert_snapshot!(lines(&orders), @r"
    e2: PrefillSegment { request: RequestId(1), from_tokens: Tokens(0), to_tokens: Tokens(6500) }
    vm-2 <- 1/0 queued 3700ms
    ");
    assert_eq!(accounts(&harness), [(0, 0), (1, 65_000), (1, 60_000)]);
    let orders = answer(&mut harness, &orders, Ok(()));
    insta::assert_snapshot!(lines(&orders), @"e3: ImportKv { request: RequestId(1), source: 127.0.0.1:2, from_tokens: Tokens(0), to_tokens: Tokens(6500) }");
    let granted = answer(&mut harness, &orders, Ok(()));
    insta::assert_snapshot!(lines(&granted), @"vm-2 <- 1/0 granted e3 ttft 550ms runner-up None resume false");
    assert_eq!(accounts(&harness), [(0, 0), (1, 65_000), (1, 60_000)]);
    let entry = harness.entry.clone();
    harness.message_from(
        &entry,
        GrantMessage::Release {
            attempt: attempt(1),
            upstream: grant_bench::upstream("e3"),
            end: grant_bench::end_of(false),
        },
    );
    let cancels = harness.bench.take();
    insta::assert_snapshot!(lines(&cancels), @"e2: cancel 1 fencing 5");
    answer(&mut harness, &cancels, Ok(()));
    assert_eq!(accounts(&harness), EMPTY);
}

#[test]
fn a_failed_segment_releases_all_memory() {
    let mut harness = harness(true);
    let orders = ask(&mut harness, 1);
    let cancels = answer(&mut harness, &orders, Err(UpstreamError::Broken));
    insta::assert_snapshot!(lines(&cancels), @r"
    e2: cancel 1 fencing 5
    e3: cancel 1 fencing 5
    vm-2 <- 1/0 denied Busy { better: None, retry_after_ms: Millis(500)
    ");
    answer(&mut harness, &cancels, Ok(()));
    assert_eq!(accounts(&harness), EMPTY);
}

#[test]
fn an_engine_that_restarts_in_mid_prefill_ends_its_group() {
    let mut harness = harness(true);
    ask(&mut harness, 1);
    let report = LoadReport {
        incarnation: Incarnation::new(2),
        ..warm_report()
    };
    harness.report("e2", &report);
    let cancels = harness.bench.take();
    assert!(lines(&cancels).contains("e3: cancel 1"));
    answer(&mut harness, &cancels, Ok(()));
    assert_eq!(accounts(&harness), EMPTY);
}

#[test]
fn a_group_ends_after_its_deadline_or_when_its_entry_daemon_dies() {
    let mut harness = harness(true);
    ask(&mut harness, 1);
    let cancels = harness.tick_after(40_000);
    answer(&mut harness, &cancels, Ok(()));
    assert_eq!(accounts(&harness), EMPTY);
    ask(&mut harness, 2);
    let cancels = harness.entry_dies();
    answer(&mut harness, &cancels, Ok(()));
    assert_eq!(accounts(&harness), EMPTY);
}

#[test]
fn one_group_forms_at_a_time_and_the_next_waits() {
    let mut harness = harness(true);
    let orders = ask(&mut harness, 1);
    insta::assert_snapshot!(lines(&ask(&mut harness, 2)), @"vm-2 <- 2/0 queued 3700ms");
    let cancels = answer(&mut harness, &orders, Err(UpstreamError::Broken));
    let next = answer(&mut harness, &cancels, Ok(()));
    insta::assert_snapshot!(lines(&next), @"e1: PrefillSegment { request: RequestId(2), from_tokens: Tokens(0), to_tokens: Tokens(3500) }");
}

#[test]
fn a_prompt_that_exceeds_every_group_is_denied_with_the_maximum_length() {
    let mut with_groups = harness(true);
    let too_long = || grant_request(model_spec(1, 15_000, 500));
    insta::assert_snapshot!(with_groups.request(too_long()), @"vm-2 <- 1/0 denied TooLong { max_prompt_tokens: Tokens(14500) }");
    insta::assert_snapshot!(harness(false).request(too_long()), @"vm-2 <- 1/0 denied TooLong { max_prompt_tokens: Tokens(8500) }");
}
