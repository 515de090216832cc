//! The rate of requests that cold upstreams bear, shared by all daemons.

use crate::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::{HashMap, VecDeque};

/// Window of the rate.
const WINDOW_MS: Millis = Millis::new(1_000);

/// Part of the rate that is left to each peer, for what it decides in the same moment (users' bench: up to
/// 15 requests too many among 62 daemons, where 13 are allowed).
const PEER_MARGIN_RATIO: f64 = 0.003;

/// Most that is left to them.
const MARGIN_MAX_RATIO: f64 = 0.5;

/// Counts what all daemons sent to each upstream in the last second.
#[derive(Debug, Default)]
pub struct ColdRates {
    sent: HashMap<UpstreamId, VecDeque<Time>>,
}

impl ColdRates {
    /// A daemon sent a request.
    pub fn on_sent(&mut self, now: Time, upstream: &UpstreamId) {
        let times = self.sent.entry(upstream.clone()).or_default();
        while times
            .front()
            .is_some_and(|time| now.since(*time) >= WINDOW_MS)
        {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Requests sent to an upstream in the last second.
    pub fn recent_len(&self, now: Time, upstream: &UpstreamId) -> usize {
        let recent = |time: &&Time| now.since(**time) < WINDOW_MS;
        let times = self.sent.get(upstream);
        times.map_or(0, |times| times.iter().rev().take_while(recent).count())
    }

    /// Whether an upstream that bears `per_s` has had what `members_len` daemons may send it together.
    pub fn is_full(
        &self,
        now: Time,
        upstream: &UpstreamId,
        per_s: f64,
        members_len: usize,
    ) -> bool {
        let peers_len = members_len.saturating_sub(1) as f64;
        let margin_ratio = (PEER_MARGIN_RATIO * peers_len).min(MARGIN_MAX_RATIO);
        let limit = (per_s * (1.0 - margin_ratio)).max(1.0);
        self.recent_len(now, upstream) as f64 + 1.0 > limit
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.sent.remove(upstream);
    }
}
