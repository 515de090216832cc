//! Counters of the stand-ins.

use crate::caller::{CallResult, Sample};
use persimmon_core::request::Outcome;
use persimmon_standin::demo::Fleet;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Counters of all stand-ins of a fleet, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetCounts {
    /// Streams that engines accepted.
    pub started_requests: u64,
    /// Streams that engines completed.
    pub complete_requests: u64,
    /// Streams that were cancelled on engines.
    pub cancelled_requests: u64,
    /// Times that an engine crashed under overload.
    pub falls_count: u64,
    /// Streams that cold engines received beyond the number that they can bear.
    pub over_bearable_requests: u64,
    /// Streams still in flight on engines.
    pub held_requests: u64,
    /// KV memory still allocated on engines for streams and prefill segments.
    pub held_kv_bytes: u64,
    /// How long the caller had waited for the engines to become idle.
    pub settled_ms: u64,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens that engines found in their prefix caches.
    pub cached_tokens: u64,
    /// Writes to the store.
    pub writes_count: u64,
    /// Reads from the store.
    pub reads_count: u64,
}

/// Runs of idempotency keys, compared with the results that callers received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct IdempotencyCounts {
    /// Keys that ran.
    pub run_requests: usize,
    /// Keys that ran more than once.
    pub run_twice_requests: usize,
    /// Keys that ran although the caller received `not_run`.
    pub false_not_run_requests: usize,
}

impl FleetCounts {
    /// Sums the counters of a fleet.
    pub fn of(fleet: &Fleet, waited: Duration) -> Self {
        let store = fleet.platform.counters();
        let mut sum = Self {
            settled_ms: waited.as_millis() as u64,
            writes_count: store.writes_count,
            reads_count: store.reads_count,
            ..Self::default()
        };
        for engine in fleet.engines.values() {
            let counters = engine.counters();
            sum.started_requests += counters.started_requests;
            sum.complete_requests += counters.complete_requests;
            sum.cancelled_requests += counters.cancelled_requests;
            sum.falls_count += counters.falls_count;
            sum.over_bearable_requests += counters.over_bearable_requests;
            sum.held_requests += u64::from(counters.in_flight_requests);
            sum.held_kv_bytes += counters.kv_held_bytes.get();
            sum.prefilled_tokens += counters.prefilled_tokens;
            sum.cached_tokens += counters.cached_tokens;
        }
        sum
    }

    /// Whether the engines hold neither requests nor KV memory.
    pub fn is_idle(&self) -> bool {
        self.held_requests == 0 && self.held_kv_bytes == 0
    }
}

impl IdempotencyCounts {
    /// Compares the servers' run counters with the samples of a run whose seed is `seed`.
    pub fn of(fleet: &Fleet, samples: &[Sample], seed: u64) -> Self {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for server in fleet.servers.values() {
            for (key, run_count) in server.counters().runs_by_key {
                *runs.entry(key).or_default() += run_count;
            }
        }
        let refused = samples.iter().filter(|sample| {
            sample.class.is_none() && matches!(sample.end, CallResult::Refused(_, Outcome::NotRun))
        });
        let ran_although_refused =
            refused.filter(|sample| runs.contains_key(&sample.idempotency_key(seed)));
        Self {
            run_requests: runs.len(),
            run_twice_requests: runs.values().filter(|count| **count > 1).count(),
            false_not_run_requests: ran_although_refused.count(),
        }
    }
}
