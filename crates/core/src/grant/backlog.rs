//! Prefill work that an engine has been granted and has probably not done yet.

use super::priority_level::PriorityLevel;
use crate::units::{Millis, Time};

/// Share of an engine that shorter prompts may take from a longer one in prefill.
const PREEMPT_PERCENT: u64 = 50;
/// Prefill time by which shorter prompts may be ahead of that share, in microseconds.
const PREEMPT_BURST_US: u64 = 200_000;

/// Prefill work by level: an engine does the lower level first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillBacklog {
    left_us: [u64; PriorityLevel::COUNT],
    preempted_us: u64,
    at: Time,
}

impl PrefillBacklog {
    /// The work left at `now`.
    fn settled(&self, now: Time) -> Self {
        let mut next = *self;
        let mut spare_us = now.as_us().saturating_sub(self.at.as_us());
        let refill_us = spare_us * PREEMPT_PERCENT / 100;
        next.preempted_us = next.preempted_us.saturating_sub(refill_us);
        for left_us in &mut next.left_us {
            let done_us = spare_us.min(*left_us);
            *left_us -= done_us;
            spare_us -= done_us;
        }
        next.at = next.at.max(now);
        next
    }

    /// Time until the work of this level and of lower ones is done.
    pub(super) fn wait_for(&self, now: Time, level: PriorityLevel) -> Millis {
        let left = self.settled(now).left_us;
        Millis::new(left[..=level as usize].iter().sum::<u64>() / 1_000)
    }

    /// Time until all work is done.
    pub(super) fn all(&self, now: Time) -> Millis {
        self.wait_for(now, PriorityLevel::Huge)
    }

    fn long_us_after(&self, level: PriorityLevel) -> u64 {
        let first = (level as usize + 1).max(PriorityLevel::Long as usize);
        self.left_us[first..].iter().sum()
    }

    /// Whether a request of this level may go before the long prompts that are in prefill.
    pub(super) fn may_preempt(&self, now: Time, level: PriorityLevel) -> bool {
        let settled = self.settled(now);
        settled.long_us_after(level) == 0 || settled.preempted_us < PREEMPT_BURST_US
    }

    pub(super) fn add(&mut self, now: Time, level: PriorityLevel, span: Millis) {
        *self = self.settled(now);
        if self.long_us_after(level) > 0 {
            self.preempted_us += span.get() * 1_000;
        }
        self.left_us[level as usize] += span.get() * 1_000;
    }

    /// Takes back the work of a request that ended before its first token.
    pub(super) fn remove(&mut self, now: Time, level: PriorityLevel, span: Millis) {
        *self = self.settled(now);
        let left_us = &mut self.left_us[level as usize];
        *left_us = left_us.saturating_sub(span.get() * 1_000);
    }

    /// The engine is empty.
    pub(super) fn clear(&mut self, now: Time) {
        *self = Self {
            at: now,
            ..Self::default()
        };
    }
}
