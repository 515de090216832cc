//! Drains and returns a failure domain under load.

use super::{ExperimentSettings, FleetCounts, IdempotencyCounts, RatePoint, Testbed, Timeline};
use crate::{
    errors::require,
    measure::{DurationHistogram, Percentiles, RunReport},
    LoadError,
};
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{FailureDomain, Generation, VmId},
    operator::{Intent, OperatorCommand, OperatorReply},
    units::Millis,
};
use persimmon_standin::demo::Fleet;
use persimmonctl::client::OperatorClient;
use serde::Serialize;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Timeout for a daemon to apply a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two status queries to a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Results of a run with drains and returns.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainChangeReport {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The result of the run.
    pub report: RunReport,
    /// Requests that got neither a complete response nor a `not_run` refusal.
    pub failed_requests: usize,
    /// The changes in chronological order.
    pub changes: Vec<DomainChange>,
    /// Time from the plan until each daemon reports that it applies the change.
    pub applied: Percentiles,
    /// Time from the plan of a drain to the last request that the domain accepted; zero if it
    /// accepted none after the plan.
    pub last_start: Percentiles,
    /// Counters of the stand-ins after the run.
    pub counts: FleetCounts,
    /// Runs of idempotency keys, compared with the results that callers received.
    pub keys: IdempotencyCounts,
    /// Rates over time.
    pub points: Vec<RatePoint>,
}

/// One drain or return.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainChange {
    /// Whether the change is a drain; otherwise it is a return.
    pub drained: bool,
    /// When the plan was requested, from the start of the run.
    pub at_ms: f64,
    /// How long `confirm` reports to have waited for the daemons.
    pub reported_ms: Millis,
    /// Live daemons that, as far as `confirm` knows, don't apply the change.
    pub not_reached_vms: usize,
    /// Time from the plan until each daemon reports that it applies the change.
    pub applied_ms: Vec<f64>,
    /// Daemons that did not report the change before the timeout.
    pub never_applied_vms: usize,
    /// After a drain, time from the change to the last request that the domain accepted before the
    /// next change; after a return, time from the change to the first request.
    pub start_ms: Option<f64>,
}

/// Makes `changes_count` changes to `domain` under load, drains and returns alternating.
///
/// # Errors
///
/// A deployment fails to start, or a daemon refuses a change.
pub fn change_domain(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    domain: &FailureDomain,
    changes_count: u32,
) -> Result<DomainChangeReport, LoadError> {
    let is_deployed = settings.deployment.domains.contains_key(domain);
    require(
        is_deployed,
        "domain",
        domain,
        "give a failure domain of the deployment",
    )?;
    let mut testbed = Testbed::start(settings, components)?;
    let interval = settings.duration_ms.duration() / (changes_count + 1);
    let output = testbed.run(&settings.arrivals(), |fleet, _, start| {
        let mut timeline = Timeline::default();
        let mut changes = Vec::new();
        for index in 0..=changes_count {
            let until = start + interval * (index + 1);
            if index > 0 {
                let (change, change_timeline) =
                    change_while_sampling(fleet, settings, domain, start, index % 2 == 1);
                changes.push(change?);
                timeline.append(change_timeline);
            }
            timeline.sample_until(fleet, &settings.deployment, domain, start, until);
        }
        Ok((timeline, changes))
    })?;
    let (timeline, mut changes) = output.action_output;
    fill_start_times(&mut changes, &timeline);
    let report = RunReport::new(&output.samples, output.system);
    let drains = changes.iter().filter(|change| change.drained);
    let change_report = DomainChangeReport {
        domain: domain.clone(),
        failed_requests: report.requests_count
            - report.whole_requests
            - report.refused_not_run_requests,
        applied: changes
            .iter()
            .flat_map(|change| change.applied_ms.clone())
            .collect::<DurationHistogram>()
            .report(),
        last_start: drains
            .map(|change| change.start_ms.unwrap_or(0.0))
            .collect::<DurationHistogram>()
            .report(),
        counts: testbed.wait_until_idle(),
        keys: testbed.idempotency_counts(&output.samples),
        points: timeline.points(&output.samples),
        report,
        changes,
    };
    testbed.fleet.stop();
    Ok(change_report)
}

