//! ByteCount of requests in flight at each upstream, over all daemons, and the limit that is learned from upstreams
//! that terminate.

use super::UpstreamBytesReport;
use crate::{
    ids::{SendId, ServiceName, UpstreamId, VmId},
    units::{ByteCount, Millis, Time},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Share of the bytes at which an upstream terminated that is its limit. Reports of peers come 200 ms late, in
/// which several daemons may send at once.
const LIMIT_PERCENT: u64 = 75;

/// Growth of a limit in a minute, so that an upstream that terminated for another reason is not held back for long.
const GROWTH_PERCENT_PER_MIN: u64 = 10;

/// Share of a known limit below which another one replaces it. Peers whose clocks differ repeat limits to each other
/// when links come back, which must not restart their growth.
const LOWER_PERCENT: u64 = 90;

/// Age at which a limit is forgotten.
const LIMIT_AGE_MAX_MS: Millis = Millis::from_secs(30 * 60);

/// Share that is left of the bytes that upstreams are known to bear when one terminates below them.
const DOUBT_PERCENT: u64 = 75;

/// Time within which several reports of a termination count as one.
const SAME_CRASH_MS: Millis = Millis::from_secs(5);

/// Age up to which the most bytes at an upstream count at its termination. Its requests end one by one before the
/// termination is certain.
const PEAK_AGE_MAX_MS: Millis = Millis::from_secs(3);

/// Change of the own bytes at an upstream that is reported to peers. Sixty daemons then differ by 1 MB at most.
const REPORTED_CHANGE_BYTES: u64 = 16 << 10;

/// Most upstreams in one report and of one peer, and most services with a limit.
const REPORT_MAX_LEN: usize = 64;
const PEER_UPSTREAMS_MAX_LEN: usize = 256;
const SERVICES_MAX_LEN: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    bytes: ByteCount,
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    bytes: ByteCount,
    learned_at: Time,
}

impl Limit {
    fn at(&self, now: Time) -> Option<ByteCount> {
        let age_ms = now.since(self.learned_at);
        let growth = self.bytes.get() / 100 * GROWTH_PERCENT_PER_MIN * age_ms.get() / 60_000;
        (age_ms < LIMIT_AGE_MAX_MS).then(|| self.bytes + ByteCount::new(growth))
    }
}

/// ByteCount of requests in flight at upstreams, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct UpstreamBytesTable {
    sends: BTreeMap<SendId, (UpstreamId, ByteCount)>,
    own: BTreeMap<UpstreamId, ByteCount>,
    reported: BTreeMap<UpstreamId, ByteCount>,
    peers: BTreeMap<VmId, BTreeMap<UpstreamId, ByteCount>>,
    /// The sums of what peers have reported. A decision looks at many upstreams.
    peer_sums: HashMap<UpstreamId, ByteCount>,
    peaks: BTreeMap<UpstreamId, Peak>,
    limits: BTreeMap<ServiceName, Limit>,
    /// The most at one upstream that responded to a request.
    borne: BTreeMap<ServiceName, ByteCount>,
    new_limits: BTreeSet<ServiceName>,
}

impl UpstreamBytesTable {
    /// Records a transmission of a request.
    pub fn on_sent(&mut self, now: Time, send: SendId, upstream: &UpstreamId, body: ByteCount) {
        self.sends.insert(send, (upstream.clone(), body));
        *self.own.entry(upstream.clone()).or_default() += body;
        self.update_peak(now, upstream);
    }

    /// Records the end of a transmission.
    pub fn on_ended(&mut self, now: Time, send: SendId) {
        let Some((upstream, body)) = self.sends.remove(&send) else {
            return;
        };
        self.update_peak(now, &upstream);
        if let Some(own) = self.own.get_mut(&upstream) {
            *own = own.saturating_sub(body);
        }
    }

    /// Records that an upstream responds to a request, which shows that it bears what is in flight there.
    pub fn on_response(&mut self, upstream: &UpstreamId, service: &ServiceName) {
        let bytes = self.in_flight(upstream);
        if self.borne.contains_key(service) || self.borne.len() < SERVICES_MAX_LEN {
            let borne = self.borne.entry(service.clone()).or_default();
            *borne = bytes.max(*borne);
        }
    }

