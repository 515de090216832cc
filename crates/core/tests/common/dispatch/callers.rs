//! Callers who are refused: they return once when told to, if that is within a third of the time that they have
//! left. Some of them also repeat at once, three times as often.

use std::collections::BTreeSet;

/// Largest part of its time left for which a caller waits.
const HONOURED_PART: u64 = 3;

/// Time from a refusal to a repeat by a caller who does not wait.
const AT_ONCE_MS: u64 = 5;

/// Time between its repeats if it was told no time.
const REPEAT_MS: u64 = 100;

/// A repeat that was taken and waited until this time before its promised one counts as a return.
const LEAD_MS: u64 = 100;

/// Difference between two times told that goes back to whole milliseconds and the way of messages.
const SAME_TIME_MS: u64 = 8;

/// One try of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The same for each try.
    pub(crate) content: u64,
    /// When the caller was told to return.
    pub(crate) told_at: Option<u64>,
    pub(crate) is_early: bool,
}

impl Attempt {
    pub(crate) const fn first(content: u64) -> Self {
        Self {
            content,
            told_at: None,
            is_early: false,
        }
    }
}

pub(crate) struct Repeat {
    at: u64,
    /// The last refused request of the caller.
    pub(crate) last: u64,
    pub(crate) attempt: Attempt,
}

pub(crate) struct Refused {
    pub(crate) tag: u64,
    pub(crate) attempt: Attempt,
    pub(crate) left_ms: u64,
    pub(crate) retry_ms: Option<u64>,
    /// Free slots that were kept for nobody.
    pub(crate) spare_slots_len: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReturnTally {
    /// Callers who were refused.
    pub(crate) refused: u32,
    /// Those who were told a time that they honour.
    pub(crate) told: u32,
    /// Those who were refused when they returned at that time.
    pub(crate) refused_again: u32,
    /// Refused repeats before that time.
    pub(crate) early: u32,
    /// Those of them that were told another time.
    pub(crate) early_told_other: u32,
    /// Refusals while slots were free that were kept for nobody.
    pub(crate) idle: u32,
}

#[derive(Default)]
pub(crate) struct Callers {
    /// Part of the callers who repeat at once; none if no caller returns.
    pub(crate) impatient_ratio: Option<f64>,
    pub(crate) tally: ReturnTally,
    due: Vec<Repeat>,
    /// Callers whose last request was refused.
    refused: BTreeSet<u64>,
}

impl Callers {
    pub(crate) fn take_due(&mut self, now: u64) -> Vec<Repeat> {
        let due = std::mem::take(&mut self.due);
        let (due, later) = due.into_iter().partition(|repeat| repeat.at <= now);
        self.due = later;
        due
    }

    pub(crate) fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Whether a caller has no request in progress or served.
    pub(crate) fn is_refused(&self, content: u64) -> bool {
        self.refused.contains(&content)
    }

    pub(crate) fn on_asked(&mut self, content: u64) {
        self.refused.remove(&content);
    }

    /// Returns whether the caller gives up.
    pub(crate) fn on_refused(&mut self, now: u64, drawn: f64, refused: Refused) -> bool {
        let Some(impatient_ratio) = self.impatient_ratio else {
            return true;
        };
        let attempt = refused.attempt;
        self.refused.insert(attempt.content);
        self.tally.idle += u32::from(refused.spare_slots_len > 0);
        let told_at = refused.retry_ms.map(|ms| now + ms);
        let is_due = attempt.told_at.is_some_and(|at| at <= now + LEAD_MS);
        if attempt.is_early && !is_due {
            self.tally.early += 1;
            let is_same = told_at.zip(attempt.told_at);
            let is_same = is_same.is_some_and(|(now, then)| now.abs_diff(then) <= SAME_TIME_MS);
            self.tally.early_told_other += u32::from(!is_same);
            return false;
        }
        if attempt.told_at.is_some() {
            self.tally.refused_again += 1;
            return true;
        }
        self.tally.refused += 1;
        let honoured = refused
            .retry_ms
            .filter(|ms| ms * HONOURED_PART <= refused.left_ms);
        let mut repeat = |at, is_early| {
            self.due.push(Repeat {
                at,
                last: refused.tag,
                attempt: Attempt {
                    told_at,
                    is_early,
                    ..attempt
                },
            });
        };
        if drawn < impatient_ratio {
            let pause_ms = honoured.map_or(REPEAT_MS, |ms| ms / 3);
            (0..3).for_each(|count| repeat(now + AT_ONCE_MS + count * pause_ms, true));
        }
        if let Some(ms) = honoured {
            self.tally.told += 1;
            repeat(now + ms, false);
        }
        honoured.is_none()
    }
}
