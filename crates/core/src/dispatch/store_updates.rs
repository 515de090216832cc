//! Updates from the store: catalogs, failure domains out of service, and upstreams.

use super::{
    cached_prefixes::PrefixLoss,
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord, UpstreamChange, UpstreamSource,
};
use crate::{
    catalog::{Catalog, RawCatalog},
    fleet::{RecordError, SnapshotKind, UpstreamRecord},
    ids::{FailureDomain, UpstreamId, VmId},
    units::{Millis, Time},
    watch::{Batch, Change, ReconnectStatus, StoreError, StorePosition, Topic},
};
use std::{collections::BTreeSet, sync::Arc};

/// Age of knowledge from which a daemon that can't reach the store reports that it is not ready. The
/// load balancer needs two seconds to move callers to other daemons.
const READY_AGE_MAX_MS: Millis = Millis::new(1_600);

/// Age of knowledge up to which a request with an unknown key or route is refused as such. With older
/// knowledge, the key or route may have been added meanwhile: a change is known to all daemons after
/// two seconds. The limit is about twice the time of a reader's long poll.
const DENY_AGE_MAX_MS: Millis = Millis::new(1_800);

/// Delay before this daemon reads the list of upstreams itself, for each peer of lower name: a daemon
/// reads the list only if the peers before it did not report it.
const READER_RANK_DELAY_MS: Millis = Millis::new(50);

impl Dispatcher {
    /// Handles the store's answer to a read of a topic.
    pub(super) fn on_store_answer(
        &mut self,
        out: &mut Out<'_>,
        topic: Topic,
        answer: Result<Box<Batch>, StoreError>,
    ) {
        let watch = match topic {
            Topic::Operators => &mut self.operators,
            Topic::Upstreams => &mut self.upstreams,
        };
        let known_at = match topic {
            Topic::Operators => watch.fresh_at(),
            Topic::Upstreams => watch.answered_at(),
        };
        let knowledge_ms = known_at.map(|known_at| out.now.since(known_at));
        let dependency = |reachable, detail| DispatchRecord::Dependency {
            dependency: topic.name(),
            reachable,
            detail,
            knowledge_ms,
        };
        match answer {
            Err(error) => {
                if watch.on_error(out.now, &error) {
                    out.log(dependency(false, error.to_string()));
                }
            }
            Ok(batch) => {
                let Some(reconnect) = watch.on_answer(out.now, &batch) else {
                    return;
                };
                if reconnect.recovered {
                    out.log(dependency(true, format!("position {}", batch.position)));
                }
                self.on_position(out, topic, batch.position, reconnect.restored);
                match topic {
                    Topic::Operators => {
                        let message = self.operator_changes_message(&batch);
                        if !reconnect.overtaken {
                            self.on_operators(out, *batch, reconnect.restored);
                        }
                        if let Some(message) = message {
                            self.pass_on(out, message);
                        }
                        self.report_freshness(out);
                    }
                    Topic::Upstreams => self.on_upstreams(out, *batch, reconnect),
                }
            }
        }
    }

    pub(super) fn on_operators(&mut self, out: &mut Out<'_>, batch: Batch, restored: bool) {
        let is_snapshot = batch.is_snapshot();
        let mut listed_out = BTreeSet::new();
        for change in batch.changes {
            match change {
                Change::Catalog(raw) => self.on_catalog(out, *raw, batch.position),
                Change::DomainWithdrawn(domain) => {
                    listed_out.insert(domain.clone());
                    self.on_domain(out, domain, true);
                }
                Change::DomainReturned(domain) => self.on_domain(out, domain, false),
                change => log_unreadable(out, change),
            }
        }
        if restored {
            self.hold_domains(out, &listed_out);
        }
        if is_snapshot {
            let missing = self.fleet.withdrawn_domains().difference(&listed_out);
            let back: Vec<_> = missing
                .filter(|domain| !self.is_domain_held(domain))
                .cloned()
                .collect();
            for domain in back {
                self.on_domain(out, domain, false);
            }
        }
    }

