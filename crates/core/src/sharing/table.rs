//! Decayed work of each holder at each service, and the decision which calls give way.

use super::{
    decayed::{decay_ratio, DecayedWork},
    fair_allocation_ms,
    report::{believed, PendingReports},
    Demand, ShareHolder, SharingSettings, WorkReport, PRIORITIES_LEN,
};
use crate::{
    ids::ServiceName,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Maximum number of holders at a service; calls of further ones count as [`ShareHolder::Unknown`].
const HOLDERS_MAX_LEN: usize = 64;

/// Maximum number of services; work at further ones is not counted.
const SERVICES_MAX_LEN: usize = 32;

/// A holder with less work than this is forgotten when another needs its place.
const FORGOTTEN_WORK_MS: f64 = 1.0;

/// Unserved work below this is ignored: it is what remains of a call long ago.
const UNSERVED_MIN_MS: f64 = 1.0;

/// Decay time of the slow sums, as a multiple of the settings' decay time. A long prompt is counted as a whole
/// when it is sent; without a slow sum, it would put a small workspace over its share for a second.
const SLOW_FACTOR: u64 = 4;

/// Capacity that a large workspace leaves, as a multiple of the work that others have unserved. In the replay
/// of a flood, 1 left 10 % of the small workspaces' work unserved and 3 left 7 %.
const UNSERVED_FACTOR: f64 = 3.0;

/// Shortest time that a call over its share is told to wait.
const WAIT_MIN_MS: f64 = 50.0;

/// A holder is over its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverShare {
    /// Decayed work that the holder was served.
    pub work_ms: f64,
    /// Work that it may be served while others wait.
    pub share_ms: f64,
    /// Time after which its share allows another call.
    pub wait_ms: Millis,
}

/// Work of one holder at one service. Slow sums are divided by [`SLOW_FACTOR`], so that a steady rate has the
/// same value in all sums.
#[derive(Clone, Debug, Default)]
struct HolderWork {
    sent: DecayedWork,
    slow_sent: DecayedWork,
    slow_unserved: [DecayedWork; PRIORITIES_LEN],
}

impl HolderWork {
    fn add_sent(&mut self, now: Time, decay: Millis, work_ms: f64) {
        self.sent.add_ms(now, decay, work_ms);
        let part_ms = work_ms / SLOW_FACTOR as f64;
        self.slow_sent.add_ms(now, slow(decay), part_ms);
    }

    fn add_unserved(&mut self, now: Time, decay: Millis, level: usize, work_ms: f64) {
        let part_ms = work_ms / SLOW_FACTOR as f64;
        self.slow_unserved[level].add_ms(now, slow(decay), part_ms);
    }

    /// Work that the holder was served. A burst counts when the slow sum shows it too, and no longer counts
    /// when the fast one has decayed.
    fn served_ms(&self, now: Time, decay: Millis) -> f64 {
        let slow_ms = self.slow_sent.get_ms(now, slow(decay));
        self.sent.get_ms(now, decay).min(slow_ms)
    }

    /// Recent unserved work of calls that are at least as urgent as `level`. Work that found no capacity
    /// longer ago than the slow decay time no longer counts: its callers have left or were served.
    fn unserved_ms(&self, now: Time, decay: Millis, level: usize) -> f64 {
        let recent = self.slow_unserved[..=level]
            .iter()
            .filter(|work| now.since(work.last_at()) <= slow(decay));
        recent.map(|work| work.get_ms(now, slow(decay))).sum()
    }

    fn all_ms(&self, now: Time, decay: Millis) -> f64 {
        let unserved_ms = self.unserved_ms(now, decay, PRIORITIES_LEN - 1);
        self.slow_sent.get_ms(now, slow(decay)) + unserved_ms
    }
}

/// Work at one service.
#[derive(Debug, Default)]
struct ServiceWork {
    holders: BTreeMap<ShareHolder, HolderWork>,
    /// Smoothed sum of the decayed work of all holders.
    capacity_ms: f64,
    capacity_at: Time,
}

impl ServiceWork {
    fn sent_ms(&self, now: Time, decay: Millis) -> f64 {
        let works = self.holders.values();
        works.map(|work| work.sent.get_ms(now, decay)).sum()
    }

    fn update_capacity(&mut self, now: Time, decay: Millis) {
        let served_ms = self.sent_ms(now, decay);
        let kept_ratio = decay_ratio(now.since(self.capacity_at), slow(decay));
        self.capacity_ms = served_ms + (self.capacity_ms - served_ms) * kept_ratio;
        self.capacity_at = now;
    }

    /// The entry of a holder. If there are too many, holders without recent work are forgotten, and if
    /// that isn't enough, the work counts as that of unknown ones.
    fn holder(&mut self, now: Time, decay: Millis, holder: &ShareHolder) -> &mut HolderWork {
        if !self.holders.contains_key(holder) && self.holders.len() >= HOLDERS_MAX_LEN {
            self.holders
                .retain(|_, work| work.all_ms(now, decay) >= FORGOTTEN_WORK_MS);
        }
        let is_full = self.holders.len() >= HOLDERS_MAX_LEN && !self.holders.contains_key(holder);
        let counted = if is_full {
            &ShareHolder::Unknown
        } else {
            holder
        };
        self.holders.entry(counted.clone()).or_default()
    }
}

/// Work of all holders at all services, as far as this daemon knows: its own and what peers reported.
#[derive(Debug)]
pub struct ShareTable {
    settings: SharingSettings,
    services: BTreeMap<ServiceName, ServiceWork>,
    pending: PendingReports,
}

