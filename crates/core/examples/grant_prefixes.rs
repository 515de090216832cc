//! Measures time to first token with and without prefix affinity, for prompts that share prefixes.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Arrival, Mix, Setup, Simulation, Statistics};
use persimmon_core::ids::BlockHash;

const SEED: u64 = 7;
const BLOCK_TOKENS: u64 = 256;
/// Number of documents that the prompts repeatedly refer to, apart from the hot one.
const DOCUMENTS_COUNT: u64 = 60;

/// Medium prompts that consist of a document and a question. `hot_percent` of them refer to the
/// same document.
fn arrivals(setup: &Setup, hot_percent: u64) -> Vec<Arrival> {
    let mix = Mix {
        shares_permille: [0, 1_000, 0, 0],
        ..Mix::default()
    };
    let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * 0.6;
    let mut arrivals = mix.arrivals(SEED, rate, (0.0, 120.0));
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        let index = index as u64;
        let hot = index % 100 < hot_percent;
        let document = if hot {
            0
        } else {
            1 + index * 7 % DOCUMENTS_COUNT
        };
        let blocks = arrival.prompt_tokens / BLOCK_TOKENS;
        let own = blocks - blocks / 8;
        let shared = (0..own).map(|block| BlockHash::new(document * 1_000 + block));
        let question = (own..blocks).map(|block| BlockHash::new((index + 1_000) * 1_000 + block));
        arrival.blocks = shared.chain(question).collect();
    }
    arrivals
}

fn main() {
    println!("hot% affinity  asked good%  p50ms  p95ms  p99ms cached%  most/mean in engines");
    for hot_percent in [0, 60] {
        for hides_prefixes in [true, false] {
            let setup = Setup {
                hides_prefixes,
                ..Setup::warm(16, 3, SEED)
            };
            let arrivals = arrivals(&setup, hot_percent);
            let prompts: u64 = arrivals.iter().map(|arrival| arrival.prompt_tokens).sum();
            let mut simulation = Simulation::new(setup, arrivals);
            let records = simulation.run().to_vec();
            let statistics = Statistics::of(records.iter());
            let mut by_engine = [0_u32; 16];
            for engine in records.iter().filter_map(|record| record.engine) {
                by_engine[engine] += 1;
            }
            let most = by_engine.iter().max().copied().unwrap_or_default();
            println!(
                "{hot_percent:>4} {:<9} {:>5} {:>5.1} {:>6.0} {:>6.0} {:>6.0} {:>7.1} {:>8.2}",
                if hides_prefixes { "off" } else { "on" },
                statistics.requests_count,
                statistics.complete_percent(),
                statistics.first_token_ms(50),
                statistics.first_token_ms(95),
                statistics.first_token_ms(99),
                100.0 * simulation.hit_tokens as f64 / prompts as f64,
                f64::from(most) * 16.0 / statistics.requests_count as f64,
            );
        }
    }
}
