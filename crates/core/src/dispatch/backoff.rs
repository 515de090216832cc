//! Backoff of upstreams that shed load: an upstream that turns a request away may state when it wants
//! requests again. Until then it counts as full, not as faulty, at this daemon and at its peers. While
//! all upstreams of a service back off, a few requests are sent to learn whether one has room after all.

use super::{
    contention::hash_ratio,
    dispatcher::{Dispatcher, Out, Sending},
    DispatchMessage, DispatchRecord,
};
use crate::{
    fleet::{Upstream, UpstreamIncarnation},
    ids::{ServiceName, UpstreamId, VmId},
    units::{Millis, Time},
};
use std::{collections::HashMap, sync::Arc};

/// Longest backoff that is honoured. A longer one is taken for a mistake of the upstream.
const BACKOFF_MAX_MS: Millis = Millis::new(300_000);

/// Requests that the daemon that was turned away may send before the backoff ends, as the platform
/// allows.
const PROBES_LEN: u32 = 2;

/// Requests that all other daemons together may send before the backoff ends.
const PEER_PROBES_LEN: f64 = 2.0;

/// The backoff of one upstream.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Time,
    probes_left: u32,
    probe_interval_ms: Millis,
    next_probe_at: Time,
}

/// The upstreams that back off.
#[derive(Debug, Default)]
pub struct BackoffTable {
    upstreams: HashMap<UpstreamId, Backoff>,
}

impl BackoffTable {
    /// Remaining time of an upstream's backoff; zero if it takes requests.
    pub fn left_ms(&self, now: Time, upstream: &UpstreamId) -> Millis {
        let backoff = self.upstreams.get(upstream);
        backoff.map_or(Millis::ZERO, |backoff| backoff.until.since(now))
    }

    /// Whether an upstream gets no requests now, other than probes.
    pub fn is_active(&self, now: Time, upstream: &UpstreamId) -> bool {
        self.left_ms(now, upstream) > Millis::ZERO
    }

    /// Whether one request may be sent to an upstream although it backs off.
    pub fn may_probe(&self, now: Time, upstream: &UpstreamId) -> bool {
        let backoff = self.upstreams.get(upstream);
        backoff.is_some_and(|backoff| backoff.probes_left > 0 && backoff.next_probe_at <= now)
    }

    /// Starts a backoff or prolongs it. Probes that were sent in the running backoff stay counted.
    pub fn start(&mut self, now: Time, upstream: &UpstreamId, for_ms: Millis, probes_len: u32) {
        let for_ms = for_ms.min(BACKOFF_MAX_MS);
        let probe_interval_ms = Millis::new(for_ms.get() / u64::from(PROBES_LEN + 1));
        let running = self.upstreams.get(upstream).filter(|b| b.until > now);
        let backoff = Backoff {
            until: running
                .map_or(now, |running| running.until)
                .max(now + for_ms),
            probes_left: running.map_or(probes_len, |running| running.probes_left.min(probes_len)),
            probe_interval_ms,
            next_probe_at: now + probe_interval_ms,
        };
        self.upstreams.insert(upstream.clone(), backoff);
    }

    /// Records a request to an upstream.
    pub fn on_sent(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(backoff) = self.upstreams.get_mut(upstream) {
            backoff.probes_left = backoff.probes_left.saturating_sub(1);
            backoff.next_probe_at = now + backoff.probe_interval_ms;
        }
    }

    /// Removes an upstream that is gone or started again.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}

impl Dispatcher {
    /// Handles that an upstream turned a call of this daemon away for a time.
    pub(super) fn on_backoff_asked(
        &mut self,
        out: &mut Out<'_>,
        request: Arc<str>,
        sending: &Sending,
        for_ms: Millis,
    ) {
        let known = self.fleet.get(&sending.upstream);
        let Some(incarnation) = known.map(|known| known.record.incarnation()) else {
            return;
        };
        self.backoff
            .start(out.now, &incarnation.id, for_ms, PROBES_LEN);
        out.log(DispatchRecord::UpstreamBackoff {
            request: Some(request),
            upstream: incarnation.id.clone(),
            for_ms,
            reported_by: None,
        });
        let upstream = incarnation;
        self.notify_now(
            out.now,
            DispatchMessage::UpstreamBackoff { upstream, for_ms },
        );
    }

    /// Handles that an upstream asked a peer to back off. A few daemons, drawn by a hash, may still
    /// probe it.
    pub(super) fn on_peer_backoff(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        upstream: &UpstreamIncarnation,
        for_ms: Millis,
    ) {
        if !self.fleet.is_current(upstream) {
            return;
        }
        let drawn = hash_ratio(&format!("{}\n{}", self.vm, upstream.id));
        let probes_len = u32::from(drawn * (self.members_len() as f64) < PEER_PROBES_LEN);
        self.backoff
            .start(out.now, &upstream.id, for_ms, probes_len);
        out.log(DispatchRecord::UpstreamBackoff {
            request: None,
            upstream: upstream.id.clone(),
            for_ms,
            reported_by: Some(peer.clone()),
        });
    }

    /// Whether every upstream of a service backs off or is ejected.
    pub(super) fn all_back_off(&self, now: Time, service: &ServiceName) -> bool {
        self.fleet.usable(service).all(|upstream| {
            let id = &upstream.record.id;
            self.backoff.is_active(now, id) || self.health.get(id).is_ejected(now)
        })
    }

    /// Whether an upstream's backoff allows a request now. `probing` is set if no upstream of the
    /// service takes requests.
    pub(super) fn backoff_allows(&self, now: Time, upstream: &Upstream, probing: bool) -> bool {
        let id = &upstream.record.id;
        !self.backoff.is_active(now, id) || (probing && self.backoff.may_probe(now, id))
    }
}
