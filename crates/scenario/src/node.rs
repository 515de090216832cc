//! The interface of a process that runs on a VM.

use persimmon_core::{
    daemon::Daemon,
    units::{Millis, Time},
    Action, Event,
};
use std::fmt;

/// A process that turns events into actions and has a clock of its own.
pub trait Node: fmt::Debug {
    /// Handles an event and returns the actions to execute. `now` is on the process's clock.
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action>;

    /// When the process wants its next tick, on its own clock.
    fn next_wakeup(&self) -> Option<Time>;

    /// Number of requests without a final response.
    fn open_requests(&self) -> u32;

    /// Time by which the oldest open request is past its deadline.
    fn oldest_overdue_ms(&self, now: Time) -> Millis;
}

impl Node for Daemon {
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        Daemon::handle(self, now, event, &mut actions);
        actions
    }

    fn next_wakeup(&self) -> Option<Time> {
        Some(Daemon::next_wakeup(self))
    }

    fn open_requests(&self) -> u32 {
        Daemon::open_requests(self)
    }

    fn oldest_overdue_ms(&self, now: Time) -> Millis {
        Daemon::oldest_overdue_ms(self, now)
    }
}
