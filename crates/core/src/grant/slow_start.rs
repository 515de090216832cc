//! Slow start: an upstream's limit of calls in flight starts low, grows with healthy completions,
//! and is reset when a call fails or its first token is much later than predicted.

use crate::units::Time;

/// Growth of the limit for each healthy completion, in calls.
const GROWTH_PER_COMPLETION: f64 = 0.5;
/// Share of the limit that must be in use for a completion to raise the limit.
const MIN_UTILISATION_RATIO: f64 = 0.5;

/// What a finished call indicates about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Health {
    /// The answer was complete. For short and medium prompts, its first token also came in time.
    Healthy,
    /// The call indicates nothing.
    Unknown,
    /// The first token of a short or medium prompt came much later than predicted, as from a cold
    /// upstream.
    Slow,
    /// The call failed through the upstream's fault.
    Failed,
}

/// A limit of calls in flight that follows the load that the upstream has handled.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStart {
    start_requests: u32,
    limit: f64,
    reset_at: Time,
}

impl SlowStart {
    pub(super) fn new(start_requests: u32) -> Self {
        Self {
            start_requests,
            limit: start_requests.into(),
            reset_at: Time::START,
        }
    }

    /// Number of requests that may be in flight.
    pub(super) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Resets the limit to its start value, as for a cold upstream.
    pub(super) fn reset(&mut self, now: Time) {
        self.limit = self.start_requests.into();
        self.reset_at = now;
    }

    /// Resets the limit after a restart of the upstream. Any report of the new process may raise
    /// it.
    pub(super) fn restart(&mut self) {
        self.reset(Time::START);
    }

    /// Raises the limit to at least this number of requests.
    pub(super) fn raise_to(&mut self, requests: u32) {
        self.limit = self.limit.max(requests.into());
    }

    /// Applies the limit that the upstream reported at `as_of`. A lower limit applies immediately;
    /// a higher one only if it was reported after the last reset.
    pub(super) fn on_reported_limit(&mut self, requests: u32, as_of: Time) {
        self.limit = self.limit.min(requests.max(1).into());
        if as_of > self.reset_at {
            self.raise_to(requests);
        }
    }

    /// Adjusts the limit after a call. `in_flight` includes that call.
    pub(super) fn on_end(&mut self, now: Time, health: Health, in_flight: u32) {
        match health {
            Health::Healthy if f64::from(in_flight) >= self.limit * MIN_UTILISATION_RATIO => {
                self.limit += GROWTH_PER_COMPLETION;
            }
            Health::Healthy | Health::Unknown => {}
            Health::Slow | Health::Failed => self.reset(now),
        }
    }
}
