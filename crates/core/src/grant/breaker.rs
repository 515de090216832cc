//! Circuit breaker: stops new calls to a failing upstream until a probe call succeeds.

use crate::units::{Millis, Time};

/// Time for which the breaker opens after the first of several consecutive failures.
const INITIAL_OPEN_MS: u64 = 200;

/// Longest time for which the breaker opens.
const MAX_OPEN_MS: u64 = 5_000;

/// Consecutive failures after which the open time no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// The circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CircuitBreaker {
    failures_count: u32,
    open_until: Time,
    poll_failed: bool,
}

impl CircuitBreaker {
    /// Records a call that failed through the upstream's fault. Returns when the breaker may be
    /// probed.
    pub(super) fn on_failure(&mut self, now: Time) -> Time {
        if now >= self.open_until {
            let doublings = self.failures_count.min(MAX_DOUBLINGS);
            let open_ms = (INITIAL_OPEN_MS << doublings).min(MAX_OPEN_MS);
            self.open_until = now + Millis::new(open_ms);
            self.failures_count += 1;
        }
        self.open_until
    }

    /// Closes the breaker after a successful call.
    pub(super) fn on_success(&mut self) {
        self.failures_count = 0;
        self.open_until = Time::START;
    }

    /// Records whether the upstream answered a load poll. No calls are allowed until it answers.
    pub(super) fn on_poll(&mut self, answered: bool) {
        self.poll_failed = !answered;
    }

    /// Reduces `limit` calls in flight to zero while the breaker is open, and to one probe call
    /// after that until a call succeeds.
    pub(super) fn limit_in_flight(&self, now: Time, limit: u32) -> u32 {
        if self.poll_failed || now < self.open_until {
            return 0;
        }
        match self.failures_count {
            0 => limit,
            _ => limit.min(1),
        }
    }
}
