//! Restores of the store from an older copy. The copy lacks the latest writes of operators and
//! upstreams until they write them again, and still has what they removed. A daemon keeps what it knows
//! until the store says otherwise with knowledge that is at least as new:
//!
//! - catalogs by their own version, which operators keep increasing;
//! - failure domains out of service until operators have had time to write them again;
//! - draining and removed upstreams by the order of their own writes ([`crate::fleet::Fleet`]).
//!
//! A daemon that started after the restore knows only the copy. It serves nobody while a peer has a
//! newer catalog from before the restore, since the copy may hold keys that were revoked.

use super::{
    contention::hash_ratio,
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord,
};
use crate::{
    catalog::CatalogStamp,
    ids::{CatalogVersion, FailureDomain, StoreEra, VmId},
    units::{Millis, Time},
    watch::{StorePosition, Topic},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time after a restore for which failure domains stay out of service although the store does not
/// list them: operators write again what the store lost.
const OPERATORS_REWRITE_MS: Millis = Millis::new(10_000);

/// Time over which the daemons spread the renewal of their own entries after a restore.
const REGISTER_SPREAD_MS: Millis = Millis::new(500);

/// What this daemon keeps across a restore of the store.
#[derive(Debug, Default)]
pub(super) struct RestoreState {
    /// The latest era of the store that this daemon has seen.
    era: Option<StoreEra>,
    /// Failure domains that the restored store does not list as out of service, and the time until
    /// which they stay out of service.
    held_domains: BTreeMap<FailureDomain, Time>,
    /// The catalogs of connected peers that are newer than the own one. Mostly empty, as it is looked
    /// through at each event.
    peer_catalogs: BTreeMap<VmId, CatalogStamp>,
}

impl RestoreState {
    /// When the next held failure domain returns to service.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.held_domains.values().copied().min()
    }

    /// Removes the catalogs of peers that are not newer than the one put into use.
    pub(super) fn on_catalog_used(&mut self, version: CatalogVersion) {
        self.peer_catalogs.retain(|_, peer| peer.version > version);
    }

    /// Removes the state of a peer that is gone.
    pub(super) fn forget_peer(&mut self, peer: &VmId) {
        self.peer_catalogs.remove(peer);
    }

    /// Stops holding a failure domain, because the store says whether it is in service.
    pub(super) fn release_domain(&mut self, domain: &FailureDomain) {
        self.held_domains.remove(domain);
    }
}

impl Dispatcher {
    /// Handles that a topic was read at a position. In a new era, the other topic is read again as
    /// well, and this daemon writes its own entry again.
    pub(super) fn on_position(
        &mut self,
        out: &mut Out<'_>,
        topic: Topic,
        position: StorePosition,
        restored: bool,
    ) {
        if restored {
            out.log(DispatchRecord::StoreRestored {
                dependency: topic.name(),
                store: position,
                catalog: self.catalog.as_ref().map(|catalog| catalog.version()),
            });
        }
        self.operators.on_era(position.era, out.now);
        self.upstreams.on_era(position.era, out.now);
        let previous = self.restore.era.max(Some(position.era));
        let is_new = std::mem::replace(&mut self.restore.era, previous)
            .is_some_and(|known| known < position.era);
        if is_new {
            let spread_ms = REGISTER_SPREAD_MS.get() as f64 * hash_ratio(self.vm.as_str());
            out.act(DispatchAction::Register {
                after_ms: Millis::new(spread_ms as u64),
            });
        }
    }

    /// Keeps failure domains out of service that a restored store does not list.
    pub(super) fn hold_domains(&mut self, out: &mut Out<'_>, listed: &BTreeSet<FailureDomain>) {
        let missing = self.fleet.withdrawn_domains().difference(listed);
        for domain in missing {
            let held = &mut self.restore.held_domains;
            held.insert(domain.clone(), out.now + OPERATORS_REWRITE_MS);
            out.log(DispatchRecord::DomainHeld {
                domain: domain.clone(),
                for_ms: OPERATORS_REWRITE_MS,
            });
        }
    }

    /// Whether a failure domain stays out of service although the store does not list it.
    pub(super) fn is_domain_held(&self, domain: &FailureDomain) -> bool {
        self.restore.held_domains.contains_key(domain)
    }

    /// Returns failure domains to service that operators did not take out again.
    pub(super) fn release_held_domains(&mut self, out: &mut Out<'_>) {
        let held = self.restore.held_domains.iter();
        let due: Vec<_> = held
            .filter(|(_, until)| **until <= out.now)
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in due {
            self.on_domain(out, domain, false);
        }
    }

    /// The version of the catalog in use, and the latest era of the store that had it.
    pub(super) fn catalog_stamp(&self) -> Option<CatalogStamp> {
        let catalog = self.catalog.as_ref()?;
        Some(CatalogStamp {
            era: self.catalog_era,
            version: catalog.version(),
        })
    }

    /// Reports the catalog in use to a peer that has just connected.
    pub(super) fn report_catalog(&self, out: &mut Out<'_>, peer: VmId) {
        if let Some(stamp) = self.catalog_stamp() {
            out.act(DispatchAction::Notify {
                to: Some(peer),
                message: DispatchMessage::CatalogInUse(stamp),
            });
        }
    }

    /// Records the catalog that a peer uses.
    pub(super) fn on_peer_catalog(&mut self, peer: &VmId, stamp: CatalogStamp) {
        let catalogs = &mut self.restore.peer_catalogs;
        catalogs.insert(peer.clone(), stamp);
        if let Some(version) = self.catalog_version() {
            self.restore.on_catalog_used(version);
        }
    }

    /// Whether the catalog in use was read from a restored store, and a peer has a newer one from
    /// before the restore.
    pub(super) fn has_outdated_catalog(&self) -> bool {
        let Some(own) = self.catalog_stamp() else {
            return false;
        };
        let mut catalogs = self.restore.peer_catalogs.values();
        catalogs.any(|peer| own.is_outdated_by(*peer))
    }
}
