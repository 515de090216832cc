//! Values that become visible after a delay.

use persimmon_core::{
    ids::Incarnation,
    units::{Millis, Time},
};
use std::{
    collections::VecDeque,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A clock that starts at 0 with its stand-in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_us(self.start.elapsed().as_micros() as u64)
    }
}

/// Incarnation of a process that starts now: microseconds since the Unix epoch.
pub(crate) fn process_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since_epoch.unwrap_or_default().as_micros() as u64)
}

/// A value that readers see as of `lag_ms` ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag_ms: Millis,
    history: VecDeque<(Time, T)>,
}

impl<T: Clone + PartialEq> Lagged<T> {
    pub(crate) fn new(lag_ms: Millis, first: T) -> Self {
        Self {
            lag_ms,
            history: VecDeque::from([(Time::START, first)]),
        }
    }

    /// Records the value of `now`.
    pub(crate) fn record(&mut self, now: Time, value: T) {
        if self.history.back().is_none_or(|(_, last)| *last != value) {
            self.history.push_back((now, value));
        }
        self.drop_invisible(now);
    }

    /// Returns the value that is visible at `now`.
    pub(crate) fn visible(&mut self, now: Time) -> Option<T> {
        self.drop_invisible(now);
        self.history.front().map(|(_, value)| value.clone())
    }

    fn drop_invisible(&mut self, now: Time) {
        let is_visible = |at: Time| at.as_us() + self.lag_ms.get() * 1000 <= now.as_us();
        while self.history.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.history.pop_front();
        }
    }
}
