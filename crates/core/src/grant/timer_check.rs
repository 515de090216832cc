//! Consistency check for tests: every waiting state has a timer.

use super::{account::GrantState, owner::Owner, timers::Timer};

impl Owner {
    /// Descriptions of the states that wait for something and have no timer set. Always empty
    /// unless the owner has a fault that would leave such a state waiting for ever.
    pub fn states_without_timer(&self) -> Vec<String> {
        let mut required = Vec::new();
        let waiting = self.queue.iter().map(|w| w.request.attempt);
        required.extend(waiting.map(Timer::Waiting));
        for (upstream, account) in &self.accounts {
            required.push(Timer::Poll(upstream.clone()));
            if account.is_engine() {
                required.push(Timer::PollCache(upstream.clone()));
            }
            for (attempt, active) in account.active_grants() {
                required.push(match active.state {
                    GrantState::Cancelling(_) => Timer::Cancel(upstream.clone(), *attempt),
                    GrantState::Running if self.groups.contains(attempt) => Timer::Group(*attempt),
                    GrantState::Running => Timer::LeaseExpiry(upstream.clone(), *attempt),
                });
            }
        }
        let missing = required
            .into_iter()
            .filter(|timer| !self.timers.is_set(timer));
        missing.map(|timer| format!("{timer:?}")).collect()
    }
}
