//! Retry budget, shared by all daemons.

use crate::{
    ids::ServiceName,
    units::{Millis, Time},
};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Part of the budget that daemons use. The rest is a margin, because daemons come and go and each
/// counts on its own.
const BUDGET_USE_RATIO: f64 = 0.8;

/// Use of a service's retry budget by one daemon, as it is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BudgetState {
    /// Calls that count.
    pub calls_len: usize,
    /// Retries that count.
    pub retries_len: usize,
    /// Retries that are allowed with these calls.
    pub allowed_len: usize,
    /// Number of daemons by which the allowance is divided.
    pub daemons_len: usize,
}

/// Calls and retries of one service in the window.
#[derive(Debug, Default)]
struct Window {
    calls: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Limits a service's retries in a sliding window to a share of its calls, plus an allowance that
/// is split evenly among the daemons.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    allowance_requests: u32,
    window_ms: Millis,
    services: BTreeMap<ServiceName, Window>,
}

impl RetryBudget {
    /// A budget of `percent` retries per 100 calls, and `allowance_requests` more for all daemons
    /// together, in each window.
    pub const fn new(percent: u32, allowance_requests: u32, window_ms: Millis) -> Self {
        Self {
            percent,
            allowance_requests,
            window_ms,
            services: BTreeMap::new(),
        }
    }

    /// Changes the limits and keeps the counts.
    pub fn set_limits(&mut self, percent: u32, allowance_requests: u32, window_ms: Millis) {
        self.percent = percent;
        self.allowance_requests = allowance_requests;
        self.window_ms = window_ms;
    }

    /// Counts a new call.
    pub fn on_call(&mut self, now: Time, service: &ServiceName) {
        let window = self.window(now, service);
        window.calls.push_back(now);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take(&mut self, now: Time, service: &ServiceName, daemons_len: usize) -> bool {
        let state = self.state(now, service, daemons_len);
        let allowed = state.retries_len < state.allowed_len;
        if allowed {
            self.window(now, service).retries.push_back(now);
        }
        allowed
    }

    /// The use of a service's budget.
    pub fn state(&mut self, now: Time, service: &ServiceName, daemons_len: usize) -> BudgetState {
        let ratio = f64::from(self.percent) / 100.0;
        let own_allowance = f64::from(self.allowance_requests) / daemons_len.max(1) as f64;
        let window = self.window(now, service);
        let limit = (window.calls.len() as f64 * ratio + own_allowance) * BUDGET_USE_RATIO;
        BudgetState {
            calls_len: window.calls.len(),
            retries_len: window.retries.len(),
            allowed_len: limit as usize,
            daemons_len,
        }
    }

    fn window(&mut self, now: Time, service: &ServiceName) -> &mut Window {
        let start = now - self.window_ms;
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.calls, &mut window.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
        window
    }
}
