//! The retry budget of all daemons together, counted from what upstreams get.

#[path = "common/budget_fleet.rs"]
mod budget_fleet;
#[path = "common/dispatch/mod.rs"]
mod dispatch;

use budget_fleet::{BudgetFleet, Mood, Trouble};
use dispatch::{
    ms,
    node::{Node, Seen},
};
use persimmon_core::dispatch::{RawDispatchSettings, SendOutcome, SendPlan};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Plays troubles, each with the time after it.
fn play(fleet: &mut BudgetFleet, troubles: &[(Trouble, u64)]) {
    for (trouble, span_ms) in troubles {
        fleet.apply(trouble);
        fleet.pass(*span_ms);
    }
}

fn assert_kept(fleet: &BudgetFleet) {
    if let Some((repeats_len, allowed)) = fleet.worst_window() {
        assert!(
            repeats_len as f64 <= allowed,
            "{repeats_len} repeats, {allowed} allowed"
        );
    }
}

/// All daemons were killed again and again while upstreams failed, and each new process began its budget anew: 308
/// repeats where 264 are allowed (BUDGET, kabin-router, all VMs killed four times).
#[test]
fn restarted_daemons_do_not_start_a_new_budget() {
    let mut fleet = BudgetFleet::new(1, 8, 80.0);
    play(&mut fleet, &[(Trouble::Mood(Mood::Failing), 1_500)]);
    for _ in 0..4 {
        play(&mut fleet, &[(Trouble::KillAll, 1_200)]);
    }
    assert_kept(&fleet);
}

/// Callers who move to another daemon bring their calls, which have paid for retries of the first one.
#[test]
fn callers_who_move_do_not_bring_a_second_budget() {
    let mut fleet = BudgetFleet::new(2, 3, 120.0);
    let crowd = |vm| Trouble::Crowd {
        vm,
        span_ms: 60_000,
    };
    play(&mut fleet, &[(crowd(0), 8_000)]);
    play(&mut fleet, &[(Trouble::Mood(Mood::Failing), 600)]);
    play(&mut fleet, &[(crowd(1), 3_400), (crowd(2), 4_000)]);
    assert_kept(&fleet);
}

/// A retry that waited for a free upstream counted when it was granted. When upstreams were free again, all that had
/// waited went out beside those of the next window.
#[test]
fn waiting_retries_count_when_they_are_sent() {
    let mut node = Node::with_settings(RawDispatchSettings {
        retry_allowance_requests: 4.0,
        retry_window_s: 0.08,
        ..RawDispatchSettings::default()
    });
    node.learn(0, 3);
    let plans = |seen: &[Seen]| -> Vec<SendPlan> {
        let sends = seen.iter().filter_map(|seen| match seen {
            Seen::Send(plan) => Some((**plan).clone()),
            _ => None,
        });
        sends.collect()
    };
    let mut first: Vec<SendPlan> = Vec::new();
    for _ in 0..36 {
        first.extend(plans(&node.call("status", 0).1));
    }
    assert_eq!(first.len(), 36);
    let failed = first[0].upstream.clone();
    let lost = SendOutcome::Lost {
        reason: String::new(),
        stalled: false,
    };
    let (broken, open): (Vec<_>, Vec<_>) =
        first.into_iter().partition(|plan| plan.upstream == failed);
    let mut repeats = Vec::new();
    for plan in &broken {
        repeats.extend(plans(&node.ends(plan, lost.clone())));
    }
    assert!(repeats.is_empty(), "no upstream is free");
    repeats.extend(plans(&node.pass(ms(100))));
    for plan in &open {
        repeats.extend(plans(&node.ends(plan, SendOutcome::Delivered)));
    }
    for _ in 0..12 {
        let (_, seen) = node.call("status", 0);
        for plan in plans(&seen) {
            repeats.extend(plans(&node.ends(&plan, lost.clone())));
        }
    }
    // A fifth of the 12 calls in the window, and the allowance. The 36 calls lie before the window before it.
    assert!(repeats.len() <= 6, "{} repeats at once", repeats.len());
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let vm = || 0..12usize;
    prop_oneof![
        3 => prop_oneof![Just(Mood::Sound), Just(Mood::Failing), Just(Mood::Failing), Just(Mood::Stalling)]
            .prop_map(Trouble::Mood),
        3 => vm().prop_map(Trouble::Kill),
        2 => Just(Trouble::KillAll),
        1 => (vm(), 200..4_000u64).prop_map(|(vm, span_ms)| Trouble::Freeze { vm, span_ms }),
        1 => (vm(), 500..6_000u64).prop_map(|(vm, span_ms)| Trouble::Cut { vm, span_ms }),
        1 => (500..6_000u64).prop_map(|span_ms| Trouble::Divide { span_ms }),
        1 => Just(Trouble::Join),
        1 => (vm(), 500..6_000u64).prop_map(|(vm, span_ms)| Trouble::Crowd { vm, span_ms }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    })]

    /// Whatever processes start, end, freeze, join, or don't hear each other, and wherever callers go.
    #[test]
        fn no_window_has_more_repeats_than_the_budget(
        seed in any::<u64>(),
        daemons_len in 1..10usize,
        troubles in prop::collection::vec((trouble(), 100..2_500u64), 5..16),
    ) {
        let mut fleet = BudgetFleet::new(seed, daemons_len, 60.0);
        fleet.apply(&Trouble::Mood(Mood::Failing));
        play(&mut fleet, &troubles);
        if let Some((repeats_len, allowed)) = fleet.worst_window() {
            prop_assert!(repeats_len as f64 <= allowed, "{} repeats, {} allowed", repeats_len, allowed);
        }
    }
}
