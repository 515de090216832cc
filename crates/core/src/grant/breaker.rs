//! Keeps work from an upstream that fails it, until a probe shows that it is back.

use crate::units::{Millis, Time};

/// Time without new work after the first failure in a row.
const INITIAL_OPEN_MS: u64 = 200;

/// Longest time without new work.
const MAX_OPEN_MS: u64 = 5_000;

/// Failures in a row after which the break no longer grows.
const MAX_DOUBLINGS: u32 = 5;

/// A circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CircuitBreaker {
    failures_count: u32,
    open_until: Time,
    poll_failed: bool,
}

impl CircuitBreaker {
    /// A call failed by the upstream's fault. Gives the end of the break.
    pub(super) fn on_failure(&mut self, now: Time) -> Time {
        if now >= self.open_until {
            let doublings = self.failures_count.min(MAX_DOUBLINGS);
            let open_ms = (INITIAL_OPEN_MS << doublings).min(MAX_OPEN_MS);
            self.open_until = now + Millis::new(open_ms);
            self.failures_count += 1;
        }
        self.open_until
    }

    /// A call succeeded.
    pub(super) fn on_success(&mut self) {
        self.failures_count = 0;
        self.open_until = Time::START;
    }

    /// A load poll was answered, or not.
    pub(super) fn on_poll(&mut self, answered: bool) {
        self.poll_failed = !answered;
    }

    /// The most calls in flight out of `limit`: none in a break, one as a probe after it.
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
