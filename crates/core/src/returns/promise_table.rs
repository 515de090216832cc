//! Table of the retry times that were given to refused callers, by this daemon or a peer.

use super::{PromiseReport, PromiseReports, ReturnsSettings, REPORT_MAX_LEN};
use crate::{
    ids::{Fingerprint, ServiceName},
    units::{Millis, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Latest time that is believed of a peer.
const DUE_MAX_MS: Millis = Millis::new(60_000);

/// A retry time that was given to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Promise {
    /// The service.
    pub service: ServiceName,
    /// Priority of the call; 0 goes first.
    pub priority: u8,
    /// When the caller may return.
    pub at: Time,
    /// Whether a slot is kept for it.
    pub keeps_slot: bool,
    /// Whether this daemon gave it.
    pub is_own: bool,
}

/// A call that arrives, judged by the promise for its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// There is no valid promise.
    New,
    /// It repeats a refused call before the time given to it, which is this long ahead.
    Early(Millis),
    /// It returns when told to, and a slot is kept for it.
    Returned,
}

/// Times at which callers of one service return for whom slots are kept, with their priority.
type DueTimes = BTreeSet<(Time, u8, Fingerprint)>;

/// Promises by the fingerprint of the request.
#[derive(Debug, Default)]
pub struct PromiseTable {
    promises: BTreeMap<Fingerprint, Promise>,
    by_time: BTreeSet<(Time, Fingerprint)>,
    kept: BTreeMap<ServiceName, DueTimes>,
    /// Fingerprints whose promise was given or ended here, and that peers have not been told of.
    unreported: BTreeSet<Fingerprint>,
}

impl PromiseTable {
    /// Number of promises, expired ones included.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    /// Judges a call that arrives.
    pub fn judge(
        &self,
        now: Time,
        settings: &ReturnsSettings,
        fingerprint: Fingerprint,
        service: &ServiceName,
    ) -> Arrival {
        let known = self.promises.get(&fingerprint);
        let Some(promise) = known.filter(|promise| promise.service == *service) else {
            return Arrival::New;
        };
        if now + settings.lead_ms < promise.at {
            Arrival::Early(promise.at.since(now))
        } else if promise.keeps_slot && now <= promise.at + settings.keep_ms {
            Arrival::Returned
        } else {
            Arrival::New
        }
    }

    /// Records a promise of this daemon, for itself and its peers. Returns false if the table is full of valid
    /// promises: the caller is then an ordinary one when it returns.
    pub fn promise(
        &mut self,
        now: Time,
        settings: &ReturnsSettings,
        fingerprint: Fingerprint,
        promise: Promise,
    ) -> bool {
        let is_recorded = self.insert(now, settings, fingerprint, promise);
        if is_recorded {
            self.unreported.insert(fingerprint);
        }
        is_recorded
    }

    /// Ends the promise of a call that got its slot. Returns whether there was one.
    pub fn end(&mut self, fingerprint: Fingerprint) -> bool {
        let is_known = self.remove(fingerprint);
        if is_known {
            self.unreported.insert(fingerprint);
        }
        is_known
    }

    /// Adds what a peer reports. The service and the time of a promise that is already known here may change: its
    /// caller was refused again, by the peer.
    pub fn on_reports(&mut self, now: Time, settings: &ReturnsSettings, reports: PromiseReports) {
        for fingerprint in reports.ended.into_iter().take(REPORT_MAX_LEN) {
            self.remove(fingerprint);
        }
        for report in reports.promised.into_iter().take(REPORT_MAX_LEN) {
            let promise = Promise {
                service: report.service,
                priority: report.priority,
                at: now + report.due_ms.min(DUE_MAX_MS),
                keeps_slot: report.keeps_slot,
                is_own: false,
            };
            self.insert(now, settings, report.fingerprint, promise);
        }
    }

    /// Takes what peers have not been told yet, as much as one message may have.
    pub fn take_reports(&mut self, now: Time) -> PromiseReports {
        let mut reports = PromiseReports::default();
        for _ in 0..REPORT_MAX_LEN {
            let Some(fingerprint) = self.unreported.pop_first() else {
                break;
            };
            match self.promises.get(&fingerprint) {
                Some(promise) => reports.promised.push(report(now, fingerprint, promise)),
                None => reports.ended.push(fingerprint),
            }
        }
        reports
    }

    /// Whether peers have not been told everything.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// The promises of this daemon whose time has not come, for a peer that has just connected.
    pub fn own_reports(&self, now: Time) -> PromiseReports {
        let own = self.promises.iter();
        let own = own.filter(|(_, promise)| promise.is_own && now < promise.at);
        let promised = own.map(|(fingerprint, promise)| report(now, *fingerprint, promise));
        PromiseReports {
            promised: promised.take(REPORT_MAX_LEN).collect(),
            ended: Vec::new(),
        }
    }

    /// Times until the callers of a service return for whom slots are kept, in ascending order.
    pub fn promised_ms(
        &self,
        now: Time,
        settings: &ReturnsSettings,
        service: &ServiceName,
    ) -> Vec<Millis> {
        let due = self.kept.get(service).into_iter().flatten();
        due.filter(|(at, ..)| now <= *at + settings.keep_ms)
            .map(|(at, ..)| at.since(now))
            .collect()
    }

    /// The services for whose callers slots are kept.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.kept.keys()
    }

    /// Number of slots that are kept now from calls of this priority: for callers who are as urgent or more, and
    /// whose time has nearly come.
    pub fn kept_len(
        &self,
        now: Time,
        settings: &ReturnsSettings,
        service: &ServiceName,
        priority: u8,
    ) -> usize {
        let due = self.kept.get(service).into_iter().flatten();
        due.skip_while(|(at, ..)| *at + settings.keep_ms < now)
            .take_while(|(at, ..)| *at <= now + settings.lead_ms)
            .filter(|(_, kept_priority, _)| *kept_priority <= priority)
            .count()
    }

    fn insert(
        &mut self,
        now: Time,
        settings: &ReturnsSettings,
        fingerprint: Fingerprint,
        promise: Promise,
    ) -> bool {
        self.remove(fingerprint);
        self.remove_expired(now, settings);
        let has_room = self.promises.len() < settings.promises_max_len;
        if has_room {
            self.by_time.insert((promise.at, fingerprint));
            if promise.keeps_slot {
                let due = (promise.at, promise.priority, fingerprint);
                let of_service = self.kept.entry(promise.service.clone()).or_default();
                of_service.insert(due);
            }
            self.promises.insert(fingerprint, promise);
        }
        has_room
    }

    fn remove_expired(&mut self, now: Time, settings: &ReturnsSettings) {
        while let Some((at, fingerprint)) = self.by_time.first().copied() {
            if now <= at + settings.keep_ms {
                return;
            }
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(promise) = self.promises.remove(&fingerprint) else {
            return false;
        };
        self.by_time.remove(&(promise.at, fingerprint));
        if let Some(due) = self.kept.get_mut(&promise.service) {
            due.remove(&(promise.at, promise.priority, fingerprint));
            if due.is_empty() {
                self.kept.remove(&promise.service);
            }
        }
        true
    }
}

fn report(now: Time, fingerprint: Fingerprint, promise: &Promise) -> PromiseReport {
    PromiseReport {
        fingerprint,
        service: promise.service.clone(),
        priority: promise.priority,
        keeps_slot: promise.keeps_slot,
        due_ms: promise.at.since(now),
    }
}
