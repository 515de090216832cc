//! The daemon's monotonic clock.

use persimmon_core::units::Time;
use std::time::{Duration, Instant};

/// A monotonic clock that starts at [`Time::START`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::from_us(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time of this clock to an `Instant`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_us())
    }
}