    fn on_catalog(&mut self, out: &mut Out<'_>, raw: RawCatalog, store: StorePosition) {
        let version = raw.version;
        if let Some(known) = self
            .catalog_stamp()
            .filter(|known| known.version >= version)
        {
            if known.version == version {
                self.catalog_era = store.era;
            } else if known.era < store.era {
                out.log(DispatchRecord::CatalogHeld {
                    version: known.version,
                    stored_version: version,
                    store,
                });
            }
            return;
        }
        match Catalog::try_from(raw) {
            Ok(catalog) => {
                self.catalog_era = store.era;
                out.act(DispatchAction::Limits(*catalog.limits()));
                self.catalog = Some(Arc::new(catalog));
                self.restore.on_catalog_used(version);
                out.log(DispatchRecord::Catalog { version });
            }
            Err(error) => out.log(DispatchRecord::CatalogRefused {
                version,
                reason: error.to_string(),
            }),
        }
    }

    pub(super) fn on_domain(
        &mut self,
        out: &mut Out<'_>,
        domain: FailureDomain,
        out_of_service: bool,
    ) {
        self.restore.release_domain(&domain);
        let changed = if out_of_service {
            self.fleet.withdraw_domain(domain.clone())
        } else {
            self.fleet.return_domain(&domain)
        };
        if changed {
            out.log(DispatchRecord::Domain {
                domain,
                out: out_of_service,
            });
        }
    }

    /// Handles what was read of the list of upstreams. Peers get the changes as the store has them, not
    /// what they change here: what a peer knows may differ, and each daemon decides for itself how long
    /// it keeps an upstream whose entry expired.
    fn on_upstreams(&mut self, out: &mut Out<'_>, batch: Batch, reconnect: ReconnectStatus) {
        if let Some(after) = batch.after {
            let changes = batch.changes.iter().filter_map(UpstreamChange::from_read);
            let message = DispatchMessage::UpstreamChanges {
                after,
                position: batch.position,
                changes: changes.collect(),
            };
            self.notify_now(out.now, message);
        }
        if reconnect.overtaken {
            return;
        }
        if batch.is_snapshot() {
            return self.on_upstream_snapshot(out, batch, reconnect);
        }
        let source = UpstreamSource::read(batch.position);
        for change in batch.changes {
            match change {
                Change::Upstream(record) => self.on_record(out, *record, &source),
                Change::UpstreamRemoved(id) => {
                    self.on_upstream_removed(out, &id, reconnect, &source);
                }
                change => log_unreadable(out, change),
            }
        }
    }

    /// Removes the upstreams that did not register again after an outage.
    pub(super) fn expire_missing_upstreams(&mut self, out: &mut Out<'_>) {
        for id in &self.fleet.expire_missing(out.now) {
            self.forget_upstream(out, id, "lapsed", &UpstreamSource::default());
        }
    }

    /// Applies the changes that a peer read, so that this daemon need not read the list of upstreams.
    pub(super) fn on_upstream_changes(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        after: StorePosition,
        position: StorePosition,
        changes: Vec<UpstreamChange>,
    ) {
        let pause_ms = self.settings.upstreams.pause_ms.get();
        let due_ms = Millis::new(pause_ms + READER_RANK_DELAY_MS.get() * self.reader_rank() as u64);
        let status =
            self.upstreams
                .on_peer_changes(out.now, after, position, !changes.is_empty(), due_ms);
        let Some(reconnect) = status else {
            return;
        };
        let source = UpstreamSource {
            store: Some(position),
            reported_by: Some(peer.clone()),
        };
        for change in changes {
            match change {
                UpstreamChange::Registered(record) => self.on_record(out, record, &source),
                UpstreamChange::Removed(id) => {
                    self.on_upstream_removed(out, &id, reconnect, &source);
                }
            }
        }
    }

    /// Number of peers that read the list of upstreams before this daemon: those of lower name.
    pub(super) fn reader_rank(&self) -> usize {
        self.peers.keys().filter(|peer| **peer < self.vm).count()
    }

    fn on_upstream_snapshot(
        &mut self,
        out: &mut Out<'_>,
        batch: Batch,
        reconnect: ReconnectStatus,
    ) {
        let mut records = Vec::new();
        for change in batch.changes {
            match change {
                Change::Upstream(record) => match record.check() {
                    Ok(()) => records.push(*record),
                    Err(error) => log_impossible(out, &record.id, error),
                },
                change => log_unreadable(out, change),
            }
        }
        let kind = if reconnect.restored {
            SnapshotKind::Restored
        } else if reconnect.after_outage {
            SnapshotKind::AfterOutage
        } else {
            SnapshotKind::Current
        };
        let source = UpstreamSource::read(batch.position);
        let gone = self.fleet.on_snapshot(out.now, records, kind);
        for id in gone {
            self.forget_upstream(out, &id, "gone", &source);
        }
    }

