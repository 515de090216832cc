//! Registry of upstreams by id.

use super::{Upstream, UpstreamIncarnation, UpstreamRecord};
use crate::{
    ids::{FailureDomain, ServiceName, UpstreamId},
    units::{Millis, Time},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Time for which upstreams stay registered whose entries expired during an outage of the store.
/// Upstreams register again within about 2 s of its recovery; the difference to 2 s is left for the
/// poll that notices the recovery.
const MISSING_GRACE_MS: Millis = Millis::new(1_800);

/// Maximum number of tombstones: removed upstreams that are remembered so that a delayed write does
/// not register them again.
const TOMBSTONES_MAX_LEN: usize = 10_000;

/// What a full list of entries says about entries that it lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SnapshotKind {
    /// Missing upstreams are gone.
    Current,
    /// The store was not reachable for long: entries may have expired meanwhile.
    AfterOutage,
    /// The store was restored from a copy: it may lack entries, and have those of upstreams that are
    /// gone.
    Restored,
}

/// The registered upstreams, and the failure domains that are out of service.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    removed: BTreeMap<UpstreamId, UpstreamRecord>,
    withdrawn_domains: BTreeSet<FailureDomain>,
    loaded: bool,
}

impl Fleet {
    /// Whether the full list has been read at least once.
    pub const fn loaded(&self) -> bool {
        self.loaded
    }

