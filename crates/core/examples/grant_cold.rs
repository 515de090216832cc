//! Cold engines: every engine of a failure domain restarts at one moment under load.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Figures, Mix, Setup, World};
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
            let rate = setup.prefill_per_s(mix.mean_prompt_tokens()) * 0.4;
            let arrivals = mix.arrivals(SEED, rate, (0.0, 90.0));
            let mut world = World::new(setup, arrivals);
            for engine in 0..restarted {
                world.restart_at(Time::from_ms(45_000), engine);
            }
            let asked = world.run().to_vec();
            let after = |one: &&fleet::Asked| one.arrival.at > Time::from_ms(40_000);
            let shorts = asked.iter().filter(after);
            let shorts = Figures::of(shorts.filter(|one| SHORTS.contains(&one.class())));
            let falls: u32 = world.engines.iter().map(|engine| engine.falls_count).sum();
            println!(
                "{start_requests:>10} {restarted:>10} {falls:>17} {:>9} {:>10.1} {:>7} {:>6} {:>6.0}",
                world.most_over_bearable,
                shorts.good_percent(),
                shorts.refused_count,
                shorts.failed_count,
                shorts.first_token_ms(95),
            );
        }
    }
}
