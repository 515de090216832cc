//! Prompt prefixes that upstreams still cache: what the choice of an engine gains, on a replay in virtual time.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/prefix_replay.rs"]
mod prefix_replay;

use dispatch::{id, profile};
use insta::assert_snapshot;
use persimmon_core::{
    dispatch::{choose_engine, Candidate, Health, PlacementRequest},
    engine::{EngineLoad, PendingPrefill},
    prefix::CachedPrefix,
    units::{Millis, Tokens},
};
use prefix_replay::{Affinity, Load, Measured, PrefixReplay, Trouble};

const SEED: u64 = 1;

/// Target of the replayed route for the first event.
const TARGET_MS: u64 = 300;

/// What all ways to choose measure on one load, in the order none, hash, longest, cost.
fn compare(load: Load) -> [Measured; 4] {
    let ways = [
        Affinity::None,
        Affinity::Hash,
        Affinity::Longest,
        Affinity::Cost,
    ];
    ways.map(|affinity| PrefixReplay::new(affinity, load, SEED).play())
}

fn lines(title: &str, measured: &[Measured; 4]) -> String {
    let names = ["none", "hash", "longest", "cost"];
    let lines = names.iter().zip(measured);
    let lines = lines.map(|(name, measured)| format!("  {name:<7} {measured}\n"));
    format!("{title}\n{}", lines.collect::<String>())
}

/// What the choice must gain from long prefixes, and what it must not cost.
fn assert_no_harm(load: Load, [without, _, _, cost]: &[Measured; 4]) {
    let late = |slow: u64, without: u64| slow > TARGET_MS.max(without);
    assert!(cost.refused <= without.refused, "{load:?}: {cost}");
    assert!(cost.hit_percent >= without.hit_percent, "{load:?}: {cost}");
    assert!(
        cost.again_tokens <= without.again_tokens,
        "{load:?}: {cost}"
    );
    assert!(!late(cost.p95_ms, without.p95_ms), "{load:?}: {cost}");
    let (worst_ms, without_ms) = (cost.worst_p95_ms, without.worst_p95_ms);
    assert!(!late(worst_ms, without_ms), "{load:?}: {cost}");
    if load.shared_tokens >= 20_000 {
        let again_tokens = cost.again_tokens;
        assert!(again_tokens * 4 <= without.again_tokens, "{load:?}: {cost}");
        assert!(cost.median_ms <= without.median_ms, "{load:?}: {cost}");
    }
}

/// Guards against a choice that makes first events later, or one engine slow, for the sake of a prefix, and
/// against one that gains nothing from long prefixes.
#[test]
fn shared_parts_of_three_sizes() {
    let mut all = String::new();
    for shared_tokens in [40, 2_000, 20_000] {
        for is_skewed in [false, true] {
            let load = Load {
                shared_tokens,
                is_skewed,
                trouble: None,
            };
            let measured = compare(load);
            assert_no_harm(load, &measured);
            let title = format!("{shared_tokens} tokens, skewed: {is_skewed}");
            all += &lines(&title, &measured);
        }
    }
    assert_snapshot!(all);
}

/// Guards against beliefs that outlive an engine, its process or its memory.
#[test]
fn an_engine_in_trouble() {
    let mut all = String::new();
    for trouble in [Trouble::Lost, Trouble::Cold, Trouble::ShortOfMemory] {
        let load = Load {
            shared_tokens: 20_000,
            is_skewed: true,
            trouble: Some(trouble),
        };
        let measured = compare(load);
        assert_no_harm(load, &measured);
        all += &lines(&format!("{trouble:?}"), &measured);
    }
    assert_snapshot!(all);
}

/// Two engines of which the second holds 20,000 tokens of the prompt.
fn candidates() -> [Candidate; 2] {
    let saved_ms = profile().prefill_ms(Tokens::new(20_000));
    [0.0, 1.0].map(|probability_ratio| Candidate {
        upstream: id(&format!("engine-{probability_ratio}")),
        load: EngineLoad::default(),
        prefix: CachedPrefix {
            tokens: Tokens::new(20_000),
            saved_ms,
            probability_ratio,
            ..CachedPrefix::default()
        },
        requests_len: 0,
        slots_len: 16,
        recent_requests: 0,
        health: Health::default(),
        same_domain: true,
        jitter_requests: 0.0,
        slowdown: Default::default(),
    })
}

fn chosen(change: impl Fn(&mut Candidate)) -> usize {
    let mut candidates = candidates();
    change(&mut candidates[1]);
    let profile = profile();
    let request = PlacementRequest {
        profile: &profile,
        prompt_tokens: Tokens::new(21_000),
        output_tokens: Tokens::new(1_000),
        target_ms: 200.0,
        left_ms: 2_000.0,
        min_pause_target_ms: Some(Millis::new(250)),
        gaps: None,
    };
    choose_engine(&candidates, &request)
        .unwrap()
        .candidate_index
}

/// Guards against a prefix that outweighs what the choice counts already: a longer wait, memory, slots, failures.
#[test]
fn a_held_prefix_overrides_nothing() {
    let waiting = |remaining_ms: f64, memory_tokens: u64| PendingPrefill {
        remaining_ms,
        total_ms: remaining_ms,
        waited_ms: 0.0,
        remaining_tokens: Tokens::new(1_000),
        memory_tokens: Tokens::new(memory_tokens),
        for_other_engine: false,
        context_tokens: Tokens::ZERO,
        pause_target_ms: Millis::ZERO,
        weight_requests: 0.0,
    };
    assert_eq!(chosen(|_| {}), 1);
    assert_eq!(
        chosen(|held| held.load.prefills = vec![waiting(60.0, 0)]),
        1
    );
    assert_eq!(
        chosen(|held| held.load.prefills = vec![waiting(400.0, 0)]),
        0
    );
    assert_eq!(
        chosen(|held| held.load.prefills = vec![waiting(0.0, 300_000)]),
        0
    );
    assert_eq!(
        chosen(|held| held.load.prefills = vec![waiting(0.0, 0); 16]),
        0
    );
    assert_eq!(chosen(|held| held.health.failure_ratio = 1.0), 0);
    assert_eq!(chosen(|held| held.prefix.probability_ratio = 0.01), 0);
}
