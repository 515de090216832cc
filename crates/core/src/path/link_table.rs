//! The state of this daemon's links to upstreams, as far as its connections show it.
//!
//! A link counts as lost only if a peer connects to the same upstream at the same time. Otherwise the upstream
//! may be down, which is for outlier ejection to handle.

use super::upstream_path::is_before;
use crate::{
    ids::{FailureDomain, UpstreamId},
    units::{Millis, Time},
};
use std::collections::{BTreeMap, HashMap};

/// Time for which a link that was lost once is not tried before relays. Doubles with each further loss soon after.
const AVOID_MIN_MS: Millis = Millis::new(1_000);

/// Longest time for which a link is avoided.
const AVOID_MAX_MS: Millis = Millis::new(8_000);

/// Time within which several lost links to one failure domain show that all links to it are lost.
const LOSSES_SPAN_MS: Millis = Millis::new(3_000);

/// Number of such links, if the domain has as many upstreams.
const LOSSES_MIN_LEN: usize = 2;

/// Least time between two checks of the link to an upstream that is silent.
const CHECK_INTERVAL_MS: Millis = Millis::new(150);

/// Time between two connections that test a lost domain.
const PROBE_INTERVAL_MS: Millis = Millis::new(500);

/// Number of successful tests in a row after which the links to a domain are used again.
const RESTORED_PROBES_LEN: usize = 2;

/// A link that was lost.
#[derive(Clone, Debug)]
struct Loss {
    domain: FailureDomain,
    hangs: bool,
    at: Time,
    avoid_until: Time,
    avoid_ms: Millis,
}

/// A failure domain to which all links are lost.
#[derive(Clone, Debug)]
struct LostDomain {
    hangs: bool,
    probe_at: Time,
    probes_count: usize,
    connected_len: usize,
}

/// A change in what is known of the links to a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// All links are lost.
    Lost,
    /// The links are back.
    Restored,
}

/// The links of this daemon to all upstreams.
#[derive(Debug, Default)]
pub struct LinkTable {
    losses: HashMap<UpstreamId, Loss>,
    lost_domains: BTreeMap<FailureDomain, LostDomain>,
    checked_at: HashMap<UpstreamId, Time>,
}

impl LinkTable {
    /// Whether the own link to a silent upstream is to be checked. The check counts as done.
    pub fn take_check(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let last = self.checked_at.get(upstream);
        let is_due = last.is_none_or(|at| now >= *at + CHECK_INTERVAL_MS);
        if is_due {
            self.checked_at.insert(upstream.clone(), now);
        }
        is_due
    }

    /// Whether relays are preferred to the own link to an upstream.
    pub fn is_lost(&self, now: Time, upstream: &UpstreamId, domain: &FailureDomain) -> bool {
        let loss = self.losses.get(upstream);
        self.lost_domains.contains_key(domain) || is_before(now, loss.map(|loss| loss.avoid_until))
    }

    /// The failure domains to which all links are lost.
    pub fn lost_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.lost_domains.keys()
    }

    /// Whether the own link to an upstream is lost so that open connections hang too, as far as is known.
    pub fn hangs(&self, now: Time, upstream: &UpstreamId, domain: &FailureDomain) -> bool {
        let loss = self.losses.get(upstream).filter(|loss| loss.hangs);
        let lost = self.lost_domains.get(domain);
        lost.is_some_and(|lost| lost.hangs) || is_before(now, loss.map(|loss| loss.avoid_until))
    }

    /// Whether failures to connect are evidence against upstreams: no link was lost lately.
    pub fn are_sound(&self, now: Time) -> bool {
        let mut losses = self.losses.values();
        self.lost_domains.is_empty() && losses.all(|loss| now >= loss.at + LOSSES_SPAN_MS)
    }

    /// Records that a peer connected to an upstream while this daemon could not: its connection hung or was
    /// refused. `upstreams_len` is the number of upstreams in the failure domain.
    pub fn on_lost(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        domain: &FailureDomain,
        hangs: bool,
        upstreams_len: usize,
    ) -> Option<LinkChange> {
        let last = self.losses.get(upstream);
        let last = last.filter(|loss| now < loss.avoid_until + LOSSES_SPAN_MS);
        let avoid_ms = last.map_or(AVOID_MIN_MS, |loss| {
            Millis::new(loss.avoid_ms.get() * 2).min(AVOID_MAX_MS)
        });
        let loss = Loss {
            domain: domain.clone(),
            hangs,
            at: now,
            avoid_until: now + avoid_ms,
            avoid_ms,
        };
        self.losses.insert(upstream.clone(), loss);
        if let Some(lost) = self.lost_domains.get_mut(domain) {
            lost.connected_len = 0;
            lost.hangs |= hangs;
            return None;
        }
        let of_domain = self.losses.values().filter(|loss| loss.domain == *domain);
        let recent_len = of_domain
            .filter(|loss| now < loss.at + LOSSES_SPAN_MS)
            .count();
        if recent_len < LOSSES_MIN_LEN.min(upstreams_len) {
            return None;
        }
        let lost = LostDomain {
            hangs,
            probe_at: now + PROBE_INTERVAL_MS,
            probes_count: 0,
            connected_len: 0,
        };
        self.lost_domains.insert(domain.clone(), lost);
        Some(LinkChange::Lost)
    }

    /// Records a connection on the own link.
    pub fn on_connected(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomain,
    ) -> Option<LinkChange> {
        self.losses.remove(upstream);
        let lost = self.lost_domains.get_mut(domain)?;
        lost.connected_len += 1;
        if lost.connected_len < RESTORED_PROBES_LEN {
            return None;
        }
        self.lost_domains.remove(domain);
        self.losses.retain(|_, loss| loss.domain != *domain);
        Some(LinkChange::Restored)
    }

    /// Records that a test of a lost domain failed.
    pub fn on_probe_failed(&mut self, domain: &FailureDomain) {
        if let Some(lost) = self.lost_domains.get_mut(domain) {
            lost.connected_len = 0;
        }
    }

    /// The lost failure domains that are due to be tested, each with the number of tests before. The tests
    /// count as done.
    pub fn take_probes(&mut self, now: Time) -> Vec<(FailureDomain, usize)> {
        let due = self
            .lost_domains
            .iter_mut()
            .filter(|(_, lost)| lost.probe_at <= now);
        let take = |(domain, lost): (&FailureDomain, &mut LostDomain)| {
            let count = lost.probes_count;
            lost.probes_count += 1;
            lost.probe_at = now + PROBE_INTERVAL_MS;
            (domain.clone(), count)
        };
        due.map(take).collect()
    }

    /// When the next test is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.lost_domains.values().map(|lost| lost.probe_at).min()
    }

    /// Forgets a failure domain that has no upstreams any more.
    pub fn forget_domain(&mut self, domain: &FailureDomain) {
        self.lost_domains.remove(domain);
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.losses.remove(upstream);
        self.checked_at.remove(upstream);
    }
}
