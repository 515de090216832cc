//! One observed duration.

use crate::fleet::UpstreamIncarnation;

/// Added to observed and expected durations, so that network delays and short waits do not look like a slow
/// upstream: an answer expected after 5 ms may well take 20 ms.
const CONSTANT_MS: f64 = 30.0;

/// Largest logarithm of a ratio that one sample may have: a factor of 20.
pub(super) const LOG_MAX: f64 = 3.0;

/// The duration of work at an upstream, beside the expected one.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedSample {
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    /// Whether it is an engine, whose profile predicts durations. Other upstreams are compared with each other.
    pub is_engine: bool,
    /// The observed duration in ms.
    pub observed_ms: f64,
    /// The expected duration in ms at the speed of the profile; for a plain upstream the latency target.
    pub expected_ms: f64,
}

impl SpeedSample {
    /// Logarithm of the ratio of the observed duration to the expected one.
    pub(super) fn log_ratio(&self) -> f64 {
        let observed_ms = self.observed_ms.max(0.0) + CONSTANT_MS;
        let expected_ms = self.expected_ms.max(0.0) + CONSTANT_MS;
        let log = (observed_ms / expected_ms).ln();
        if log.is_finite() {
            log.clamp(-LOG_MAX, LOG_MAX)
        } else {
            0.0
        }
    }
}
