//! What runs on a VM.

use persimmon_core::{
    daemon::Daemon,
    units::{Millis, Time},
    Action, Event,
};
use std::fmt;

/// A process of the system: events in, actions out, on its own clock.
pub trait Node: fmt::Debug {
    /// Takes an event in.
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action>;

    /// When it wants a tick.
    fn next_wakeup(&self) -> Option<Time>;

    /// Requests without a last word.
    fn open_requests(&self) -> u32;

    /// How far the oldest open request is past its deadline.
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
