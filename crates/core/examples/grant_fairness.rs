//! Measures the effect of one workspace's burst on the other workspaces' time to first token.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Arrival, Mix, RequestRecord, Setup, Simulation, Statistics};
use persimmon_core::request::LengthClass;

const SEED: u64 = 5;
/// Prefill utilisation by the steady arrivals.
const STEADY_RATIO: f64 = 0.4;
/// Prefill utilisation that the burst alone would cause.
const BURST_RATIO: f64 = 1.2;
const SHORTS: [LengthClass; 2] = [LengthClass::Short, LengthClass::Medium];

fn setup(workspaces_count: usize) -> Setup {
    Setup {
        workspaces_count,
        ..Setup::warm(16, 3, SEED)
    }
}

/// Statistics of the other workspaces during the burst.
fn others(records: &[RequestRecord], classes: &[LengthClass]) -> Statistics {
    let during = |record: &&RequestRecord| {
        let at_ms = record.arrival.at.as_us() / 1_000;
        (32_000..92_000).contains(&at_ms) && record.arrival.workspace > 0
    };
    let seen = records.iter().filter(during);
    Statistics::of(seen.filter(|record| classes.contains(&record.class())))
}

fn main() {
    println!("workspaces burst          alone95ms burst95ms ratio   good%");
    for workspaces_count in [10, 250] {
        let setup = setup(workspaces_count);
        let steady = Mix {
            workspaces_count,
            ..Mix::default()
        };
        let per_s = setup.saturating_arrivals_per_s(steady.mean_prompt_tokens());
        let base = steady.arrivals(SEED, per_s * STEADY_RATIO, (0.0, 120.0));
        let before = Simulation::new(setup.clone(), base.clone()).run().to_vec();
        let short = Mix {
            shares_permille: [750, 250, 0, 0],
            workspaces_count: 1,
            ..Mix::default()
        };
        let mixed = Mix {
            workspaces_count: 1,
            ..Mix::default()
        };
        for (name, mix) in [("short prompts", short), ("all lengths", mixed)] {
            let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * BURST_RATIO;
            let mut arrivals: Vec<Arrival> = base.clone();
            arrivals.extend(mix.arrivals(SEED + 1, rate, (30.0, 90.0)));
            arrivals.sort_by_key(|arrival| arrival.at);
            let after = Simulation::new(setup.clone(), arrivals).run().to_vec();
            let alone = others(&before, &SHORTS).first_token_ms(95);
            let burst = others(&after, &SHORTS);
            let burst_ms = burst.first_token_ms(95);
            println!(
                "{workspaces_count:>10} {name:<14} {alone:>9.0} {burst_ms:>9.0} {:>5.2} {:>7.1}",
                burst_ms / alone,
                burst.complete_percent(),
            );
        }
    }
}
