//! Prefill work that an engine has been granted and has probably not done yet.

use crate::{
    request::LengthClass,
    units::{Millis, Time},
};

/// Share of an engine that shorter prompts may take from a longer one in prefill.
const PREEMPT_PERCENT: u64 = 50;
/// Prefill time by which shorter prompts may be ahead of that share, in microseconds.
const PREEMPT_BURST_US: u64 = 200_000;

/// Prefill work by class: an engine does the shorter class first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    left_us: [u64; LengthClass::ALL.len()],
    preempted_us: u64,
    at: Time,
}

impl Backlog {
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

    /// Time until the work of this class and of shorter ones is done.
    pub(super) fn ahead(&self, now: Time, class: LengthClass) -> Millis {
        let left = self.settled(now).left_us;
        Millis::new(left[..=class as usize].iter().sum::<u64>() / 1_000)
    }

    /// Time until all work is done.
    pub(super) fn all(&self, now: Time) -> Millis {
        self.ahead(now, LengthClass::Huge)
    }

    /// Whether a request of this class may go before the longer ones that are in prefill.
    pub(super) fn may_preempt(&self, now: Time, class: LengthClass) -> bool {
        let settled = self.settled(now);
        let longer_us: u64 = settled.left_us[class as usize + 1..].iter().sum();
        longer_us == 0 || settled.preempted_us < PREEMPT_BURST_US
    }

    pub(super) fn add(&mut self, now: Time, class: LengthClass, span: Millis) {
        *self = self.settled(now);
        let longer_us: u64 = self.left_us[class as usize + 1..].iter().sum();
        if longer_us > 0 {
            self.preempted_us += span.get() * 1_000;
        }
        self.left_us[class as usize] += span.get() * 1_000;
    }

    /// Takes back the work of a request that ended before its first token.
    pub(super) fn take_back(&mut self, now: Time, class: LengthClass, span: Millis) {
        *self = self.settled(now);
        let left_us = &mut self.left_us[class as usize];
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
