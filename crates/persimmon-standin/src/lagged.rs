//! Values that are seen some time after they came to be.

use persimmon_core::{
    ids::Incarnation,
    units::{Millis, Time},
};
use std::{
    collections::VecDeque,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A clock that starts with its stand-in.
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

/// The incarnation of a process that starts now.
pub(crate) fn process_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since_epoch.unwrap_or_default().as_micros() as u64)
}

/// A value whose readers see it as it was a lag ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag_ms: Millis,
    past: VecDeque<(Time, T)>,
}

impl<T: Clone + PartialEq> Lagged<T> {
    pub(crate) fn new(lag_ms: Millis, first: T) -> Self {
        Self {
            lag_ms,
            past: VecDeque::from([(Time::START, first)]),
        }
    }

    /// Records the value of `now`.
    pub(crate) fn record(&mut self, now: Time, value: T) {
        if self.past.back().is_none_or(|(_, last)| *last != value) {
            self.past.push_back((now, value));
        }
        self.forget(now);
    }

    /// The value as it is seen at `now`.
    pub(crate) fn seen(&mut self, now: Time) -> Option<T> {
        self.forget(now);
        self.past.front().map(|(_, value)| value.clone())
    }

    fn forget(&mut self, now: Time) {
        let visible = |at: Time| at.as_us() + self.lag_ms.get() * 1000 <= now.as_us();
        while self.past.get(1).is_some_and(|(at, _)| visible(*at)) {
            self.past.pop_front();
        }
    }
}
