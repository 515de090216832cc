//! What daemons tell each other of the speed of upstreams.

use super::sample::LOG_MAX;
use crate::fleet::UpstreamIncarnation;
use serde::{Deserialize, Serialize};

/// Samples of one upstream that a daemon took since its last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpeedReport {
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    /// Sum of the logarithms of observed to expected durations.
    pub log_sum: f32,
    /// Number of samples.
    pub samples_count: u16,
}

impl SpeedReport {
    /// Whether the sum is possible for that number of samples.
    pub(super) fn is_plausible(&self) -> bool {
        let most = LOG_MAX * f64::from(self.samples_count);
        self.log_sum.is_finite() && f64::from(self.log_sum).abs() <= most + f64::from(f32::EPSILON)
    }
}
