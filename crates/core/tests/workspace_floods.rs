//! A workspace that floods an overloaded engine service through several daemons, in virtual time.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    catalog, key, profile,
    replay::{Caller, Phase, Replay, Tally, KINDS},
};
use persimmon_core::{
    dispatch::RawDispatchSettings,
    sharing::{engine_work_ms, RawSharingSettings},
    units::Tokens,
};
use std::thread;

/// The first workspace is the large one.
const KEYS: [&str; 4] = ["large", "small-1", "small-2", "small-3"];

const ENGINES_LEN: u16 = 12;

const SEEDS_LEN: u64 = 6;

/// Time for which requests arrive. At 1.0, the rates are those of a busy service of this size.
const FLOOD: Phase = Phase {
    span_ms: 20_000,
    per_s: [22.0, 1.2, 1.1],
};

/// Small workspaces ask for 0.6 of what the service can do; the large one asks for 2.5 times that capacity.
const SMALL_RATIO: f64 = 0.2;
const LARGE_RATIO: f64 = 2.5;

#[derive(Clone, Copy, Debug, Default)]
struct Case {
    is_shared: bool,
    priorities: Option<[u8; 3]>,
    /// Time until peers have a message.
    message_delay_ms: u64,
    /// Whether daemons hear nothing of each other.
    is_cut_off: bool,
}

fn replay(case: Case, seed: u64) -> Replay {
    let mut catalog = catalog(1);
    let priorities = case.priorities.unwrap_or([1; 3]);
    for (route, priority) in catalog.routes.iter_mut().zip(priorities) {
        route.priority = priority;
    }
    catalog.keys = Some(KEYS.map(|name| key(name, name)).to_vec());
    let caller = |(index, key)| Caller {
        key,
        rate_ratio: if index == 0 { LARGE_RATIO } else { SMALL_RATIO },
    };
    let callers = KEYS.into_iter().enumerate().map(caller).collect();
    let settings = RawDispatchSettings {
        sharing: case.is_shared.then(RawSharingSettings::default),
        ..RawDispatchSettings::default()
    };
    let mut replay = Replay::shared(&settings, (6, ENGINES_LEN, seed), catalog, callers);
    replay.message_delay_ms = case.message_delay_ms.max(1);
    if case.is_cut_off {
        replay.cut_links();
    }
    replay.play(&[FLOOD]);
    replay
}

/// What each workspace got over all seeds, by kind.
struct Flood([[Tally; 3]; 4]);

impl Flood {
    fn run(case: Case) -> Self {
        let replays = thread::scope(|scope| {
            let replays = (1..=SEEDS_LEN).map(|seed| scope.spawn(move || replay(case, seed)));
            let replays: Vec<_> = replays.collect();
            let replays = replays.into_iter().map(|replay| replay.join().unwrap());
            replays.collect::<Vec<_>>()
        });
        let sum = |caller: usize, kind: usize| {
            let tallies = replays.iter().map(|replay| replay.tally(caller)[kind]);
            tallies.fold(Tally::default(), Tally::add)
        };
        Self([0, 1, 2, 3].map(|caller| [0, 1, 2].map(|kind| sum(caller, kind))))
    }

    /// Work asked and served of these workspaces, in engine-milliseconds.
    fn work_ms(&self, callers: &[[Tally; 3]]) -> (f64, f64) {
        let mut sums = (0.0, 0.0);
        for (tally, kind) in callers.iter().flat_map(|kinds| kinds.iter().zip(KINDS)) {
            let output = Tokens::new((kind.events * 51.0) as u64);
            let work_ms = engine_work_ms(&profile(), Tokens::new(kind.mean as u64), output);
            sums.0 += f64::from(tally.asked) * work_ms;
            sums.1 += f64::from(tally.on_time + tally.late) * work_ms;
        }
        sums
    }

    fn small_served_ratio(&self) -> f64 {
        let (asked_ms, served_ms) = self.work_ms(&self.0[1..]);
        served_ms / asked_ms
    }

    /// Ratios of the requests served, by kind.
    fn served_ratios(callers: &[[Tally; 3]]) -> [f64; 3] {
        [0, 1, 2].map(|kind| {
            let tallies = callers.iter().map(|kinds| kinds[kind]);
            let all = tallies.fold(Tally::default(), Tally::add);
            f64::from(all.on_time + all.late) / f64::from(all.asked)
        })
    }

