//! The event queue of the simulation.

use persimmon_core::units::Time;
use std::collections::BTreeMap;

/// Items ordered by virtual time; items of the same time keep their insertion order.
#[derive(Debug)]
pub struct EventQueue<T> {
    items: BTreeMap<(Time, u64), T>,
    pushed_count: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            pushed_count: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an item that is due at `at`.
    pub fn push(&mut self, at: Time, item: T) {
        self.items.insert((at, self.pushed_count), item);
        self.pushed_count += 1;
    }

    /// Removes the earliest item that is due at `now`, with its time.
    pub fn pop_due(&mut self, now: Time) -> Option<(Time, T)> {
        let first = self.items.first_entry()?;
        if first.key().0 > now {
            return None;
        }
        let ((at, _), item) = first.remove_entry();
        Some((at, item))
    }
}
