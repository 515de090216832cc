//! The observations of a run.

use super::Observation;
use persimmon_core::units::{Millis, Time};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// The run's clock: one for all observers, as they share a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(self) -> Time {
        Time::START + Millis::new(self.0.elapsed().as_millis() as u64)
    }
}

/// The observations of a run, shared by all observers.
#[derive(Clone, Debug)]
pub struct History {
    clock: Clock,
    seen: Arc<Mutex<Vec<(Time, Observation)>>>,
}

impl History {
    /// An empty history.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            seen: Arc::default(),
        }
    }

    /// Its clock.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Notes an observation down.
    pub fn note(&self, observation: Observation) {
        let mut seen = self.lock();
        let now = self.clock.now();
        seen.push((now, observation));
    }

    /// All observations so far.
    pub fn all(&self) -> Vec<(Time, Observation)> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Time, Observation)>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
