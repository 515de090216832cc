//! Retry budget, shared by all daemons.
//!
//! Each call earns a part of a retry, and time earns the daemon's part of an allowance. In any window, a daemon sends at
//! most half as many retries as it has earned since one window before. So what all processes on a VM send in a window, one
//! after the other, is half of what the VM earned in this window and half of what it earned in the one before: each
//! process uses what it has earned itself, and only the first one lived before the window. Over all VMs that is the allowance
//! and the ratio of the mean of two windows' calls, wherever the callers went. No process needs to know what another one
//! has sent, so the bound holds for those that were just started, are cut off or were frozen.

use crate::{
    ids::ServiceName,
    units::{Millis, Time},
};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Part of what was earned in two windows that may be sent in one.
const EARNED_USE_RATIO: f64 = 0.5;

/// Part of the budget that is used. The rest is for retries that reach upstreams later than [`TRANSIT_MS`] after they
/// were sent: a VM may freeze, or a link hang, with the request on its way.
const BUDGET_USE_RATIO: f64 = 0.9;

/// Longest usual time from the sending of a retry to its arrival: that of opening a connection.
const TRANSIT_MS: Millis = Millis::new(500);

/// A daemon's part of the allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceShare {
    /// Number of daemons that have an equal part.
    pub daemons_len: usize,
    /// Since when it has earned its part.
    pub since: Time,
}

/// Use of a service's retry budget by one daemon, as it is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BudgetState {
    /// Calls that earned what is left.
    pub calls_len: usize,
    /// Retries that count.
    pub retries_len: usize,
    /// Retries that were granted and wait for an upstream.
    pub waiting_len: usize,
    /// Retries that may still be granted.
    pub left_len: usize,
    /// Number of daemons by which the allowance is divided; none if this daemon has no part of it.
    pub daemons_len: Option<usize>,
}

/// Calls and retries of one service, oldest first.
#[derive(Debug, Default)]
struct ServiceUse {
    calls: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Limits the retries of each service in a sliding window to a share of its calls, plus an allowance that is split evenly
/// among the daemons.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    allowance_requests: u32,
    window_ms: Millis,
    services: BTreeMap<ServiceName, ServiceUse>,
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
        self.current(now, service).calls.push_back(now);
    }

    /// Counts a retry that is sent now, if the budget has room for it. Returns false otherwise.
    pub fn take(
        &mut self,
        now: Time,
        service: &ServiceName,
        share: Option<AllowanceShare>,
    ) -> bool {
        let fits = self.state(now, service, share, 0).left_len > 0;
        if fits {
            self.current(now, service).retries.push_back(now);
        }
        fits
    }

    /// Returns a retry that was sent at `sent_at` and has not reached an upstream.
    pub fn refund(&mut self, service: &ServiceName, sent_at: Time) {
        let Some(used) = self.services.get_mut(service) else {
            return;
        };
        if let Some(index) = used.retries.iter().rposition(|at| *at == sent_at) {
            used.retries.remove(index);
        }
    }

    /// The use of a service's budget, beside `waiting_len` retries that were granted and are not sent yet.
    pub fn state(
        &mut self,
        now: Time,
        service: &ServiceName,
        share: Option<AllowanceShare>,
        waiting_len: usize,
    ) -> BudgetState {
        let (window_ms, ratio) = (self.window_ms, f64::from(self.percent) / 100.0);
        let allowance = f64::from(self.allowance_requests);
        let used = self.current(now, service);
        let earned_span_ms = window_ms.saturating_sub(TRANSIT_MS);
        let sendable = |first_at: Time| {
            let from = first_at - earned_span_ms;
            let calls_len = used.calls.len() - used.calls.partition_point(|at| *at < from);
            let by_time = share.map_or(0.0, |share| {
                let windows =
                    now.since(from.max(share.since)).get() as f64 / window_ms.get() as f64;
                allowance * windows / share.daemons_len.max(1) as f64
            });
            (calls_len as f64 * ratio + by_time) * EARNED_USE_RATIO * BUDGET_USE_RATIO
        };
        // Windows that begin with one of the retries are the tightest, and the one that begins now.
        let begun = used.retries.iter().enumerate();
        let begun = begun.map(|(index, at)| (*at, used.retries.len() - index));
        let left = begun
            .chain([(now, 0)])
            .map(|(first_at, sent_len)| sendable(first_at) - (sent_len + waiting_len) as f64)
            .fold(f64::INFINITY, f64::min);
        BudgetState {
            calls_len: used.calls.len(),
            retries_len: used.retries.len(),
            waiting_len,
            left_len: left.max(0.0) as usize,
            daemons_len: share.map(|share| share.daemons_len),
        }
    }

    /// What counts of a service at `now`.
    fn current(&mut self, now: Time, service: &ServiceName) -> &mut ServiceUse {
        let used = self.services.entry(service.clone()).or_default();
        let sent_after = now - (self.window_ms + TRANSIT_MS);
        let earned_after = sent_after - self.window_ms;
        drop_before(&mut used.retries, sent_after);
        drop_before(&mut used.calls, earned_after);
        used
    }
}

fn drop_before(times: &mut VecDeque<Time>, start: Time) {
    let old_len = times.partition_point(|at| *at < start);
    times.drain(..old_len);
}
