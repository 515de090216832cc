//! Rate limit on writes to the table service.

use crate::units::Time;

/// A token bucket with a capacity of one second's writes, refilled continuously.
#[derive(Debug)]
pub(super) struct WriteBudget {
    per_s: u32,
    /// Available writes, in thousandths of a write.
    available: u64,
    filled_at: Time,
}

const WRITE_COST: u64 = 1_000;

impl WriteBudget {
    pub(super) fn new(per_s: u32) -> Self {
        Self {
            per_s,
            available: u64::from(per_s) * WRITE_COST,
            filled_at: Time::START,
        }
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = self.filled_at + elapsed;
        let cap = u64::from(self.per_s) * WRITE_COST;
        let filled = elapsed.get().saturating_mul(self.per_s.into());
        self.available = self.available.saturating_add(filled).min(cap);
    }

    /// Takes one write if at least `reserve` writes remain for more urgent callers. Returns false
    /// otherwise.
    pub(super) fn take(&mut self, now: Time, reserve: u32) -> bool {
        self.refill(now);
        let allowed = self.available >= WRITE_COST * (1 + u64::from(reserve));
        if allowed {
            self.available -= WRITE_COST;
        }
        allowed
    }
}
