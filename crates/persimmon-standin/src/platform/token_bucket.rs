//! Rate limits by token buckets.

use persimmon_core::units::{Millis, Time};

/// A token bucket with a capacity of one second at its rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    available: f64,
    last: Time,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            available: rate_per_s,
            last: Time::START,
        }
    }

    /// Takes `amount`, or returns the time after which to retry.
    ///
    /// A full bucket grants an amount above its capacity, too, and the balance becomes negative.
    pub(crate) fn try_take(&mut self, now: Time, amount: f64) -> Result<(), Millis> {
        let passed_s = now.as_us().saturating_sub(self.last.as_us()) as f64 / 1e6;
        self.available = (self.available + passed_s * self.rate_per_s).min(self.rate_per_s);
        self.last = now;
        let needed = amount.min(self.rate_per_s);
        if self.available < needed {
            let wait_s = (needed - self.available) / self.rate_per_s;
            return Err(Millis::new((wait_s * 1000.0).ceil() as u64));
        }
        self.available -= amount;
        Ok(())
    }
}
