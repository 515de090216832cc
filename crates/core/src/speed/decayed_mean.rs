//! A mean whose samples lose weight with time.

use crate::units::{Millis, Time};

/// A weighted sum of samples that halves every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedMean {
    sum: f64,
    weight: f64,
    updated_at: Time,
}

impl DecayedMean {
    /// Without samples.
    pub(super) const ZERO: Self = Self {
        sum: 0.0,
        weight: 0.0,
        updated_at: Time::START,
    };

    /// Adds samples with this sum.
    pub(super) fn add(&mut self, now: Time, half_life_ms: Millis, sum: f64, count: f64) {
        *self = self.at(now, half_life_ms);
        self.sum += sum;
        self.weight += count;
    }

    /// Weight of the samples, in new samples.
    pub(super) fn weight(&self, now: Time, half_life_ms: Millis) -> f64 {
        self.at(now, half_life_ms).weight
    }

    /// The mean, with `prior_weight` further samples of 0, so that few or old samples count little.
    pub(super) fn mean(&self, now: Time, half_life_ms: Millis, prior_weight: f64) -> f64 {
        let decayed = self.at(now, half_life_ms);
        decayed.sum / (decayed.weight + prior_weight)
    }

    fn at(&self, now: Time, half_life_ms: Millis) -> Self {
        let half_lives = now.since(self.updated_at).get() as f64 / half_life_ms.get().max(1) as f64;
        let kept_ratio = (-half_lives).exp2();
        Self {
            sum: self.sum * kept_ratio,
            weight: self.weight * kept_ratio,
            updated_at: self.updated_at.max(now),
        }
    }
}
