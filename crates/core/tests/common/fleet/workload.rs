//! Workload generator: seeded random arrivals.

use persimmon_core::{
    ids::BlockHash,
    units::{Millis, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A request that arrives.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) workspace: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) timeout_ms: Millis,
    pub(crate) blocks: Vec<BlockHash>,
}

/// Parameters of a workload. `shares_permille` are the shares of the length classes, in
/// thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    pub(crate) shares_permille: [u32; 4],
    pub(crate) max_tokens: u64,
    pub(crate) mean_output_tokens: u64,
    pub(crate) workspaces_count: usize,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            shares_permille: [700, 230, 50, 20],
            max_tokens: 380_000,
            mean_output_tokens: 120,
            workspaces_count: 10,
        }
    }
}

const MIN_TOKENS: [u64; 4] = [1_000, 2_001, 16_001, 100_001];
const SHORT_TIMEOUT_MS: u64 = 10_000;
const LONG_TIMEOUT_MS: u64 = 60_000;

impl Mix {
    fn range(&self, class: usize) -> (f64, f64) {
        let max = [2_000, 16_000, 100_000, self.max_tokens][class];
        (MIN_TOKENS[class] as f64, max as f64)
    }

    /// Mean prompt tokens of an arrival. Lengths are log-uniform within each class.
    pub(crate) fn mean_prompt_tokens(&self) -> f64 {
        let mean = |class| {
            let (min, max) = self.range(class);
            (max - min) / (max / min).ln()
        };
        let share = |class: usize| f64::from(self.shares_permille[class]) / 1_000.0;
        (0..4).map(|class| share(class) * mean(class)).sum()
    }

    /// Poisson arrivals at `rate_per_s` between the start and end in `span_s`. Deterministic for a
    /// seed.
    pub(crate) fn arrivals(&self, seed: u64, rate_per_s: f64, span_s: (f64, f64)) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut generated = Vec::new();
        let mut at_s = span_s.0;
        loop {
            let uniform: f64 = rng.random();
            at_s -= (1.0 - uniform).ln() / rate_per_s;
            if at_s >= span_s.1 {
                return generated;
            }
            generated.push(self.arrival(&mut rng, Time::from_us((at_s * 1e6) as u64)));
        }
    }

    fn arrival(&self, rng: &mut ChaCha8Rng, at: Time) -> Arrival {
        let mut drawn = rng.random_range(0..1_000_u32);
        let mut class = 0;
        while drawn >= self.shares_permille[class] {
            drawn -= self.shares_permille[class];
            class += 1;
        }
        let (min, max) = self.range(class);
        let prompt_tokens = (min * (max / min).powf(rng.random())) as u64;
        let output = rng.random_range(1..=2 * self.mean_output_tokens);
        let timeout = if class < 2 {
            SHORT_TIMEOUT_MS
        } else {
            LONG_TIMEOUT_MS
        };
        Arrival {
            at,
            workspace: rng.random_range(0..self.workspaces_count),
            prompt_tokens,
            output_tokens: output,
            max_output_tokens: 2 * self.mean_output_tokens,
            timeout_ms: Millis::new(timeout),
            blocks: Vec::new(),
        }
    }
}