    /// Adds or updates an upstream, or removes it if its entry can't be that of an upstream.
    fn on_record(&mut self, out: &mut Out<'_>, record: UpstreamRecord, source: &UpstreamSource) {
        let upstream = record.id.clone();
        if let Err(error) = record.check() {
            log_impossible(out, &upstream, error);
            if self.fleet.on_removed(&upstream) {
                self.forget_upstream(out, &upstream, "gone", source);
            }
            return;
        }
        let state = if record.draining { "draining" } else { "ready" };
        let known = self.fleet.get(&upstream).map(|known| &known.record);
        // A delayed write of an earlier start says nothing of the running process.
        if known.is_some_and(|known| known.started_unix_ms < record.started_unix_ms) {
            self.backoff.forget(&upstream);
            self.rate_limits.forget(&upstream);
            self.forget_prefixes(out, &upstream, PrefixLoss::Gone);
        }
        if self.fleet.on_record(out.now, record) {
            out.log(DispatchRecord::Upstream {
                upstream,
                state,
                source: source.clone(),
            });
        }
    }

    /// Removes an upstream whose entry was removed. After an outage of the store as seen from here, the
    /// entry may have expired although the upstream lives, so the upstream is kept for a while.
    fn on_upstream_removed(
        &mut self,
        out: &mut Out<'_>,
        id: &UpstreamId,
        reconnect: ReconnectStatus,
        source: &UpstreamSource,
    ) {
        let kept = reconnect.after_outage && self.fleet.keep_missing(out.now, id);
        if !kept && self.fleet.on_removed(id) {
            self.forget_upstream(out, id, "gone", source);
        }
    }

    /// Removes the state kept for an upstream that is gone.
    pub(super) fn forget_upstream(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamId,
        state: &'static str,
        source: &UpstreamSource,
    ) {
        self.health.forget(upstream);
        self.slow_start.forget(upstream);
        self.speeds.forget(upstream);
        self.backoff.forget(upstream);
        self.rate_limits.forget(upstream);
        self.links.forget(upstream);
        self.upstream_bytes.table.forget_upstream(upstream);
        self.forget_prefixes(out, upstream, PrefixLoss::Gone);
        out.log(DispatchRecord::Upstream {
            upstream: upstream.clone(),
            state,
            source: source.clone(),
        });
    }

    /// Whether a key or route that this daemon does not know may have been added meanwhile.
    pub(super) fn may_miss_changes(&self, now: Time) -> bool {
        let age_ms = self.knowledge_ms(now);
        self.operators.is_failing() || age_ms.is_none_or(|age_ms| age_ms >= DENY_AGE_MAX_MS)
    }

    /// Whether the store is unreachable for long enough that callers should move to other daemons
    /// before this one can no longer accept their keys.
    fn is_store_outage_prolonged(&self, now: Time) -> bool {
        let old = self
            .knowledge_ms(now)
            .is_none_or(|age_ms| age_ms >= READY_AGE_MAX_MS);
        self.operators.is_failing() && old
    }

    /// Reports readiness for new callers if it changed.
    pub(super) fn update_ready(&mut self, out: &mut Out<'_>) {
        let reason = if self.shutdown.is_some() {
            Some("stopping")
        } else if self.catalog.is_none() {
            Some("no catalog is known")
        } else if !self.fleet.loaded() {
            Some("upstreams are not known")
        } else if !self.keys_are_fresh(out.now) || self.is_store_outage_prolonged(out.now) {
            Some("the store's changes can't be read")
        } else if self.has_outdated_catalog() {
            Some("the store was restored and lacks the catalog that peers use")
        } else {
            None
        };
        let ready = reason.is_none();
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            out.act(DispatchAction::Ready(ready));
            out.log(DispatchRecord::Ready { ready, reason });
        }
    }
}

fn log_impossible(out: &mut Out<'_>, upstream: &UpstreamId, error: RecordError) {
    out.log(DispatchRecord::Unreadable {
        key: upstream.to_string(),
        reason: error.to_string(),
    });
}

fn log_unreadable(out: &mut Out<'_>, change: Change) {
    let record = match change {
        Change::Unreadable { key, reason } => DispatchRecord::Unreadable { key, reason },
        other => DispatchRecord::Unreadable {
            key: "row".to_owned(),
            reason: format!("{other:?} does not belong to this topic"),
        },
    };
    out.log(record);
}
