//! The start-up limit of an upstream: small at first, grown on evidence, falling at once.

use crate::units::Time;

/// Growth of the limit for each healthy completion.
const GROWTH_PER_COMPLETION: f64 = 0.5;
/// Share of the limit that must be in use for a completion to count as evidence.
const MIN_UTILISATION_RATIO: f64 = 0.5;

/// How a finished call speaks of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Health {
    /// It ended in about the predicted time.
    Healthy,
    /// It says nothing.
    Unknown,
    /// Its first token came much later than predicted, as from a cold upstream.
    Slow,
    /// The upstream failed it.
    Failed,
}

/// A limit that follows what an upstream has shown to bear.
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

    /// Requests that may be in flight.
    pub(super) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// The upstream is cold.
    pub(super) fn reset(&mut self, now: Time) {
        self.limit = self.start_requests.into();
        self.reset_at = now;
    }

    /// The upstream's process is a new one: its word counts at once.
    pub(super) fn restart(&mut self) {
        self.reset(Time::START);
    }

    /// The upstream bears this many.
    pub(super) fn raise_to(&mut self, requests: u32) {
        self.limit = self.limit.max(requests.into());
    }

    /// The upstream said at `as_of` that it bears this many. Less goes at once; more only where the
    /// word is younger than the last sign that it is cold.
    pub(super) fn on_reported_limit(&mut self, requests: u32, as_of: Time) {
        self.limit = self.limit.min(requests.max(1).into());
        if as_of > self.reset_at {
            self.raise_to(requests);
        }
    }

    /// A call ended while this many were in flight, itself included.
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
