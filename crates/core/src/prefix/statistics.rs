//! How far predictions from held prefixes came true at the upstreams of a service.

use crate::units::Tokens;

/// Weight of the latest observation in an average.
const LATEST_RATIO: f64 = 0.1;

/// Least probability that a prefix in the table is held. A service whose upstreams begin to keep prefixes is
/// noticed by the requests that go there for other reasons.
const HIT_MIN_RATIO: f64 = 0.02;

/// Averages over the latest requests of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefixStatistics {
    hit_ratio: f64,
    reuse_ratio: f64,
}

impl Default for PrefixStatistics {
    fn default() -> Self {
        Self {
            hit_ratio: 1.0,
            reuse_ratio: 0.0,
        }
    }
}

impl PrefixStatistics {
    /// Share of the expected savings that first events showed.
    pub(super) const fn hit_ratio(&self) -> f64 {
        self.hit_ratio
    }

    /// Share of the stated tokens of prompts that their upstreams held.
    pub(super) const fn reuse_ratio(&self) -> f64 {
        self.reuse_ratio
    }

    pub(super) fn on_verdict(&mut self, is_hit: bool) {
        let seen = if is_hit { 1.0 } else { 0.0 };
        self.hit_ratio += (seen - self.hit_ratio) * LATEST_RATIO;
        self.hit_ratio = self.hit_ratio.max(HIT_MIN_RATIO);
    }

    pub(super) fn on_sent(&mut self, held_tokens: Tokens, all_tokens: Tokens) {
        let held_ratio = held_tokens.get() as f64 / all_tokens.get().max(1) as f64;
        self.reuse_ratio += (held_ratio - self.reuse_ratio) * LATEST_RATIO;
    }
}
