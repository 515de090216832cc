//! Slow start: limits the request rate of cold upstreams over all daemons.

use super::{contention::hash_ratio, dispatcher::Dispatcher};
use crate::{
    fleet::Upstream,
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::{HashMap, VecDeque};

/// Length of the sliding window in which requests are counted.
pub(super) const RECENT_SPAN_MS: Millis = Millis::new(1_000);

/// Counts the requests that all daemons sent to each upstream in the last second.
#[derive(Debug, Default)]
pub struct SlowStartLimiter {
    sent: HashMap<UpstreamId, VecDeque<Time>>,
}

impl SlowStartLimiter {
    /// Records a request that this daemon or a peer sent.
    pub fn on_sent(&mut self, now: Time, upstream: &UpstreamId) {
        let times = self.sent.entry(upstream.clone()).or_default();
        while times
            .front()
            .is_some_and(|time| now.since(*time) >= RECENT_SPAN_MS)
        {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Number of requests sent to an upstream in the last second.
    pub fn recent_len(&self, now: Time, upstream: &UpstreamId) -> usize {
        let recent = |time: &&Time| now.since(**time) < RECENT_SPAN_MS;
        let times = self.sent.get(upstream);
        times.map_or(0, |times| times.iter().rev().take_while(recent).count())
    }

    /// Number of requests that may still go to an upstream now if it takes `max_len` requests a second.
    pub fn remaining_len(&self, now: Time, upstream: &UpstreamId, max_len: usize) -> usize {
        max_len.saturating_sub(self.recent_len(now, upstream))
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.sent.remove(upstream);
    }
}

impl Dispatcher {
    /// Number of requests that may go to an upstream now, by its rate while it is cold. The daemons that hear each other
    /// use their share of it together.
    pub(super) fn cold_left_len(&self, now: Time, cold_per_s: f64, upstream: &Upstream) -> usize {
        if now >= upstream.cold_until || cold_per_s <= 0.0 {
            return usize::MAX;
        }
        // What the process before this one and its peers have just sent is not known.
        if now < Time::START + RECENT_SPAN_MS {
            return 0;
        }
        let id = &upstream.record.id;
        let share_per_s = cold_per_s * self.heard_share_ratio();
        let max_len = if share_per_s < 1.0 {
            let second_index = now.since(Time::START).get() / RECENT_SPAN_MS.get();
            let drawn = hash_ratio(&format!("{}\n{id}\n{second_index}", self.vm));
            usize::from(drawn < share_per_s)
        } else {
            share_per_s as usize
        };
        self.slow_start.remaining_len(now, id, max_len)
    }
}