impl ShareTable {
    /// An empty table.
    pub fn new(settings: SharingSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            pending: PendingReports::default(),
        }
    }

    /// Replaces the settings and keeps what is known.
    pub fn update_settings(&mut self, settings: SharingSettings) {
        self.settings = settings;
    }

    /// Number of holders at all services.
    pub fn holders_len(&self) -> usize {
        let services = self.services.values();
        services.map(|service| service.holders.len()).sum()
    }

    /// Counts work in ms that this daemon sent; negative if it turned out not to have run.
    pub fn add_sent(
        &mut self,
        now: Time,
        service: &ServiceName,
        holder: &ShareHolder,
        work_ms: f64,
    ) {
        self.count_sent(now, service, holder, work_ms);
        self.pending.add_sent(service, holder, work_ms);
    }

    /// Takes back work that was counted at `sent_at` and has not run.
    pub fn refund(
        &mut self,
        now: Time,
        service: &ServiceName,
        holder: &ShareHolder,
        (sent_at, work_ms): (Time, f64),
    ) {
        let left_ms = work_ms * decay_ratio(now.since(sent_at), self.settings.decay_ms);
        self.add_sent(now, service, holder, -left_ms);
    }

    /// Counts work in ms of a call of this daemon that found no capacity.
    pub fn add_unserved(
        &mut self,
        now: Time,
        service: &ServiceName,
        holder: &ShareHolder,
        priority: u8,
        work_ms: f64,
    ) {
        let level = level(priority);
        self.count_unserved(now, service, holder, level, work_ms);
        self.pending.add_unserved(service, holder, level, work_ms);
    }

    /// Counts the work that a peer reported.
    pub fn on_reports(&mut self, now: Time, reports: &[WorkReport]) {
        for report in believed(reports) {
            let WorkReport {
                service, holder, ..
            } = &report;
            self.count_sent(now, service, holder, report.sent_ms as f64);
            for (level, unserved_ms) in report.unserved_ms.into_iter().enumerate() {
                if unserved_ms > 0 {
                    self.count_unserved(now, service, holder, level, f64::from(unserved_ms));
                }
            }
        }
    }

    fn count_sent(&mut self, now: Time, service: &ServiceName, holder: &ShareHolder, work_ms: f64) {
        let decay = self.settings.decay_ms;
        if let Some(known) = self.service(service) {
            known.update_capacity(now, decay);
            let entry = known.holder(now, decay, holder);
            entry.add_sent(now, decay, work_ms);
        }
    }

    fn count_unserved(
        &mut self,
        now: Time,
        service: &ServiceName,
        holder: &ShareHolder,
        level: usize,
        work_ms: f64,
    ) {
        let decay = self.settings.decay_ms;
        if let Some(known) = self.service(service) {
            known.update_capacity(now, decay);
            let entry = known.holder(now, decay, holder);
            entry.add_unserved(now, decay, level, work_ms);
        }
    }

    fn service(&mut self, service: &ServiceName) -> Option<&mut ServiceWork> {
        if !self.services.contains_key(service) && self.services.len() >= SERVICES_MAX_LEN {
            return None;
        }
        Some(self.services.entry(service.clone()).or_default())
    }

    /// The changes since the last report, if one is due.
    pub fn take_report(&mut self, now: Time) -> Option<Vec<WorkReport>> {
        self.pending.take(now)
    }

    /// When the next report is due; none if nothing changed.
    pub fn report_due_at(&self, now: Time) -> Option<Time> {
        self.pending.due_at(now)
    }

    /// Whether a call gives way: its holder is over its share, and other holders have unserved calls that
    /// are at least as urgent. `nominal_ms_per_s` is the work that the service does in a second at least. It
    /// bounds what is held back when calls of others can't be served for another reason than a lack of
    /// capacity.
    pub fn over_share(
        &self,
        now: Time,
        service: &ServiceName,
        holder: &ShareHolder,
        priority: u8,
        nominal_ms_per_s: f64,
    ) -> Option<OverShare> {
        let decay = self.settings.decay_ms;
        let known = self.services.get(service)?;
        let work_ms = known.holders.get(holder)?.served_ms(now, decay);
        let level = level(priority);
        let mut unserved_ms = 0.0;
        let others = known.holders.iter().filter(|(other, _)| *other != holder);
        let demand = |(other, work): (&ShareHolder, &HolderWork)| {
            let asked_ms = work.unserved_ms(now, decay, level);
            unserved_ms += asked_ms;
            Demand {
                weight: self.settings.weight(other),
                demand_ms: work.sent.get_ms(now, decay) + asked_ms * UNSERVED_FACTOR,
            }
        };
        let mut others: Vec<_> = others.map(demand).collect();
        if unserved_ms < UNSERVED_MIN_MS {
            return None;
        }
        let nominal_ms = nominal_ms_per_s * decay.get() as f64 / 1e3;
        let capacity_ms = known.capacity_ms.max(nominal_ms);
        let weight = self.settings.weight(holder);
        let share_ms = fair_allocation_ms(capacity_ms, weight, &mut others);
        (work_ms > share_ms).then(|| OverShare {
            work_ms,
            share_ms,
            wait_ms: wait_ms(work_ms, share_ms, decay),
        })
    }
}

/// Time until decayed work has fallen to a share.
fn wait_ms(work_ms: f64, share_ms: f64, decay: Millis) -> Millis {
    let decay_ms = decay.get() as f64;
    let wait_ms = decay_ms * (work_ms / share_ms.max(1.0)).ln();
    Millis::new(wait_ms.clamp(WAIT_MIN_MS, decay_ms).ceil() as u64)
}

fn slow(decay: Millis) -> Millis {
    Millis::new(decay.get() * SLOW_FACTOR)
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES_LEN - 1)
}
