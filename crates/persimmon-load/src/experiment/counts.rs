//! What the stand-ins counted.

use crate::caller::{CallResult, Sample};
use persimmon_core::request::Outcome;
use persimmon_standin::demo::Fleet;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// What the stand-ins counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetCounts {
    /// Streams that engines took in.
    pub started_requests: u64,
    /// Streams that engines ended whole.
    pub complete_requests: u64,
    /// Streams that were cancelled at engines.
    pub cancelled_requests: u64,
    /// Times that an engine fell over.
    pub falls_count: u64,
    /// Streams that cold engines got above what they bear.
    pub over_bearable_requests: u64,
    /// Streams that engines still hold.
    pub held_requests: u64,
    /// KV memory that engines still hold for streams and segments.
    pub held_kv_bytes: u64,
    /// How long was waited for the engines to hold nothing.
    pub settled_ms: u64,
    /// Tokens prefilled.
    pub prefilled_tokens: u64,
    /// Tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Writes of the store.
    pub writes_count: u64,
    /// Reads of the store.
    pub reads_count: u64,
}

/// Runs of idempotency keys against what callers were told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct IdempotencyCounts {
    /// Keys that ran.
    pub run_requests: usize,
    /// Keys that ran more than once.
    pub run_twice_requests: usize,
    /// Keys that ran though the caller was told `not_run`.
    pub false_not_run_requests: usize,
}

impl FleetCounts {
    /// The counts of a fleet.
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

    /// Whether the engines hold nothing for requests.
    pub fn is_idle(&self) -> bool {
        self.held_requests == 0 && self.held_kv_bytes == 0
    }
}

impl IdempotencyCounts {
    /// Compares the servers' run counters with the samples of a run.
    pub fn of(fleet: &Fleet, samples: &[Sample], seed: u64) -> Self {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for server in fleet.servers.values() {
            for (key, run_count) in server.counters().runs_by_key {
                *runs.entry(key).or_default() += run_count;
            }
        }
        let denied = samples.iter().filter(|sample| {
            sample.class.is_none() && matches!(sample.end, CallResult::Refused(_, Outcome::NotRun))
        });
        let denied_ran = denied.filter(|sample| runs.contains_key(&sample.idempotency_key(seed)));
        Self {
            run_requests: runs.len(),
            run_twice_requests: runs.values().filter(|count| **count > 1).count(),
            false_not_run_requests: denied_ran.count(),
        }
    }
}
