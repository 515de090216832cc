//! Estimate of the prefill work that an engine has been granted and has not finished.

use super::priority_level::PriorityLevel;
use crate::units::{Millis, Time};

/// Share of an engine's time for which shorter prompts may preempt the prefill of a longer one.
const PREEMPT_PERCENT: u64 = 50;
/// Prefill time by which shorter prompts may exceed that share in a burst, in microseconds.
const PREEMPT_BURST_US: u64 = 200_000;

/// Unfinished prefill work by priority level. An engine works off lower levels first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillBacklog {
    remaining_us: [u64; PriorityLevel::COUNT],
    preempted_us: u64,
    updated_at: Time,
}

impl PrefillBacklog {
    /// The backlog at `now`, with the work since the last update subtracted.
    fn advanced_to(&self, now: Time) -> Self {
        let mut next = *self;
        let mut spare_us = now.as_us().saturating_sub(self.updated_at.as_us());
        let refill_us = spare_us * PREEMPT_PERCENT / 100;
        next.preempted_us = next.preempted_us.saturating_sub(refill_us);
        for remaining_us in &mut next.remaining_us {
            let done_us = spare_us.min(*remaining_us);
            *remaining_us -= done_us;
            spare_us -= done_us;
        }
        next.updated_at = next.updated_at.max(now);
        next
    }

    /// Expected time until the work of this level and of all lower ones is done.
    pub(super) fn wait_for(&self, now: Time, level: PriorityLevel) -> Millis {
        let by_level_us = self.advanced_to(now).remaining_us;
        Millis::new(by_level_us[..=level as usize].iter().sum::<u64>() / 1_000)
    }

    /// Expected time until all work is done.
    pub(super) fn total(&self, now: Time) -> Millis {
        self.wait_for(now, PriorityLevel::Huge)
    }

    fn longer_prompts_us(&self, level: PriorityLevel) -> u64 {
        let first = (level as usize + 1).max(PriorityLevel::Long as usize);
        self.remaining_us[first..].iter().sum()
    }

    /// Whether a request of this level may preempt the long prompts in prefill.
    pub(super) fn may_preempt(&self, now: Time, level: PriorityLevel) -> bool {
        let current = self.advanced_to(now);
        current.longer_prompts_us(level) == 0 || current.preempted_us < PREEMPT_BURST_US
    }

    pub(super) fn add(&mut self, now: Time, level: PriorityLevel, span: Millis) {
        *self = self.advanced_to(now);
        if self.longer_prompts_us(level) > 0 {
            self.preempted_us += span.get() * 1_000;
        }
        self.remaining_us[level as usize] += span.get() * 1_000;
    }

    /// Removes the work of a request that ended before its first token.
    pub(super) fn remove_work(&mut self, now: Time, level: PriorityLevel, span: Millis) {
        *self = self.advanced_to(now);
        let remaining_us = &mut self.remaining_us[level as usize];
        *remaining_us = remaining_us.saturating_sub(span.get() * 1_000);
    }

    /// Removes all work, as when the engine is idle or has restarted.
    pub(super) fn clear(&mut self, now: Time) {
        *self = Self {
            updated_at: now,
            ..Self::default()
        };
    }
}
