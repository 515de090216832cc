//! The border to the core.

use persimmon_core::{units::Time, Action, Event};

/// Decides. Owned by the control thread.
pub trait ControlCore: Send {
    /// Handles one event at `now` and adds what follows to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// When it wants a tick at the latest.
    fn next_wakeup(&self) -> Option<Time>;
}
