//! Slow start: limits the request rate of cold upstreams over all daemons.

use crate::{
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

    /// Number of requests that may still go to an upstream now if it takes `per_s` requests a second.
    pub fn remaining_len(&self, now: Time, upstream: &UpstreamId, per_s: f64) -> usize {
        (per_s as usize).saturating_sub(self.recent_len(now, upstream))
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.sent.remove(upstream);
    }
}
