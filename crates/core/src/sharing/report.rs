//! Reports of work between daemons.

use super::ShareHolder;
use crate::{
    ids::ServiceName,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of priorities that are told apart. Less urgent ones count as the last.
pub const PRIORITIES_LEN: usize = 4;

/// Shortest time between two reports of a daemon.
const REPORT_PAUSE_MS: Millis = Millis::new(200);

/// Maximum number of entries in a report, and of entries that are read from one: 24 workspaces at several
/// services.
const REPORT_MAX_LEN: usize = 96;

/// Most work of one entry that is believed, in ms: what 600 engines do in a second.
const ENTRY_WORK_MAX_MS: i64 = 600_000;

/// Work of a holder at a service since the daemon's last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkReport {
    /// The service.
    pub service: ServiceName,
    /// Whose calls they were.
    pub holder: ShareHolder,
    /// Work that was sent to upstreams, less that of transmissions that turned out not to have run.
    pub sent_ms: i64,
    /// Work of calls that found no capacity, by priority.
    pub unserved_ms: [u32; PRIORITIES_LEN],
}

impl WorkReport {
    fn has_work(&self) -> bool {
        self.sent_ms != 0 || self.unserved_ms.iter().any(|ms| *ms > 0)
    }

    /// The report with each number limited to what is believed of a peer.
    pub(super) fn limited(&self) -> Self {
        let limit = |ms: u32| ms.min(ENTRY_WORK_MAX_MS as u32);
        Self {
            sent_ms: self.sent_ms.clamp(-ENTRY_WORK_MAX_MS, ENTRY_WORK_MAX_MS),
            unserved_ms: self.unserved_ms.map(limit),
            ..self.clone()
        }
    }
}

/// Limits a peer's entries in number.
pub(super) fn believed(reports: &[WorkReport]) -> impl Iterator<Item = WorkReport> + '_ {
    reports.iter().take(REPORT_MAX_LEN).map(WorkReport::limited)
}

type Key = (ServiceName, ShareHolder);

/// Changes that peers have not been told.
#[derive(Debug, Default)]
pub(super) struct PendingReports {
    changes: BTreeMap<Key, Change>,
    /// First entry of the next report, so that all entries have their turn.
    cursor: Option<Key>,
    last_at: Option<Time>,
}

/// An entry before it is rounded to whole milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Change {
    sent_ms: f64,
    unserved_ms: [f64; PRIORITIES_LEN],
}

impl PendingReports {
    pub(super) fn add_sent(&mut self, service: &ServiceName, holder: &ShareHolder, work_ms: f64) {
        self.change(service, holder).sent_ms += work_ms;
    }

    pub(super) fn add_unserved(
        &mut self,
        service: &ServiceName,
        holder: &ShareHolder,
        level: usize,
        work_ms: f64,
    ) {
        let unserved_ms = &mut self.change(service, holder).unserved_ms;
        unserved_ms[level.min(PRIORITIES_LEN - 1)] += work_ms;
    }

    fn change(&mut self, service: &ServiceName, holder: &ShareHolder) -> &mut Change {
        let key = (service.clone(), holder.clone());
        self.changes.entry(key).or_default()
    }

    /// When the next report may be sent; none if there is nothing to report.
    pub(super) fn due_at(&self, now: Time) -> Option<Time> {
        if self.changes.is_empty() {
            return None;
        }
        Some(self.last_at.map_or(now, |at| at + REPORT_PAUSE_MS).max(now))
    }

    /// The report, if one is due.
    pub(super) fn take(&mut self, now: Time) -> Option<Vec<WorkReport>> {
        if self.due_at(now)? > now {
            return None;
        }
        self.last_at = Some(now);
        let mut earlier = std::mem::take(&mut self.changes);
        let later = match &self.cursor {
            Some(cursor) => earlier.split_off(cursor),
            None => BTreeMap::new(),
        };
        let mut in_order = later.into_iter().chain(earlier);
        let taken: Vec<_> = in_order.by_ref().take(REPORT_MAX_LEN).collect();
        self.changes = in_order.collect();
        self.cursor = taken.last().map(|(key, _)| key.clone());
        let reports = taken.into_iter().map(work_report);
        Some(reports.filter(WorkReport::has_work).collect())
    }
}

fn work_report(((service, holder), change): (Key, Change)) -> WorkReport {
    WorkReport {
        service,
        holder,
        sent_ms: change.sent_ms.round() as i64,
        unserved_ms: change.unserved_ms.map(|ms| ms.round() as u32),
    }
}
