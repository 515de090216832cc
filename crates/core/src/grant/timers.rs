//! Timers of the owner: every state that waits has one.

use crate::{
    ids::{AttemptId, UpstreamId},
    units::Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// What a timer is for. A timer that is due for a state that has passed does nothing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// The deadline of a waiting request.
    Waiting(AttemptId),
    /// The end of a grant's lease.
    LeaseExpiry(UpstreamId, AttemptId),
    /// An unanswered cancel.
    Cancel(UpstreamId, AttemptId),
    /// The next load poll.
    Poll(UpstreamId),
    /// The end of a break after a failure.
    BreakerProbe(UpstreamId),
    /// The end of a group's time.
    Group(AttemptId),
    /// The next poll of cache events.
    PollCache(UpstreamId),
    /// The end of collecting outstanding grants.
    Learning(UpstreamId),
    /// The end of the grace of a drained upstream.
    Drain(UpstreamId),
    /// The next pass over the queue.
    QueuePass,
    /// The engines for long prompts are agreed anew.
    LongPromptEngines,
    /// A finished attempt may be forgotten.
    Finished(AttemptId),
}

/// Timers in the order of their times.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Time, Timer)>,
    replaceable: BTreeMap<Timer, Time>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// Sets a timer of which there is at most one: an earlier one for the same is taken back.
    pub(super) fn replace(&mut self, at: Time, timer: Timer) {
        if let Some(earlier) = self.replaceable.insert(timer.clone(), at) {
            self.due.remove(&(earlier, timer.clone()));
        }
        self.set(at, timer);
    }

    /// Whether a timer is set.
    pub(super) fn contains(&self, timer: &Timer) -> bool {
        self.due.iter().any(|(_, set)| set == timer)
    }

    pub(super) fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(super) fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        let (at, timer) = self.due.pop_first()?;
        if self.replaceable.get(&timer) == Some(&at) {
            self.replaceable.remove(&timer);
        }
        Some(timer)
    }
}
