//! Outlier ejection: failure rates of upstreams, and for how long a failed one gets no requests.

use crate::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::HashMap;

/// Weight of the newest answer in an upstream's failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.15;

/// Duration of the first ejection after a failure that concerns the whole upstream.
const EJECTION_MIN_MS: Millis = Millis::new(300);

/// Longest ejection: repeated failures double the duration up to this value.
const EJECTION_MAX_MS: Millis = Millis::new(4_000);

/// Time for which the first request after an ejection has the upstream to itself, unless the upstream
/// answers or fails before. It covers the connection timeout and the report of an answer to peers.
const TRIAL_MS: Millis = Millis::new(1_000);

/// Recent failures of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Exponentially weighted share of the upstream's answers that were failures, from 0 to 1.
    pub failure_ratio: f64,
    /// End of the ejection that this daemon decided on.
    pub ejected_until: Option<Time>,
    ejection_ms: Millis,
    peer_ejected_until: Option<Time>,
    failed_at: Option<Time>,
    trial_until: Option<Time>,
    /// Whether the last ejection was because the upstream could not be reached.
    unreachable: bool,
}

impl Health {
    /// Whether the upstream gets no requests now, by decision of this daemon or of a peer.
    pub fn is_ejected(&self, now: Time) -> bool {
        let until = self.ejected_until.max(self.peer_ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether the upstream could not be reached and has answered nobody since. One that was only silent
    /// may be slow, and trying it with one request at a time would waste it.
    pub fn is_suspect(&self) -> bool {
        self.unreachable && self.ejection_ms > Millis::ZERO
    }

    /// Whether a request is under way that tells if an upstream answers again after its ejection. Others
    /// go elsewhere until then.
    pub fn is_on_trial(&self, now: Time) -> bool {
        self.is_suspect() && self.trial_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream is ejected and its last failure is within the shortest ejection.
    pub fn failed_recently(&self, now: Time) -> bool {
        self.is_ejected(now) && self.failed_at.is_some_and(|at| now < at + EJECTION_MIN_MS)
    }
}

/// Recent failures of all upstreams.
#[derive(Debug, Default)]
pub struct HealthTable {
    upstreams: HashMap<UpstreamId, Health>,
}

impl HealthTable {
    /// Recent failures of an upstream.
    pub fn get(&self, upstream: &UpstreamId) -> Health {
        self.upstreams.get(upstream).copied().unwrap_or_default()
    }

    /// Records a successful answer.
    pub fn on_success(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.failure_ratio *= 1.0 - FAILURE_EWMA_WEIGHT;
        }
        self.on_answer(upstream);
    }

    /// Records that an upstream answers, whether with success or not.
    pub fn on_answer(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.ejection_ms = Millis::ZERO;
        }
    }

    /// Records a request to an upstream, of this daemon or of a peer. The first one after an ejection is
    /// the trial; it ends in time whatever else is sent.
    pub fn on_sent(&mut self, now: Time, upstream: &UpstreamId) {
        let health = self.upstreams.get_mut(upstream);
        if let Some(health) = health.filter(|health| health.is_suspect()) {
            health.trial_until.get_or_insert(now + TRIAL_MS);
        }
    }

    /// Records that the upstream answered a peer, which ends the ejection that peers reported.
    pub fn on_peer_success(&mut self, upstream: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            health.peer_ejected_until = None;
            health.ejection_ms = Millis::ZERO;
        }
    }

    /// Records a failed answer.
    pub fn on_failure(&mut self, upstream: &UpstreamId) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        health.failure_ratio += (1.0 - health.failure_ratio) * FAILURE_EWMA_WEIGHT;
    }

    /// Ejects an upstream that broke a connection, was silent or could not be reached, and returns
    /// the duration. It doubles with each consecutive failure, here or at a peer.
    pub fn eject(&mut self, now: Time, upstream: &UpstreamId, unreachable: bool) -> Millis {
        self.on_failure(upstream);
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let ejection_ms = Millis::new(health.ejection_ms.get() * 2);
        let ejection_ms = ejection_ms.max(EJECTION_MIN_MS).min(EJECTION_MAX_MS);
        health.ejection_ms = ejection_ms;
        health.failed_at = Some(now);
        health.ejected_until = Some(now + ejection_ms);
        health.unreachable = unreachable;
        health.trial_until = None;
        ejection_ms
    }

    /// Undoes this daemon's last ejection of an upstream that turned out to be sound.
    pub fn lift_ejection(&mut self, upstream: &UpstreamId) {
        let health = self.upstreams.get_mut(upstream);
        if let Some(health) = health.filter(|health| health.ejected_until.is_some()) {
            health.ejected_until = None;
            let before_ratio =
                (health.failure_ratio - FAILURE_EWMA_WEIGHT) / (1.0 - FAILURE_EWMA_WEIGHT);
            health.failure_ratio = before_ratio.max(0.0);
            health.ejection_ms = Millis::ZERO;
            health.trial_until = None;
        }
    }

    /// Prolongs the ejection of an upstream that has answered nobody since it was ejected.
    pub fn prolong_ejection(&mut self, now: Time, upstream: &UpstreamId, for_ms: Millis) {
        let health = self.upstreams.get_mut(upstream);
        if let Some(health) = health.filter(|health| health.is_suspect()) {
            health.ejected_until = health.ejected_until.max(Some(now + for_ms));
        }
    }

    /// Records that a peer ejected the upstream for `for_ms`.
    pub fn on_peer_ejection(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        for_ms: Millis,
        unreachable: bool,
    ) {
        let health = self.upstreams.entry(upstream.clone()).or_default();
        let for_ms = for_ms.min(EJECTION_MAX_MS);
        health.peer_ejected_until = health.peer_ejected_until.max(Some(now + for_ms));
        health.failed_at = Some(now);
        health.unreachable = unreachable;
        health.trial_until = None;
        health.ejection_ms = health.ejection_ms.max(for_ms);
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}
