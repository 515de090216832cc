//! Bounds the reports that clients can cause.

use std::time::Duration;
use tokio::time::Instant;

/// Most reports in each interval. A flood of refusals thus leaves room in the log for the lines of decisions.
const REPORTS_MAX_LEN: u32 = 20;
const INTERVAL: Duration = Duration::from_secs(1);

/// Admits a bounded number of reports a second, and counts the others.
#[derive(Debug)]
pub struct ReportLimiter {
    interval_began_at: Instant,
    reports_len: u32,
    unreported_count: u64,
}

impl Default for ReportLimiter {
    fn default() -> Self {
        Self {
            interval_began_at: Instant::now(),
            reports_len: 0,
            unreported_count: 0,
        }
    }
}

impl ReportLimiter {
    /// Whether to report now. Returns the number of occurrences before this one that were not reported; none if this
    /// one is not to be reported either.
    pub fn admit(&mut self) -> Option<u64> {
        if self.interval_began_at.elapsed() >= INTERVAL {
            self.interval_began_at = Instant::now();
            self.reports_len = 0;
        }
        if self.reports_len >= REPORTS_MAX_LEN {
            self.unreported_count += 1;
            return None;
        }
        self.reports_len += 1;
        Some(std::mem::take(&mut self.unreported_count))
    }
}
