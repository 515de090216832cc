//! The border to the core.

use persimmon_core::{daemon::Daemon, operator::StatusReport, units::Time, Action, Event};

/// Decides. Owned by the control thread.
pub trait ControlCore: Send {
    /// Handles one event at `now` and adds what follows to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// When it wants a tick at the latest.
    fn next_wakeup(&self) -> Option<Time>;

    /// How it sees itself and its peers.
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
