//! Timers of the owner. Every waiting state has one.

use crate::{
    ids::{AttemptId, UpstreamId},
    units::Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// Purpose of a timer. A timer whose state has ended by the time it is due has no effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// Deadline of a queued request.
    Waiting(AttemptId),
    /// End of a grant's lease.
    LeaseExpiry(UpstreamId, AttemptId),
    /// Retry of an unanswered cancel.
    Cancel(UpstreamId, AttemptId),
    /// Next load poll.
    Poll(UpstreamId),
    /// End of the circuit breaker's open time, when a probe call is allowed.
    BreakerProbe(UpstreamId),
    /// Deadline of a group.
    Group(AttemptId),
    /// Next poll of cache events.
    PollCache(UpstreamId),
    /// End of the time in which outstanding grants are collected.
    Learning(UpstreamId),
    /// End of the grace period of a drained upstream.
    Drain(UpstreamId),
    /// Next pass over the queue.
    QueuePass,
    /// Next recomputation of the engines for long prompts.
    LongPromptEngines,
    /// End of the time for which a finished attempt is remembered.
    Finished(AttemptId),
}

/// Set timers, ordered by due time.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Time, Timer)>,
    replaceable: BTreeMap<Timer, Time>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// Sets a timer and removes the earlier one with the same purpose, if it was set by `replace`.
    pub(super) fn replace(&mut self, at: Time, timer: Timer) {
        if let Some(earlier) = self.replaceable.insert(timer.clone(), at) {
            self.due.remove(&(earlier, timer.clone()));
        }
        self.set(at, timer);
    }

    /// Whether a timer with this purpose is set.
    pub(super) fn is_set(&self, timer: &Timer) -> bool {
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
