//! Which upstreams fail, and for how long they get no work.

use crate::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::HashMap;

/// Weight of the newest answer in an upstream's failure rate.
const RATE_WEIGHT: f64 = 0.15;

/// First time without work after a failure that points at the whole upstream.
const REST_MS: Millis = Millis::new(300);

/// Longest time without work.
const REST_MAX_MS: Millis = Millis::new(4_000);

/// How an upstream fared of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Share of its answers that were failures, newest first in weight.
    pub failure_ratio: f64,
    /// It gets no work until then.
    pub rest_until: Option<Time>,
    rest_ms: Millis,
    told_until: Option<Time>,
    broken_at: Option<Time>,
}

impl Health {
    /// Whether it gets no work now.
    pub fn rests(&self, now: Time) -> bool {
        let until = self.rest_until.max(self.told_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether it has just failed.
    pub fn just_broke(&self, now: Time) -> bool {
        self.rests(now) && self.broken_at.is_some_and(|at| now < at + REST_MS)
    }
}

/// How all upstreams fared of late.
#[derive(Debug, Default)]
pub struct HealthTable {
    upstreams: HashMap<UpstreamId, Health>,
}

impl HealthTable {
    /// How an upstream fared.
    pub fn get(&self, upstream: &UpstreamId) -> Health {
        self.upstreams.get(upstream).copied().unwrap_or_default()
    }

    /// It answered well.
    pub fn on_success(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.failure_ratio *= 1.0 - RATE_WEIGHT;
            health.rest_ms = Millis::ZERO;
        }
    }

    /// It answered a peer: what peers told of its failures is over.
    pub fn on_peer_success(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.told_until = None;
            health.rest_ms = Millis::ZERO;
        }
    }

    /// One of its answers was a failure.
    pub fn on_failure(&mut self, upstream: &UpstreamId) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        health.failure_ratio += (1.0 - health.failure_ratio) * RATE_WEIGHT;
    }

    /// It broke off, was silent or could not be reached: it rests, longer with each time in a row,
    /// here or at a peer.
    pub fn on_broken(&mut self, now: Time, upstream: &UpstreamId) -> Millis {
        self.on_failure(upstream);
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let rest_ms = Millis::new(health.rest_ms.get() * 2);
        let rest_ms = rest_ms.max(REST_MS).min(REST_MAX_MS);
        health.rest_ms = rest_ms;
        health.broken_at = Some(now);
        health.rest_until = Some(now + rest_ms);
        rest_ms
    }

    /// A peer saw it fail.
    pub fn on_peer_rest(&mut self, now: Time, upstream: &UpstreamId, for_ms: Millis) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let for_ms = for_ms.min(REST_MAX_MS);
        health.told_until = health.told_until.max(Some(now + for_ms));
        health.broken_at = Some(now);
        health.rest_ms = health.rest_ms.max(for_ms);
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}
