//! Requests started in one failure domain over time.

use crate::caller::Sample;
use persimmon_core::ids::FailureDomain;
use persimmon_standin::demo::{Deployment, Fleet};
use serde::Serialize;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Interval between two samples of the counters.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Width of the interval that one point of the plot covers, in milliseconds.
const POINT_MS: f64 = 250.0;

/// Requests started in one failure domain over time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Milliseconds from the start of the run, and how many requests the domain's upstreams had
    /// accepted by then.
    start_counts: Vec<(f64, u64)>,
}

/// Rates in one interval of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RatePoint {
    /// Start of the interval, from the start of the run.
    pub at_ms: f64,
    /// Complete responses per second.
    pub whole_per_s: f64,
    /// Requests per second that the domain's upstreams accepted.
    pub started_per_s: f64,
}

impl Timeline {
    /// Samples the counters of the domain's upstreams until an instant.
    pub fn sample_until(
        &mut self,
        fleet: &Fleet,
        deployment: &Deployment,
        domain: &FailureDomain,
        start: Instant,
        until: Instant,
    ) {
        while Instant::now() < until {
            let at_ms = Instant::now()
                .saturating_duration_since(start)
                .as_secs_f64()
                * 1e3;
            self.start_counts
                .push((at_ms, started_count(fleet, deployment, domain)));
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Appends the samples of a later timeline.
    pub fn append(&mut self, mut other: Self) {
        self.start_counts.append(&mut other.start_counts);
    }

    /// The last time in an interval at which the domain's upstreams accepted a request.
    pub fn last_start_ms(&self, from_ms: f64, to_ms: f64) -> Option<f64> {
        let steps = self.start_counts.windows(2);
        let increases = steps
            .filter(|step| step[1].1 > step[0].1)
            .map(|step| step[1].0);
        increases.rev().find(|at| (from_ms..to_ms).contains(at))
    }

    /// The first time from `from_ms` on at which the domain's upstreams accepted a request.
    pub fn first_start_ms(&self, from_ms: f64) -> Option<f64> {
        let steps = self.start_counts.windows(2);
        let mut increases = steps
            .filter(|step| step[1].1 > step[0].1)
            .map(|step| step[1].0);
        increases.find(|at| *at >= from_ms)
    }

    /// The rates over time. The complete responses are counted from `samples`.
    pub fn points(&self, samples: &[Sample]) -> Vec<RatePoint> {
        let end_ms = self.start_counts.last().map_or(0.0, |(at_ms, _)| *at_ms);
        let count = (end_ms / POINT_MS) as usize;
        let per_s = |count: f64| count * 1e3 / POINT_MS;
        let points = (0..count).map(|index| {
            let (from, to) = (index as f64 * POINT_MS, (index + 1) as f64 * POINT_MS);
            let ended = samples.iter().filter(|s| s.is_whole());
            let ended = ended.filter(|s| (from..to).contains(&(s.at_ms + s.end_ms)));
            RatePoint {
                at_ms: from,
                whole_per_s: per_s(ended.count() as f64),
                started_per_s: per_s(self.started_by(to) as f64 - self.started_by(from) as f64),
            }
        });
        points.collect()
    }

    fn started_by(&self, at_ms: f64) -> u64 {
        let index = self.start_counts.partition_point(|(at, _)| *at <= at_ms);
        let first = self.start_counts.first();
        let sample = index
            .checked_sub(1)
            .map_or(first, |i| self.start_counts.get(i));
        sample.map_or(0, |(_, count)| *count)
    }
}

fn started_count(fleet: &Fleet, deployment: &Deployment, domain: &FailureDomain) -> u64 {
    let slots = deployment.upstreams().unwrap_or_default();
    let of_domain = slots.iter().filter(|slot| slot.domain == *domain);
    let counts = of_domain.map(|slot| {
        let engine = fleet.engines.get(&slot.upstream);
        let server = fleet.servers.get(&slot.upstream);
        engine.map_or(0, |engine| engine.counters().started_requests)
            + server.map_or(0, |server| server.counters().run_requests)
    });
    counts.sum()
}
