//! Schedule on which a daemon polls the store: regular with jitter, and with exponential backoff
//! while the store is down.

use super::ConfigSettings;
use crate::{
    units::{Millis, Time},
    Context,
};
use rand::RngExt;

/// Determines when the daemon polls the store next.
#[derive(Debug, Default)]
pub(super) struct PollSchedule {
    due: Time,
    started: bool,
    failures_count: u32,
}

impl PollSchedule {
    pub(super) fn due(&self) -> Time {
        self.due
    }

    pub(super) fn reachable(&self) -> bool {
        self.failures_count == 0
    }

    /// Schedules the first poll at a random time within one poll interval, so that daemons which
    /// start together do not poll the store together.
    pub(super) fn start(&mut self, ctx: &mut Context<'_>, settings: &ConfigSettings) {
        if !self.started {
            self.started = true;
            let delay_ms = ctx.rng.random_range(0..settings.poll_interval().get());
            self.due = ctx.now + Millis::new(delay_ms);
        }
    }

    /// Makes the next poll due at once.
    pub(super) fn poll_now(&mut self, now: Time) {
        self.due = now;
    }

    /// Skips one poll interval: other daemons of the failure domain poll.
    pub(super) fn skip(&mut self, now: Time, settings: &ConfigSettings) {
        self.due = now + settings.poll_interval();
    }

    /// Schedules the next poll after an answer, at the poll interval with 10 % jitter.
    pub(super) fn record_success(&mut self, ctx: &mut Context<'_>, settings: &ConfigSettings) {
        self.failures_count = 0;
        let poll_ms = settings.poll_interval().get();
        let delay_ms = ctx.rng.random_range(poll_ms * 9 / 10..=poll_ms * 11 / 10);
        self.due = ctx.now + Millis::new(delay_ms);
    }

    /// Schedules the next poll after a failure: the bound on the random delay doubles with each
    /// failure, up to the configured maximum.
    pub(super) fn record_failure(&mut self, ctx: &mut Context<'_>, settings: &ConfigSettings) {
        self.failures_count = self.failures_count.saturating_add(1);
        let poll_ms = settings.poll_interval().get();
        let backoff_ms = poll_ms.saturating_mul(1 << self.failures_count.min(16));
        let max_delay_ms = backoff_ms.min(settings.max_backoff().get());
        let delay_ms = ctx.rng.random_range(poll_ms..=max_delay_ms.max(poll_ms));
        self.due = ctx.now + Millis::new(delay_ms);
    }
}
