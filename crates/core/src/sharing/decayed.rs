//! An exponentially decayed sum.

use crate::units::{Millis, Time};

/// Factor by which a sum decays within a span.
pub(super) fn decay_ratio(span: Millis, decay: Millis) -> f64 {
    (-(span.get() as f64) / decay.get().max(1) as f64).exp()
}

/// A sum of milliseconds of work that decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedWork {
    work_ms: f64,
    at: Time,
}

impl DecayedWork {
    /// The sum at `now`.
    pub(super) fn get_ms(&self, now: Time, decay: Millis) -> f64 {
        self.work_ms * decay_ratio(now.since(self.at), decay)
    }

    /// Adds work. The sum never becomes negative.
    pub(super) fn add_ms(&mut self, now: Time, decay: Millis, work_ms: f64) {
        self.work_ms = (self.get_ms(now, decay) + work_ms).max(0.0);
        self.at = self.at.max(now);
    }

    /// When work was last added.
    pub(super) const fn last_at(&self) -> Time {
        self.at
    }
}
