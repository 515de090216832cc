//! Pace of a daemon's looks at the store: regular, and with growing jittered gaps while it is down.

use super::ConfigSettings;
use crate::{
    units::{Millis, Time},
    Context,
};
use rand::RngExt;

/// When the store is asked next.
#[derive(Debug, Default)]
pub(super) struct Pace {
    due: Time,
    failures_count: u32,
}

impl Pace {
    pub(super) fn due(&self) -> Time {
        self.due
    }

    pub(super) fn reachable(&self) -> bool {
        self.failures_count == 0
    }

    /// Asks at once.
    pub(super) fn hurry(&mut self, now: Time) {
        self.due = now;
    }

    /// It is not this daemon's turn.
    pub(super) fn postpone(&mut self, now: Time, settings: &ConfigSettings) {
        self.due = now + settings.poll();
    }

    /// The store answered.
    pub(super) fn succeed(&mut self, ctx: &mut Context<'_>, settings: &ConfigSettings) {
        self.failures_count = 0;
        let poll_ms = settings.poll().get();
        let gap_ms = ctx.rng.random_range(poll_ms * 9 / 10..=poll_ms * 11 / 10);
        self.due = ctx.now + Millis::new(gap_ms);
    }

    /// The store did not answer: the next look is at a random time within a doubled gap.
    pub(super) fn fail(&mut self, ctx: &mut Context<'_>, settings: &ConfigSettings) {
        self.failures_count = self.failures_count.saturating_add(1);
        let poll_ms = settings.poll().get();
        let grown_ms = poll_ms.saturating_mul(1 << self.failures_count.min(16));
        let most_ms = grown_ms.min(settings.backoff_max().get());
        let gap_ms = ctx.rng.random_range(poll_ms..=most_ms.max(poll_ms));
        self.due = ctx.now + Millis::new(gap_ms);
    }
}
