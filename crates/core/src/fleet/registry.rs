//! Registry of upstreams by id.

use super::{Upstream, UpstreamRecord};
use crate::{
    ids::{FailureDomain, ServiceName, UpstreamId},
    units::{Millis, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which upstreams stay registered whose entries expired during an outage of the store.
/// Upstreams register again within about 2 s of its recovery; the difference to 2 s is left for the
/// poll that notices the recovery.
const MISSING_GRACE_MS: Millis = Millis::new(1_800);

/// Maximum number of tombstones: removed upstreams that are remembered so that a delayed write does
/// not register them again.
const TOMBSTONES_MAX_LEN: usize = 10_000;

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
        self.upstreams.values().filter(move |upstream| {
            let record = &upstream.record;
            record.service == *service
                && !record.draining
                && !self.withdrawn_domains.contains(&record.domain)
        })
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
    /// store, an entry may be missing merely because it expired meanwhile, so its upstream is kept
    /// for a grace period.
    pub fn on_snapshot(
        &mut self,
        now: Time,
        records: Vec<UpstreamRecord>,
        after_outage: bool,
    ) -> Vec<UpstreamId> {
        self.loaded = true;
        let listed: BTreeSet<_> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            self.on_record(now, record);
        }
        let missing = self.upstreams.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<_> = missing.cloned().collect();
        let mut removed_ids = Vec::new();
        for id in missing {
            if !(after_outage && self.keep_missing(now, &id)) {
                self.on_removed(&id);
                removed_ids.push(id);
            }
        }
        removed_ids
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