/// Makes one change and samples the domain until the operator's call returns.
fn change_while_sampling(
    fleet: &Fleet,
    settings: &ExperimentSettings,
    domain: &FailureDomain,
    start: Instant,
    drain: bool,
) -> (Result<DomainChange, LoadError>, Timeline) {
    let mut timeline = Timeline::default();
    let change = thread::scope(|scope| {
        let operator = scope.spawn(|| apply_change(fleet, domain, start, drain));
        while !operator.is_finished() {
            let until = Instant::now() + POLL_INTERVAL;
            timeline.sample_until(fleet, &settings.deployment, domain, start, until);
        }
        operator.join()
    });
    let change = change.unwrap_or_else(|_| Err(thread_panicked()));
    (change, timeline)
}

fn thread_panicked() -> LoadError {
    LoadError::Setting {
        key: "thread",
        value: "panicked".into(),
        remedy: "report this as a bug in persimmon-load",
    }
}

fn apply_change(
    fleet: &Fleet,
    domain: &FailureDomain,
    start: Instant,
    drain: bool,
) -> Result<DomainChange, LoadError> {
    let intent = match drain {
        true => Intent::DrainDomain(domain.clone()),
        false => Intent::ReturnDomain(domain.clone()),
    };
    let vm = fleet.daemons.keys().next_back().ok_or(LoadError::Setting {
        key: "daemons_count",
        value: "0".into(),
        remedy: "give the deployment a daemon",
    })?;
    let before = applied_generation(fleet, vm).unwrap_or_default();
    let requested_at = Instant::now();
    let (reply, applied_ms) = thread::scope(|scope| {
        let pollers = fleet.daemons.keys().map(|vm| {
            let poller = move || wait_applied_ms(fleet, vm, before, requested_at);
            scope.spawn(poller)
        });
        let pollers: Vec<_> = pollers.collect();
        let reply = fleet.apply_intent(vm, intent);
        let applied = pollers
            .into_iter()
            .map(|poller| poller.join().ok().flatten());
        (reply, applied.collect::<Vec<_>>())
    });
    let (reported_ms, not_reached_vms) = match reply? {
        OperatorReply::Confirmed(report) => (report.waited_ms, report.not_reached.len()),
        _ => (Millis::ZERO, fleet.daemons.len()),
    };
    Ok(DomainChange {
        drained: drain,
        at_ms: ms(requested_at.saturating_duration_since(start)),
        reported_ms,
        not_reached_vms,
        never_applied_vms: applied_ms.iter().filter(|ms| ms.is_none()).count(),
        applied_ms: applied_ms.into_iter().flatten().collect(),
        start_ms: None,
    })
}

/// Time from `requested_at` until a daemon reports a generation above `before`; `None` after a
/// timeout.
fn wait_applied_ms(
    fleet: &Fleet,
    vm: &VmId,
    before: Generation,
    requested_at: Instant,
) -> Option<f64> {
    while requested_at.elapsed() < APPLY_TIMEOUT {
        if applied_generation(fleet, vm).is_some_and(|generation| generation > before) {
            return Some(ms(requested_at.elapsed()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

fn applied_generation(fleet: &Fleet, vm: &VmId) -> Option<Generation> {
    match fleet.operator_client(vm)?.send(&OperatorCommand::Status) {
        Ok(OperatorReply::Status(status)) => Some(status.generation),
        _ => None,
    }
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn fill_start_times(changes: &mut [DomainChange], timeline: &Timeline) {
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

impl DomainChangeReport {
    /// Formats the result as a few lines of text.
    pub fn table(&self) -> String {
        let mut text = self.report.table();
        for change in &self.changes {
            let action = if change.drained { "drain" } else { "return" };
            let last_ms = change.applied_ms.iter().copied().fold(0.0, f64::max);
            text.push_str(&format!(
                "{action:>6} at {:>6.0} ms: applied by {} daemons within {last_ms:.0} ms, {} never; \
                 confirm waited {}, {} not reached; {} request started after {} ms\n",
                change.at_ms,
                change.applied_ms.len(),
                change.never_applied_vms,
                change.reported_ms,
                change.not_reached_vms,
                if change.drained { "last" } else { "first" },
                change.start_ms.map_or("-".into(), |ms| format!("{ms:.0}")),
            ));
        }
        text.push_str(&format!(
            "failed {}; keys run twice {}, run though not_run {}; KV memory held {} bytes after {} ms\n",
            self.failed_requests,
            self.keys.run_twice_requests,
            self.keys.false_not_run_requests,
            self.counts.held_kv_bytes,
            self.counts.settled_ms,
        ));
        text
    }
}
