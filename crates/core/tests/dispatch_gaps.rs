//! Prefill alongside decode on deployment 2: a third of its engines, daemons and rates.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    replay::{Outcome, Phase, Policy, Replay},
    site::{hard_load_bursts, hard_load_phase, Site},
};
use persimmon_core::dispatch::RawDispatchSettings;

fn replay(settings: RawDispatchSettings, phases: &[Phase], seed: u64) -> Outcome {
    Replay::on_site(
        Site::hard_load(),
        settings,
        Policy::Dispatcher,
        20,
        26,
        seed,
    )
    .play(phases)
}

#[test]
#[ignore]
fn measure() {
    for (name, phases) in [
        ("usual", vec![hard_load_phase(15_000, [1.0; 3])]),
        ("bursts", hard_load_bursts()),
    ] {
        for seed in 1..=3 {
            let begun = std::time::Instant::now();
            let outcome = replay(RawDispatchSettings::default(), &phases, seed);
            println!(
                "{name} {seed} {:?}\n{outcome} overruns {} {:?}",
                begun.elapsed(),
                outcome.overruns_count,
                outcome.kinds.map(|t| t.late_by)
            );
        }
    }
}
