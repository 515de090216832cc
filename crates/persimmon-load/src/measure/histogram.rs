//! Percentiles of spans.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits that are kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest span that is told from others, in microseconds.
const MAX_DURATION_US: u64 = 3_600_000_000;

/// Collects spans.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

/// Percentiles of spans, in milliseconds; absent where there were none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// How many.
    pub samples_count: u64,
    /// Half of them were at most this.
    pub p50_ms: Option<f64>,
    /// 95 in 100.
    pub p95_ms: Option<f64>,
    /// 99 in 100.
    pub p99_ms: Option<f64>,
    /// The longest.
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
    /// Adds a span.
    pub fn record_ms(&mut self, span_ms: f64) {
        self.0.saturating_record((span_ms * 1e3).max(1.0) as u64);
    }

    /// The percentiles.
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
    fn from_iter<I: IntoIterator<Item = f64>>(spans_ms: I) -> Self {
        let mut spans = Self::default();
        spans_ms.into_iter().for_each(|span| spans.record_ms(span));
        spans
    }
}
