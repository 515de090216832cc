//! Estimates that are updated from finished calls: prefill time, decode time and answer length.

use super::{
    account::ActiveGrant, owner::Owner, priority_level::PriorityLevel, slow_start::Health,
    timers::Timer,
};
use crate::{
    ids::{AttemptId, ModelVersion},
    message::GrantReport,
    units::{Millis, Time, Tokens},
};
use std::collections::BTreeMap;

/// Weight of one call in the exponentially weighted moving averages.
const EWMA_WEIGHT_RATIO: f64 = 0.05;
/// Shortest predicted time to first token of a call that updates the prefill estimate.
const MIN_PREFILL_SAMPLE_MS: Millis = Millis::new(100);
/// Lower and upper bound of the prefill time as a multiple of the configured one.
const PREFILL_TIME_RATIO_RANGE: (f64, f64) = (0.5, 4.0);
/// An upstream counts as cold if a first token takes longer than this multiple of its prediction,
/// plus `COLD_FIRST_TOKEN_SLACK_MS`.
const COLD_FIRST_TOKEN_FACTOR: u64 = 6;
/// Allowance on top of `COLD_FIRST_TOKEN_FACTOR` before an upstream counts as cold.
const COLD_FIRST_TOKEN_SLACK_MS: Millis = Millis::new(1_000);
/// Expected answer length as a share of the longest allowed answer, before any call has ended.
const INITIAL_OUTPUT_RATIO: f64 = 0.5;

/// Prefill and decode estimates of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateEstimates {
    /// Prefill time as a multiple of the configured one.
    pub(super) prefill_time_ratio: f64,
    /// Decode time of a token; none before the first complete answer.
    pub(super) decode_token_ms: Option<f64>,
}

impl Default for RateEstimates {
    fn default() -> Self {
        Self {
            prefill_time_ratio: 1.0,
            decode_token_ms: None,
        }
    }
}

impl RateEstimates {
    fn update(&mut self, predicted_ms: Millis, level: PriorityLevel, end: &GrantReport) {
        let Some(first_ms) = end.first_token_ms else {
            return;
        };
        if level <= PriorityLevel::Medium && predicted_ms >= MIN_PREFILL_SAMPLE_MS {
            let ratio = (first_ms.get() as f64 / predicted_ms.get() as f64).clamp(0.25, 4.0);
            let (min_ratio, max_ratio) = PREFILL_TIME_RATIO_RANGE;
            let updated = self.prefill_time_ratio * (1.0 + EWMA_WEIGHT_RATIO * (ratio - 1.0));
            self.prefill_time_ratio = updated.clamp(min_ratio, max_ratio);
        }
        if end.complete && end.output_tokens > Tokens::ZERO {
            let decode_ms = end.total_ms.saturating_sub(first_ms).get() as f64;
            let token_ms = decode_ms / end.output_tokens.get() as f64;
            let average = self.decode_token_ms.unwrap_or(token_ms);
            self.decode_token_ms = Some(average + EWMA_WEIGHT_RATIO * (token_ms - average));
        }
    }

    /// Discards the estimates, as when the upstream has restarted.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Average answer length as a share of the longest allowed answer, by model version.
#[derive(Clone, Debug, Default)]
pub(super) struct OutputLengths {
    shares: BTreeMap<ModelVersion, f64>,
}

impl OutputLengths {
    fn update(&mut self, model: &ModelVersion, share: f64) {
        let average = self.shares.entry(model.clone());
        let average = average.or_insert(INITIAL_OUTPUT_RATIO);
        *average += EWMA_WEIGHT_RATIO * (share.clamp(0.0, 1.0) - *average);
    }

    /// Expected number of output tokens of an answer that may have `limit_tokens`.
    pub(super) fn expected_tokens(
        &self,
        model: Option<&ModelVersion>,
        limit_tokens: Tokens,
    ) -> Tokens {
        let share = model.and_then(|model| self.shares.get(model));
        let share = share.copied().unwrap_or(INITIAL_OUTPUT_RATIO);
        Tokens::new((limit_tokens.get() as f64 * share).ceil() as u64)
    }
}

impl Owner {
    /// Updates estimates, slow start and circuit breaker from a call that ended at an owned
    /// upstream.
    pub(super) fn update_estimates(&mut self, now: Time, attempt: &AttemptId, end: &GrantReport) {
        let Some(upstream) = self.granted.get(attempt) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        let Some(active) = account.active_grant(attempt) else {
            return;
        };
        let (health, level) = (health_of(active, end), active.level);
        let predicted_ms = active.offer.predicted_ms;
        if let (Some(model), true) = (&active.model, end.complete) {
            let max_tokens = active.max_output_tokens.get().max(1);
            let share = end.output_tokens.get() as f64 / max_tokens as f64;
            self.output_lengths.update(model, share);
        }
        let in_flight = account.in_flight();
        account.slow_start.on_end(now, health, in_flight);
        account.rates.update(predicted_ms, level, end);
        match health {
            Health::Failed => {
                let end = account.breaker.on_failure(now);
                self.timers.set(end, Timer::BreakerProbe(upstream.clone()));
            }
            Health::Healthy | Health::Slow => account.breaker.on_success(),
            Health::Unknown => {}
        }
    }
}

fn health_of(active: &ActiveGrant, end: &GrantReport) -> Health {
    if end.upstream_failed {
        return Health::Failed;
    }
    let predicted_ms = active.offer.predicted_ms.get();
    let bound_ms = Millis::new(predicted_ms * COLD_FIRST_TOKEN_FACTOR) + COLD_FIRST_TOKEN_SLACK_MS;
    match end.first_token_ms {
        Some(first_ms) if first_ms > bound_ms && active.level <= PriorityLevel::OverShare => {
            Health::Slow
        }
        _ if end.complete => Health::Healthy,
        _ => Health::Unknown,
    }
}