    fn summary(&self) -> String {
        let (large_asked_ms, large_ms) = self.work_ms(&self.0[..1]);
        let on_time: u32 = self.0[1..]
            .iter()
            .flatten()
            .map(|tally| tally.on_time)
            .sum();
        let kinds = [&self.0[..1], &self.0[1..]].map(Self::served_ratios);
        format!(
            "small: {:.2} of the work served, {on_time} on time; large: {:.2} served; by kind: {kinds:.2?}",
            self.small_served_ratio(),
            large_ms / large_asked_ms
        )
    }
}

/// Guards against a large workspace that takes the share of others, and against a share that leaves capacity
/// unused. All requests have one priority, and the small workspaces ask for less than their share.
#[test]
fn others_keep_their_share_and_the_large_one_uses_what_is_free() {
    let off = Flood::run(Case::default());
    let on = Flood::run(Case {
        is_shared: true,
        ..Case::default()
    });
    println!("off: {}\non: {}", off.summary(), on.summary());
    assert!(on.small_served_ratio() >= 0.9, "{}", on.summary());
    // An engine does at least a millisecond of work in each.
    let capacity_ms = (SEEDS_LEN * FLOOD.span_ms * u64::from(ENGINES_LEN)) as f64;
    let (_, small_ms) = on.work_ms(&on.0[1..]);
    let (_, large_ms) = on.work_ms(&on.0[..1]);
    assert!(large_ms >= capacity_ms - small_ms, "{}", on.summary());
}

/// Guards against shares that turn the order of urgency around in a workspace, and against a workspace or kind
/// that gets nothing.
#[test]
fn a_more_urgent_kind_is_not_served_worse_and_nobody_starves() {
    let on = Flood::run(Case {
        is_shared: true,
        priorities: Some([0, 1, 2]),
        ..Case::default()
    });
    println!("by priority: {}", on.summary());
    // Together, as a small workspace has only 25 requests of the second kind.
    for callers in [&on.0[..1], &on.0[1..]] {
        let served = Flood::served_ratios(callers);
        assert!(
            served.is_sorted_by(|urgent, other| urgent >= other),
            "{served:?}"
        );
    }
    let mut all = on.0.iter().flatten();
    assert!(
        all.all(|tally| tally.on_time + tally.late > 0),
        "{:?}",
        on.0
    );
}

/// Guards against shares that do harm when the views of daemons differ by a second.
#[test]
fn late_reports_leave_others_no_worse_than_without_shares() {
    let late = Case {
        message_delay_ms: 1_000,
        ..Case::default()
    };
    let off = Flood::run(late);
    let on = Flood::run(Case {
        is_shared: true,
        ..late
    });
    println!("late, off: {}\nlate, on: {}", off.summary(), on.summary());
    assert!(
        on.small_served_ratio() >= off.small_served_ratio(),
        "{}",
        on.summary()
    );
}

/// Guards against daemons that hold calls of small workspaces back, or wait for messages, when they hear nothing
/// of each other.
#[test]
fn daemons_that_are_cut_off_hold_no_small_workspace_back() {
    for seed in 1..=SEEDS_LEN {
        let case = Case {
            is_shared: true,
            is_cut_off: true,
            ..Case::default()
        };
        let held = replay(case, seed).held_counts;
        println!("cut off, seed {seed}: held {held:?}");
        assert!(
            held.keys().all(|holder| holder == KEYS[0]),
            "seed {seed}: {held:?}"
        );
    }
}

/// Guards against a small workspace whose more urgent requests are served less often than its others.
#[test]
#[ignore = "known fault, see KNOWN-RED.txt"]
fn a_more_urgent_kind_is_not_served_worse_in_any_workspace() {
    let on = Flood::run(Case {
        is_shared: true,
        priorities: Some([0, 1, 2]),
        ..Case::default()
    });
    for callers in &on.0 {
        let served = Flood::served_ratios(std::slice::from_ref(callers));
        assert!(
            served.is_sorted_by(|urgent, other| urgent >= other),
            "{served:?}"
        );
    }
}

/// Guards against shares that serve small workspaces less while daemons hear nothing of each other.
#[test]
#[ignore = "known fault, see KNOWN-RED.txt"]
fn daemons_that_are_cut_off_serve_small_workspaces_no_less() {
    let cut_off = Case {
        is_cut_off: true,
        ..Case::default()
    };
    let off = Flood::run(cut_off).small_served_ratio();
    let on = Flood::run(Case {
        is_shared: true,
        ..cut_off
    });
    let on = on.small_served_ratio();
    assert!(on >= off, "{on} of {off}");
}