    /// Records a peer's report. `is_known` tells which services exist, and no limit is below `min`. Returns the
    /// services whose limits are new.
    pub fn on_report(
        &mut self,
        now: Time,
        vm: &VmId,
        report: UpstreamBytesReport,
        min: ByteCount,
        is_known: impl Fn(&ServiceName) -> bool,
    ) -> Vec<(ServiceName, ByteCount)> {
        for (upstream, bytes) in report.held.into_iter().take(REPORT_MAX_LEN) {
            self.update_peak(now, &upstream);
            self.set_reported(vm, &upstream, bytes);
            self.update_peak(now, &upstream);
        }
        let limits = report.limits.into_iter().take(SERVICES_MAX_LEN);
        let known = limits.filter(|(service, _)| is_known(service));
        known
            .map(|(service, bytes)| (service, bytes.max(min)))
            .filter(|(service, bytes)| self.learn(now, service, *bytes))
            .collect()
    }

    /// Removes what a peer reported whose connection was lost.
    pub fn forget_peer(&mut self, vm: &VmId) {
        for (upstream, bytes) in self.peers.remove(vm).into_iter().flatten() {
            self.replace_in_sum(&upstream, bytes, ByteCount::ZERO);
        }
    }

    fn set_reported(&mut self, vm: &VmId, upstream: &UpstreamId, bytes: ByteCount) {
        let held = self.peers.entry(vm.clone()).or_default();
        let before = held.remove(upstream).unwrap_or_default();
        let has_place = held.len() < PEER_UPSTREAMS_MAX_LEN;
        let after = if has_place { bytes } else { ByteCount::ZERO };
        if after > ByteCount::ZERO {
            held.insert(upstream.clone(), after);
        }
        self.replace_in_sum(upstream, before, after);
    }

    fn replace_in_sum(&mut self, upstream: &UpstreamId, before: ByteCount, after: ByteCount) {
        let sum = self.peer_sums.entry(upstream.clone()).or_default();
        *sum = sum.saturating_sub(before) + after;
        if *sum == ByteCount::ZERO {
            self.peer_sums.remove(upstream);
        }
    }

    /// Learns from an upstream's process that ended. The bytes in flight there are the reason only if they are more
    /// than `min` and than upstreams of the service are known to bear. Returns the new limit.
    pub fn on_crash(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        min: ByteCount,
    ) -> Option<ByteCount> {
        let peak = self.peaks.get(upstream).copied().unwrap_or_default();
        let is_recent = now.since(peak.at) <= PEAK_AGE_MAX_MS;
        let bytes = self.in_flight(upstream).max(if is_recent {
            peak.bytes
        } else {
            ByteCount::ZERO
        });
        if bytes <= min {
            return None;
        }
        if let Some(borne) = self.borne.get_mut(service).filter(|borne| bytes <= **borne) {
            *borne = ByteCount::new(borne.get() / 100 * DOUBT_PERCENT);
            return None;
        }
        let limit = ByteCount::new(bytes.get() / 100 * LIMIT_PERCENT).max(min);
        if !self.learn(now, service, limit) {
            return None;
        }
        self.new_limits.insert(service.clone());
        Some(limit)
    }

    /// Whether a request may go to an upstream. One that is alone there always may.
    pub fn has_room(
        &self,
        now: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        body: ByteCount,
    ) -> bool {
        let Some(limit) = self.limit(now, service) else {
            return true;
        };
        let in_flight = self.in_flight(upstream);
        in_flight == ByteCount::ZERO || in_flight + body <= limit
    }

    /// The limit of each upstream of a service; none if none is known.
    pub fn limit(&self, now: Time, service: &ServiceName) -> Option<ByteCount> {
        self.limits.get(service)?.at(now)
    }