    /// An upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Upstreams of a service that can receive new work.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Upstream> {
        let of_service = move |upstream: &&Upstream| upstream.record.service == *service;
        let upstreams = self.upstreams.values().filter(of_service);
        upstreams.filter(|upstream| self.is_in_service(upstream))
    }

    /// Whether an upstream can receive new work.
    pub fn is_in_service(&self, upstream: &Upstream) -> bool {
        let record = &upstream.record;
        !record.draining && !self.withdrawn_domains.contains(&record.domain)
    }

    /// Handles a registration or its renewal. Delayed writes that are older than the known record
    /// are ignored. Returns true if more than the age of the entry changed.
    pub fn on_record(&mut self, now: Time, record: UpstreamRecord) -> bool {
        let known = self.upstreams.get(&record.id).map(|known| &known.record);
        let last = known.or_else(|| self.removed.get(&record.id));
        if last.is_some_and(|last| record.write_order() < last.write_order()) {
            return false;
        }
        let stopped_draining = last.is_some_and(|last| {
            last.draining && !record.draining && last.started_unix_ms == record.started_unix_ms
        });
        if stopped_draining {
            return false;
        }
        let changed = known.is_none_or(|known| {
            known.draining != record.draining
                || known.address != record.address
                || known.started_unix_ms != record.started_unix_ms
                || record.cold_remaining_ms > known.cold_remaining_ms
        });
        self.removed.remove(&record.id);
        let upstream = Upstream {
            cold_until: now + record.cold_remaining_ms,
            missing_until: None,
            record,
        };
        self.upstreams.insert(upstream.record.id.clone(), upstream);
        changed
    }

    /// Removes an upstream and keeps a tombstone. Returns false if the upstream was not known.
    pub fn on_removed(&mut self, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.remove(id) else {
            return false;
        };
        if self.removed.len() >= TOMBSTONES_MAX_LEN {
            self.removed.pop_first();
        }
        self.removed.insert(id.clone(), upstream.record);
        true
    }

    /// Handles a full list of entries, and returns the removed upstreams. After an outage of the
    /// store or a restore, an entry may be missing although its upstream lives, so the upstream is
    /// kept for a grace period. A restored store may also list upstreams as they were before they
    /// were removed; those stay removed.
    pub fn on_snapshot(
        &mut self,
        now: Time,
        records: Vec<UpstreamRecord>,
        kind: SnapshotKind,
    ) -> Vec<UpstreamId> {
        self.loaded = true;
        let listed: BTreeSet<_> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            let outdated = kind == SnapshotKind::Restored && self.is_outdated(&record);
            if !outdated {
                self.on_record(now, record);
            }
        }
        let missing = self.upstreams.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<_> = missing.cloned().collect();
        let mut removed_ids = Vec::new();
        for id in missing {
            let kept = kind != SnapshotKind::Current && self.keep_missing(now, &id);
            if !kept {
                self.on_removed(&id);
                removed_ids.push(id);
            }
        }
        removed_ids
    }

    /// Whether the record is of a removed upstream and not newer than its last known one.
    fn is_outdated(&self, record: &UpstreamRecord) -> bool {
        let removed = self.removed.get(&record.id);
        removed.is_some_and(|removed| record.write_order() <= removed.write_order())
    }

    /// Handles that an upstream said that it is about to stop: this incarnation of it gets no new
    /// work, even if its entry does not say so or is written again. Returns true if that is new.
    pub fn on_leaving(&mut self, leaving: &UpstreamIncarnation) -> bool {
        let known = self.upstreams.get_mut(&leaving.id).map(|u| &mut u.record);
        let Some(record) = known.or_else(|| self.removed.get_mut(&leaving.id)) else {
            return false;
        };
        let is_new = record.started_unix_ms == leaving.started_unix_ms && !record.draining;
        record.draining |= is_new;
        is_new
    }

    /// Whether this is the known incarnation of a registered upstream.
    pub fn is_current(&self, incarnation: &UpstreamIncarnation) -> bool {
        let known = self.upstreams.get(&incarnation.id);
        known.is_some_and(|known| known.record.incarnation() == *incarnation)
    }

    /// The upstreams that an answer from an address is from: the one that was meant or, where another one
    /// may have answered, all that listen there.
    pub fn answering(
        &self,
        meant: UpstreamIncarnation,
        address: SocketAddr,
        is_misdirected: bool,
    ) -> Vec<UpstreamIncarnation> {
        if !is_misdirected {
            return vec![meant];
        }
        let upstreams = self.at_address(address);
        upstreams
            .map(|upstream| upstream.record.incarnation())
            .collect()
    }

    /// The upstreams that listen at an address.
    fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |upstream| upstream.record.address == address)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The upstreams of a failure domain.
    pub fn in_domain<'a>(
        &'a self,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |upstream| upstream.record.domain == *domain)
    }

    /// Keeps an upstream whose entry expired during an outage for a grace period. Returns false if
    /// it is unknown or was draining.
    pub fn keep_missing(&mut self, now: Time, id: &UpstreamId) -> bool {
        match self.upstreams.get_mut(id) {
            Some(upstream) if !upstream.record.draining => {
                upstream.missing_until.get_or_insert(now + MISSING_GRACE_MS);
                true
            }
            _ => false,
        }
    }

    /// Removes and returns the upstreams that did not register again within the grace period.
    pub fn expire_missing(&mut self, now: Time) -> Vec<UpstreamId> {
        let expired = |upstream: &&Upstream| upstream.missing_until.is_some_and(|at| at <= now);
        let removed_ids = self.upstreams.values().filter(expired);
        let removed_ids: Vec<_> = removed_ids
            .map(|upstream| upstream.record.id.clone())
            .collect();
        for id in &removed_ids {
            self.on_removed(id);
        }
        removed_ids
    }

    /// When the next grace period of a missing upstream ends.
    pub fn next_expiry(&self) -> Option<Time> {
        let times = self.upstreams.values().filter_map(|u| u.missing_until);
        times.min()
    }

    /// Takes a failure domain out of service. Returns true if it was in service.
    pub fn withdraw_domain(&mut self, domain: FailureDomain) -> bool {
        self.withdrawn_domains.insert(domain)
    }

    /// Returns a failure domain to service. Returns true if it was out of service.
    pub fn return_domain(&mut self, domain: &FailureDomain) -> bool {
        self.withdrawn_domains.remove(domain)
    }

    /// Failure domains that are out of service.
    pub const fn withdrawn_domains(&self) -> &BTreeSet<FailureDomain> {
        &self.withdrawn_domains
    }
}
