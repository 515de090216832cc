//! The rate of requests that cold upstreams bear, shared by all daemons.

use crate::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::{HashMap, VecDeque};

/// Span that counts as recent.
pub(super) const RECENT_SPAN_MS: Millis = Millis::new(1_000);

/// Counts what all daemons sent to each upstream in the last second.
#[derive(Debug, Default)]
pub struct SlowStartLimiter {
    sent: HashMap<UpstreamId, VecDeque<Time>>,
}

impl SlowStartLimiter {
    /// A daemon sent a request.
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

    /// Requests sent to an upstream in the last second.
    pub fn recent_len(&self, now: Time, upstream: &UpstreamId) -> usize {
        let recent = |time: &&Time| now.since(**time) < RECENT_SPAN_MS;
        let times = self.sent.get(upstream);
        times.map_or(0, |times| times.iter().rev().take_while(recent).count())
    }

    /// Requests that an upstream which bears `per_s` may still get now.
    pub fn remaining_len(&self, now: Time, upstream: &UpstreamId, per_s: f64) -> usize {
        (per_s as usize).saturating_sub(self.recent_len(now, upstream))
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.sent.remove(upstream);
    }
}
