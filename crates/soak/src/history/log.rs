//! Log of the observations of a run.

use super::Observation;
use persimmon_core::units::{Millis, Time};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Clock of a run. All observers share it, as they run in one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(self) -> Time {
        Time::START + Millis::new(self.0.elapsed().as_millis() as u64)
    }
}

/// Log of the observations of a run, shared by all observers.
#[derive(Clone, Debug)]
pub struct History {
    clock: Clock,
    entries: Arc<Mutex<Vec<(Time, Observation)>>>,
}

impl History {
    /// An empty history.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            entries: Arc::default(),
        }
    }

    /// Clock of the run.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Appends an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let mut entries = self.lock();
        let now = self.clock.now();
        entries.push((now, observation));
    }

    /// All observations so far.
    pub fn observations(&self) -> Vec<(Time, Observation)> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Time, Observation)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
