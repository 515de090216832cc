//! Keeps work from an upstream that fails it, until a probe shows that it is back.

use crate::units::{Millis, Time};

/// Time without new work after the first failure in a row.
const FIRST_BREAK_MS: u64 = 200;

/// Longest time without new work.
const LONGEST_BREAK_MS: u64 = 5_000;

/// Failures in a row after which the break no longer grows.
const GROWING_FAILURES: u32 = 5;

/// A circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CircuitBreaker {
    failures_count: u32,
    open_until: Time,
    is_silent: bool,
}

impl CircuitBreaker {
    /// A call failed by the upstream's fault. Gives the end of the break.
    pub(super) fn on_failure(&mut self, now: Time) -> Time {
        if now >= self.open_until {
            let steps = self.failures_count.min(GROWING_FAILURES);
            let span = (FIRST_BREAK_MS << steps).min(LONGEST_BREAK_MS);
            self.open_until = now + Millis::new(span);
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
        self.is_silent = !answered;
    }

    /// The most calls in flight out of `limit`: none in a break, one as a probe after it.
    pub(super) fn cap(&self, now: Time, limit: u32) -> u32 {
        if self.is_silent || now < self.open_until {
            return 0;
        }
        match self.failures_count {
            0 => limit,
            _ => limit.min(1),
        }
    }
}
