//! Interface between the control thread and the core.

use persimmon_core::{daemon::Daemon, operator::StatusReport, units::Time, Action, Event};

/// The daemon's decision logic, without I/O. Owned by the control thread.
pub trait ControlCore: Send {
    /// Handles one event at `now` and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// Latest time of the next tick event; none if the core needs no timer.
    fn next_wakeup(&self) -> Option<Time>;

    /// Status of this daemon and its peers, if the core reports one.
    fn status(&self) -> Option<StatusReport>;
}

impl ControlCore for Daemon {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }

    fn next_wakeup(&self) -> Option<Time> {
        Some(Self::next_wakeup(self))
    }

    fn status(&self) -> Option<StatusReport> {
        Some(Self::status(self))
    }
}
