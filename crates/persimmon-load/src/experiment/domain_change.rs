//! A failure domain is drained and returned under load.

use super::{Bench, BenchSettings, FleetCounts, KeyCounts, Point, Timeline};
use crate::{
    errors::require,
    measure::{RunReport, SpanReport, Spans},
    LoadError,
};
use persimmon_core::{
    daemon::PartSettings,
    ids::FailureDomain,
    operator::{ConfirmReport, Intent, OperatorReply},
};
use persimmon_standin::demo::Fleet;
use serde::Serialize;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Changes of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangeReport {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The result of the run.
    pub report: RunReport,
    /// Requests that were answered neither whole nor by `not_run`.
    pub failed_requests: usize,
    /// The changes, in order.
    pub changes: Vec<DomainChange>,
    /// From `confirm` to its answer that says where the change is in force.
    pub in_force: SpanReport,
    /// From the confirmation of a drain to the last request taken in.
    pub last_start: SpanReport,
    /// What the stand-ins counted.
    pub counts: FleetCounts,
    /// Runs of idempotency keys.
    pub keys: KeyCounts,
    /// Rates over time.
    pub points: Vec<Point>,
}

/// One drain or return.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainChange {
    /// Whether the domain left.
    pub drained: bool,
    /// When the plan was asked for, from the start of the run.
    pub at_ms: f64,
    /// From then to the answer that says where the change is in force.
    pub in_force_ms: f64,
    /// Daemons where it is in force.
    pub in_force_vms: usize,
    /// Live daemons where it is not known to be.
    pub not_reached_vms: usize,
    /// From the start of the change to the last request taken in while drained; to the first
    /// one after a return.
    pub start_ms: Option<f64>,
}

/// Drains and returns `domain` in turn, `changes_count` times, under load.
///
/// # Errors
///
/// A deployment does not start, or a daemon refuses a change.
pub fn change_domain(
    settings: &BenchSettings,
    parts: &PartSettings,
    domain: &FailureDomain,
    changes_count: u32,
) -> Result<ChangeReport, LoadError> {
    let known = settings.deployment.domains.contains_key(domain);
    require(known, "domain", domain, "name one of the deployment")?;
    let mut bench = Bench::start(settings, parts)?;
    let pause = settings.span / (changes_count + 1);
    let watched = bench.run(&settings.arrivals(), |fleet, _, start| {
        let mut timeline = Timeline::default();
        let mut changes = Vec::new();
        for index in 0..=changes_count {
            let until = start + pause * (index + 1);
            if index > 0 {
                let (change, seen) = one_change(fleet, settings, domain, start, index % 2 == 1);
                changes.push(change?);
                timeline.append(seen);
            }
            timeline.watch(fleet, &settings.deployment, domain, start, until);
        }
        Ok((timeline, changes))
    })?;
    let (timeline, mut changes) = watched.seen;
    fill_starts(&mut changes, &timeline);
    let report = RunReport::new(&watched.samples, watched.system);
    let drains = changes.iter().filter(|change| change.drained);
    let change_report = ChangeReport {
        domain: domain.clone(),
        failed_requests: report.requests_count
            - report.whole_requests
            - report.refused_not_run_requests,
        in_force: changes
            .iter()
            .map(|c| c.in_force_ms)
            .collect::<Spans>()
            .report(),
        last_start: drains
            .filter_map(|c| c.start_ms)
            .collect::<Spans>()
            .report(),
        counts: bench.settle(),
        keys: bench.key_counts(&watched.samples),
        points: timeline.points(&watched.samples),
        report,
        changes,
    };
    bench.fleet.stop();
    Ok(change_report)
}

/// Makes one change, and watches the domain while the operator waits.
fn one_change(
    fleet: &Fleet,
    settings: &BenchSettings,
    domain: &FailureDomain,
    start: Instant,
    drain: bool,
) -> (Result<DomainChange, LoadError>, Timeline) {
    let mut timeline = Timeline::default();
    let change = thread::scope(|scope| {
        let asked = scope.spawn(|| ask(fleet, domain, start, drain));
        while !asked.is_finished() {
            let until = Instant::now() + Duration::from_millis(10);
            timeline.watch(fleet, &settings.deployment, domain, start, until);
        }
        asked.join()
    });
    let change = change.unwrap_or_else(|_| Err(panicked()));
    (change, timeline)
}

fn panicked() -> LoadError {
    LoadError::Setting {
        key: "thread",
        value: "panicked".into(),
        remedy: "report this",
    }
}

fn ask(
    fleet: &Fleet,
    domain: &FailureDomain,
    start: Instant,
    drain: bool,
) -> Result<DomainChange, LoadError> {
    let intent = match drain {
        true => Intent::DrainDomain(domain.clone()),
        false => Intent::ReturnDomain(domain.clone()),
    };
    let asked = Instant::now();
    let vm = fleet.daemons.keys().next_back();
    let vm = vm.ok_or(LoadError::Setting {
        key: "daemons_count",
        value: "0".into(),
        remedy: "give the deployment a daemon",
    })?;
    let reply = fleet.change(vm, intent)?;
    let confirmed = match reply {
        OperatorReply::Confirmed(report) => Some(report),
        _ => None,
    };
    let vms = |list: fn(&ConfirmReport) -> usize| confirmed.as_ref().map_or(0, list);
    Ok(DomainChange {
        drained: drain,
        at_ms: asked.saturating_duration_since(start).as_secs_f64() * 1e3,
        in_force_ms: asked.elapsed().as_secs_f64() * 1e3,
        in_force_vms: vms(|report| report.in_force.len()),
        not_reached_vms: vms(|report| report.not_reached.len()),
        start_ms: None,
    })
}

fn fill_starts(changes: &mut [DomainChange], timeline: &Timeline) {
    let next_ms: Vec<f64> = changes.iter().skip(1).map(|change| change.at_ms).collect();
    for (index, change) in changes.iter_mut().enumerate() {
        let to_ms = next_ms.get(index).copied().unwrap_or(f64::MAX);
        let at = match change.drained {
            true => timeline.last_start_ms(change.at_ms, to_ms),
            false => timeline.first_start_ms(change.at_ms),
        };
        change.start_ms = at.map(|at| at - change.at_ms);
    }
}

impl ChangeReport {
    /// The result as a few lines of text.
    pub fn table(&self) -> String {
        let mut text = self.report.table();
        for change in &self.changes {
            let kind = if change.drained { "drain" } else { "return" };
            text.push_str(&format!(
                "{kind:>6} at {:>6.0} ms: in force after {:.0} ms at {} VMs ({} not reached), {} \
                 start after {} ms\n",
                change.at_ms,
                change.in_force_ms,
                change.in_force_vms,
                change.not_reached_vms,
                if change.drained { "last" } else { "first" },
                change.start_ms.map_or("-".into(), |ms| format!("{ms:.0}")),
            ));
        }
        text.push_str(&format!(
            "failed {}; keys run twice {}, run though not_run {}; memory held {} bytes after {} ms\n",
            self.failed_requests,
            self.keys.run_twice_requests,
            self.keys.false_not_run_requests,
            self.counts.held_kv_bytes,
            self.counts.settled_ms,
        ));
        text
    }
}
