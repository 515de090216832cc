//! The state of the platform: rows, objects, VMs and rate limits, under one lock.

use super::{token_bucket::TokenBucket, PlatformSettings};
use crate::lagged::Lagged;
use bytes::Bytes;
use persimmon_core::{
    platform::{Condition, ObjectOp, TableAnswer, TableOp, VmRecord, Write},
    units::{Millis, Time},
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters of the platform.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformCounters {
    /// Writes of table and objects.
    pub writes_count: u64,
    /// Reads of table and objects.
    pub reads_count: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts_count: u64,
    /// Calls that the rate limits refused.
    pub limited_count: u64,
    /// Calls refused while the store was down.
    pub refused_count: u64,
    /// Bytes of weights that were served.
    pub weights_bytes: u64,
    /// Current number of rows.
    pub rows_count: u64,
    /// Current number of objects.
    pub objects_count: u64,
}

/// The platform's state.
#[derive(Debug)]
pub(crate) struct Store {
    rows: BTreeMap<String, Bytes>,
    objects: BTreeMap<String, Bytes>,
    copy: Option<(BTreeMap<String, Bytes>, BTreeMap<String, Bytes>)>,
    vms: Lagged<Vec<VmRecord>>,
    writes: TokenBucket,
    reads: TokenBucket,
    weights: TokenBucket,
    pub(crate) counters: PlatformCounters,
}

impl Store {
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            copy: None,
            vms: Lagged::new(settings.vms_lag_ms, settings.vms.clone()),
            writes: TokenBucket::new(settings.writes_per_s),
            reads: TokenBucket::new(settings.reads_per_s),
            weights: TokenBucket::new(settings.weights_bytes_per_s.get()),
            counters: PlatformCounters::default(),
        }
    }

    /// Executes a call of the table service; `None` if the rate limit refuses the call.
    pub(crate) fn table(&mut self, now: Time, op: TableOp) -> Option<TableAnswer> {
        let write = matches!(op, TableOp::Transact { .. });
        self.limit(now, write)?;
        Some(match op {
            TableOp::Get { key } => TableAnswer::Value(self.rows.get(&key).cloned()),
            TableOp::Scan {
                prefix,
                after,
                limit_len,
            } => self.scan(&prefix, after.as_deref(), limit_len as usize),
            TableOp::Transact { conditions, writes } => self.transact(&conditions, writes),
        })
    }

    /// Executes a call of the object store; `None` if the rate limit refuses the call.
    pub(crate) fn object(&mut self, now: Time, op: ObjectOp) -> Option<TableAnswer> {
        self.limit(now, matches!(op, ObjectOp::Put { .. }))?;
        Some(match op {
            ObjectOp::Get { key } => TableAnswer::Value(self.objects.get(&key).cloned()),
            ObjectOp::Put { key, value } => {
                self.objects.insert(key, value);
                TableAnswer::Done
            }
        })
    }

    fn limit(&mut self, now: Time, write: bool) -> Option<()> {
        let (bucket, count) = match write {
            true => (&mut self.writes, &mut self.counters.writes_count),
            false => (&mut self.reads, &mut self.counters.reads_count),
        };
        if bucket.try_take(now, 1.0).is_err() {
            self.counters.limited_count += 1;
            return None;
        }
        *count += 1;
        Some(())
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit_len: usize) -> TableAnswer {
        let rows = self.rows.range(prefix.to_owned()..);
        let found = rows
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .take(limit_len);
        TableAnswer::Rows(found.map(|(k, v)| (k.clone(), v.clone())).collect())
    }

    fn transact(&mut self, conditions: &[Condition], writes: Vec<Write>) -> TableAnswer {
        let holds = |condition: &Condition| match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Equals { key, value } => self.rows.get(key) == Some(value),
        };
        if !conditions.iter().all(holds) {
            self.counters.conflicts_count += 1;
            return TableAnswer::Conflict;
        }
        for write in writes {
            match write {
                Write::Put { key, value } => self.rows.insert(key, value),
                Write::Delete { key } => self.rows.remove(&key),
            };
        }
        TableAnswer::Done
    }

    /// Saves a copy of rows and objects.
    pub(crate) fn keep_copy(&mut self) {
        self.copy = Some((self.rows.clone(), self.objects.clone()));
    }

    /// Restores rows and objects from the saved copy, or empties both if there is none.
    pub(crate) fn restore_copy(&mut self) {
        (self.rows, self.objects) = self.copy.clone().unwrap_or_default();
    }

    /// The list of VMs that is visible now.
    pub(crate) fn vms(&mut self, now: Time) -> Vec<VmRecord> {
        self.vms.visible(now).unwrap_or_default()
    }

    /// Changes the list of VMs. The change becomes visible after the lag.
    pub(crate) fn set_vms(&mut self, now: Time, vms: Vec<VmRecord>) {
        self.vms.record(now, vms);
    }

    /// Takes bytes of weights, or returns the time after which to retry.
    pub(crate) fn take_weights(&mut self, now: Time, bytes: u64) -> Result<(), Millis> {
        self.weights.try_take(now, bytes as f64)?;
        self.counters.weights_bytes += bytes;
        Ok(())
    }

    /// Returns the current counters.
    pub(crate) fn counters(&self) -> PlatformCounters {
        PlatformCounters {
            rows_count: self.rows.len() as u64,
            objects_count: self.objects.len() as u64,
            ..self.counters.clone()
        }
    }
}
