//! Execution counters of a service.

use crate::lagged::Lagged;
use persimmon_core::{
    ids::Incarnation,
    units::{Millis, Time},
    upstream::LoadReport,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters of a service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceCounters {
    /// Executions of each idempotency key.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Executions of each method and path.
    pub runs_by_call: BTreeMap<String, u64>,
    /// Number of executions.
    pub run_requests: u64,
    /// Calls that were refused.
    pub refused_requests: u64,
    /// Executions in progress.
    pub in_flight_requests: u32,
}

/// Executions and load reports of one service.
#[derive(Debug)]
pub(crate) struct Executions {
    pub(crate) counters: ServiceCounters,
    pub(crate) incarnation: Incarnation,
    max_in_flight_requests: u32,
    lag_ms: Millis,
    reports: Lagged<u32>,
}

impl Executions {
    pub(crate) fn new(incarnation: Incarnation, max_in_flight: u32, lag_ms: Millis) -> Self {
        Self {
            counters: ServiceCounters::default(),
            incarnation,
            max_in_flight_requests: max_in_flight,
            lag_ms,
            reports: Lagged::new(lag_ms, 0),
        }
    }

    /// Starts an execution and returns the number of executions of its key or call; `None` if the
    /// service is at its limit.
    pub(crate) fn start(&mut self, now: Time, call: String, key: Option<String>) -> Option<u64> {
        if self.counters.in_flight_requests >= self.max_in_flight_requests {
            self.counters.refused_requests += 1;
            return None;
        }
        self.counters.in_flight_requests += 1;
        self.counters.run_requests += 1;
        self.reports.record(now, self.counters.in_flight_requests);
        let by_call = self.counters.runs_by_call.entry(call).or_default();
        *by_call += 1;
        let Some(key) = key else {
            return Some(*by_call);
        };
        let by_key = self.counters.runs_by_key.entry(key).or_default();
        *by_key += 1;
        Some(*by_key)
    }

    pub(crate) fn finish(&mut self, now: Time) {
        self.counters.in_flight_requests = self.counters.in_flight_requests.saturating_sub(1);
        self.reports.record(now, self.counters.in_flight_requests);
    }

    pub(crate) fn report(&mut self, now: Time) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            age_ms: self.lag_ms,
            in_flight_requests: self.reports.visible(now).unwrap_or_default(),
            bearable_requests: Some(self.max_in_flight_requests),
            ..LoadReport::default()
        }
    }
}
