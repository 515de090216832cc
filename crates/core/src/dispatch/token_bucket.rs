//! Token bucket: holds the requests that an upstream takes now, and fills at the upstream's rate.

use crate::units::{Millis, Time};

/// After a pause, an upstream may get the requests of this time at once, and one at least.
const BURST_MS: Millis = Millis::new(500);

/// Daemons that decide in the same moment take more than there is. The bucket owes at most the requests
/// of this time, and `DEBT_MIN_REQUESTS` at least.
const DEBT_MS: Millis = Millis::new(4_000);

/// See `DEBT_MS`.
const DEBT_MIN_REQUESTS: f64 = 2.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Requests that an upstream takes now; negative if it got too many.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    requests: f64,
    filled_at: Time,
}

impl TokenBucket {
    pub(super) const fn empty(now: Time) -> Self {
        Self {
            requests: 0.0,
            filled_at: now,
        }
    }

    fn requests_at(&self, now: Time, per_s: f64) -> f64 {
        let filled = self.requests + per_s * ms(now.since(self.filled_at)) / MS_PER_S;
        filled.min((per_s * ms(BURST_MS) / MS_PER_S).max(1.0))
    }

    /// Takes out a request, even if the bucket is empty.
    pub(super) fn take(&mut self, now: Time, per_s: f64) {
        let debt_max = (per_s * ms(DEBT_MS) / MS_PER_S).max(DEBT_MIN_REQUESTS);
        self.requests = (self.requests_at(now, per_s) - 1.0).max(-debt_max);
        self.filled_at = now;
    }

    /// Number of whole requests in the bucket.
    pub(super) fn credit_len(&self, now: Time, per_s: f64) -> usize {
        self.requests_at(now, per_s).max(0.0) as usize
    }

    /// Time in ms until the bucket has one more request than `queued_len`.
    pub(super) fn wait_ms(&self, now: Time, per_s: f64, queued_len: usize) -> f64 {
        let missing = (queued_len + 1) as f64 - self.requests_at(now, per_s);
        missing.max(0.0) * MS_PER_S / per_s
    }
}

fn ms(span: Millis) -> f64 {
    span.get() as f64
}