    /// ByteCount of requests in flight at an upstream, over all daemons.
    pub fn in_flight(&self, upstream: &UpstreamId) -> ByteCount {
        let reported = self.peer_sums.get(upstream).copied().unwrap_or_default();
        reported + self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Whether something has changed by so much that peers are told.
    pub fn has_news(&self) -> bool {
        !self.new_limits.is_empty() || self.changed().next().is_some()
    }

    /// What peers are told now; none if nothing has changed by much.
    pub fn take_report(&mut self) -> Option<UpstreamBytesReport> {
        let held: Vec<_> = self.changed().take(REPORT_MAX_LEN).collect();
        for (upstream, bytes) in &held {
            if *bytes == ByteCount::ZERO {
                self.reported.remove(upstream);
            } else {
                self.reported.insert(upstream.clone(), *bytes);
            }
        }
        self.own.retain(|upstream, bytes| {
            *bytes > ByteCount::ZERO || self.reported.contains_key(upstream)
        });
        let services = std::mem::take(&mut self.new_limits).into_iter();
        let limits: Vec<_> = services
            .filter_map(|service| {
                let bytes = self.limits.get(&service)?.bytes;
                Some((service, bytes))
            })
            .collect();
        (!held.is_empty() || !limits.is_empty()).then_some(UpstreamBytesReport { held, limits })
    }

    /// All that a peer needs to know that has just connected.
    pub fn full_report(&self, now: Time) -> UpstreamBytesReport {
        let limits = self.limits.iter();
        let own = self.own.iter();
        UpstreamBytesReport {
            held: own
                .filter(|(_, bytes)| bytes.get() >= REPORTED_CHANGE_BYTES)
                .take(REPORT_MAX_LEN)
                .map(|(upstream, bytes)| (upstream.clone(), *bytes))
                .collect(),
            limits: limits
                .filter_map(|(service, limit)| Some((service.clone(), limit.at(now)?)))
                .collect(),
        }
    }

    /// Forgets an upstream that is gone.
    pub fn forget_upstream(&mut self, upstream: &UpstreamId) {
        self.peaks.remove(upstream);
        self.peer_sums.remove(upstream);
        for held in self.peers.values_mut() {
            held.remove(upstream);
        }
    }

    /// Upstreams at which the own bytes differ from those reported, or are all gone.
    fn changed(&self) -> impl Iterator<Item = (UpstreamId, ByteCount)> + '_ {
        let own = self.own.iter();
        let changed = own.filter(|(upstream, bytes)| {
            let reported = self.reported.get(*upstream).copied().unwrap_or_default();
            let is_gone = **bytes == ByteCount::ZERO && reported > ByteCount::ZERO;
            is_gone || bytes.get().abs_diff(reported.get()) >= REPORTED_CHANGE_BYTES
        });
        changed.map(|(upstream, bytes)| (upstream.clone(), *bytes))
    }

    fn update_peak(&mut self, now: Time, upstream: &UpstreamId) {
        let bytes = self.in_flight(upstream);
        if bytes == ByteCount::ZERO {
            return;
        }
        let peak = self.peaks.entry(upstream.clone()).or_default();
        if bytes >= peak.bytes || now.since(peak.at) > PEAK_AGE_MAX_MS {
            *peak = Peak { bytes, at: now };
        }
    }

    /// Takes over a limit that is lower than the one known. All daemons that lost requests at the same upstream
    /// report it, and only the first counts.
    fn learn(&mut self, now: Time, service: &ServiceName, bytes: ByteCount) -> bool {
        let known = self.limits.get(service);
        let is_same = known.is_some_and(|known| now.since(known.learned_at) < SAME_CRASH_MS);
        let is_lower = known
            .and_then(|known| known.at(now))
            .is_none_or(|known| bytes.get() < known.get() / 100 * LOWER_PERCENT);
        let has_place = known.is_some() || self.limits.len() < SERVICES_MAX_LEN;
        if is_same || !is_lower || !has_place || bytes == ByteCount::ZERO {
            return false;
        }
        let limit = Limit {
            bytes,
            learned_at: now,
        };
        self.limits.insert(service.clone(), limit);
        true
    }
}
