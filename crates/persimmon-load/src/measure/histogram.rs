//! Percentiles of durations.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Precision of the histogram in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bound of the histogram in microseconds; longer durations are recorded as this.
const MAX_DURATION_US: u64 = 3_600_000_000;

/// A histogram of durations.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

/// Percentiles of durations in milliseconds; `None` if nothing was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of recorded durations.
    pub samples_count: u64,
    /// 50th percentile.
    pub p50_ms: Option<f64>,
    /// 95th percentile.
    pub p95_ms: Option<f64>,
    /// 99th percentile.
    pub p99_ms: Option<f64>,
    /// Maximum.
    pub max_ms: Option<f64>,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(
            Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
        )
    }
}

impl DurationHistogram {
    /// Records a duration. Longer ones than an hour count as an hour.
    pub fn record_ms(&mut self, duration_ms: f64) {
        self.0
            .saturating_record((duration_ms * 1e3).max(1.0) as u64);
    }

    /// Computes the percentiles.
    pub fn report(&self) -> Percentiles {
        let at = |quantile| {
            let us = self.0.value_at_quantile(quantile);
            (!self.0.is_empty()).then_some(us as f64 / 1e3)
        };
        Percentiles {
            samples_count: self.0.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

impl FromIterator<f64> for DurationHistogram {
    fn from_iter<I: IntoIterator<Item = f64>>(durations_ms: I) -> Self {
        let mut histogram = Self::default();
        durations_ms
            .into_iter()
            .for_each(|duration_ms| histogram.record_ms(duration_ms));
        histogram
    }
}
