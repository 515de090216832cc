//! Percentiles of spans.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits that are kept.
const DIGITS: u8 = 3;

/// Longest span that is told from others, in microseconds.
const MAX_US: u64 = 3_600_000_000;

/// Collects spans.
#[derive(Clone, Debug)]
pub struct Spans(Histogram<u64>);

/// Percentiles of spans, in milliseconds; absent where there were none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SpanReport {
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

impl Default for Spans {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("the bounds are valid"))
    }
}

impl Spans {
    /// Adds a span.
    pub fn add_ms(&mut self, span_ms: f64) {
        self.0.saturating_record((span_ms * 1e3).max(1.0) as u64);
    }

    /// The percentiles.
    pub fn report(&self) -> SpanReport {
        let at = |quantile| {
            let us = self.0.value_at_quantile(quantile);
            (!self.0.is_empty()).then_some(us as f64 / 1e3)
        };
        SpanReport {
            samples_count: self.0.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

impl FromIterator<f64> for Spans {
    fn from_iter<I: IntoIterator<Item = f64>>(spans_ms: I) -> Self {
        let mut spans = Self::default();
        spans_ms.into_iter().for_each(|span| spans.add_ms(span));
        spans
    }
}
