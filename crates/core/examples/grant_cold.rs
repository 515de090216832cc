//! Cold start under load: one engine, or all engines of a failure domain, restart at the same time.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Mix, Setup, Simulation, Statistics};
use persimmon_core::{request::LengthClass, units::Time};

const SEED: u64 = 6;
const SHORTS: [LengthClass; 2] = [LengthClass::Short, LengthClass::Medium];

fn main() {
    println!("ramp start  restarted refused-by-engine most-over good%<=16k refused failed  p95ms");
    for start_requests in [128, 2] {
        for restarted in [1, 16] {
            let mut setup = Setup::warm(16, 3, SEED);
            setup.grant.ramp_start_requests = start_requests;
            let mix = Mix::default();
            let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * 0.4;
            let arrivals = mix.arrivals(SEED, rate, (0.0, 90.0));
            let mut simulation = Simulation::new(setup, arrivals);
            for engine in 0..restarted {
                simulation.restart_at(Time::from_ms(45_000), engine);
            }
            let records = simulation.run().to_vec();
            let after = |record: &&fleet::RequestRecord| record.arrival.at > Time::from_ms(40_000);
            let shorts = records.iter().filter(after);
            let shorts = Statistics::of(shorts.filter(|record| SHORTS.contains(&record.class())));
            let falls: u32 = simulation
                .engines
                .iter()
                .map(|engine| engine.cold_overloads_count)
                .sum();
            println!(
                "{start_requests:>10} {restarted:>10} {falls:>17} {:>9} {:>10.1} {:>7} {:>6} {:>6.0}",
                simulation.max_over_bearable,
                shorts.complete_percent(),
                shorts.refused_count,
                shorts.failed_count,
                shorts.first_token_ms(95),
            );
        }
    }
}
