//! Prompt prefixes that upstreams still cache: what the choice of an engine gains, on a replay in virtual time.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/prefix_replay.rs"]
mod prefix_replay;

use insta::assert_snapshot;
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
