//! Which upstreams fail, and for how long they get no work.

use crate::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::HashMap;

/// Weight of the newest answer in an upstream's failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.15;

/// First time without work after a failure that points at the whole upstream.
const EJECTION_MIN_MS: Millis = Millis::new(300);

/// Longest time without work.
const EJECTION_MAX_MS: Millis = Millis::new(4_000);

/// How an upstream fared of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Share of its answers that were failures, newest first in weight.
    pub failure_ratio: f64,
    /// It gets no work until then.
    pub ejected_until: Option<Time>,
    ejection_ms: Millis,
    peer_ejected_until: Option<Time>,
    failed_at: Option<Time>,
}

impl Health {
    /// Whether it gets no work now.
    pub fn is_ejected(&self, now: Time) -> bool {
        let until = self.ejected_until.max(self.peer_ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether it has just failed.
    pub fn failed_just_now(&self, now: Time) -> bool {
        self.is_ejected(now) && self.failed_at.is_some_and(|at| now < at + EJECTION_MIN_MS)
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
            health.failure_ratio *= 1.0 - FAILURE_EWMA_WEIGHT;
            health.ejection_ms = Millis::ZERO;
        }
    }

    /// It answered a peer: what peers told of its failures is over.
    pub fn on_peer_success(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.peer_ejected_until = None;
            health.ejection_ms = Millis::ZERO;
        }
    }

    /// One of its answers was a failure.
    pub fn on_failure(&mut self, upstream: &UpstreamId) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        health.failure_ratio += (1.0 - health.failure_ratio) * FAILURE_EWMA_WEIGHT;
    }

    /// It broke off, was silent or could not be reached: it rests, longer with each time in a row,
    /// here or at a peer.
    pub fn eject(&mut self, now: Time, upstream: &UpstreamId) -> Millis {
        self.on_failure(upstream);
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let ejection_ms = Millis::new(health.ejection_ms.get() * 2);
        let ejection_ms = ejection_ms.max(EJECTION_MIN_MS).min(EJECTION_MAX_MS);
        health.ejection_ms = ejection_ms;
        health.failed_at = Some(now);
        health.ejected_until = Some(now + ejection_ms);
        ejection_ms
    }

    /// A peer saw it fail.
    pub fn on_peer_ejection(&mut self, now: Time, upstream: &UpstreamId, for_ms: Millis) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let for_ms = for_ms.min(EJECTION_MAX_MS);
        health.peer_ejected_until = health.peer_ejected_until.max(Some(now + for_ms));
        health.failed_at = Some(now);
        health.ejection_ms = health.ejection_ms.max(for_ms);
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}
