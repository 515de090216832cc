//! Injects faults under load and reports the results of the requests.

use super::{ExperimentSettings, FleetCounts, IdempotencyCounts, Testbed};
use crate::{caller::LoadBalancer, measure::RunReport, LoadError};
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{FailureDomain, UpstreamId, VmId},
    operator::Intent,
    units::Millis,
};
use persimmon_standin::{demo::Fleet, faults::Fault};
use serde::{Deserialize, Serialize};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Delays each response of the store.
const SLOW_STORE: Fault = Fault::Slow {
    delay_ms: Millis::new(500),
    rate_ratio: 1.0,
};

/// Drops the next responses of the store after it has applied the writes.
const LOST_ANSWERS: Fault = Fault::LoseAnswers { answers_count: 20 };

/// Timeout for an engine to have a stream in flight, before a fault is injected.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);

/// A fault that is injected under load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCase {
    /// No fault: the baseline.
    None,
    /// An engine crashes in mid-stream and restarts.
    EngineDies,
    /// An engine hangs and resumes later.
    EngineHangs,
    /// Half of all engines, those with the most streams, crash and restart.
    HalfDie,
    /// An engine becomes cold without reporting it.
    EngineCold,
    /// The store rejects every call.
    StoreDown,
    /// The store responds slowly.
    StoreSlow,
    /// Responses of the store are lost after the write was applied.
    AnswersLost,
    /// All daemons are stopped gracefully and replaced, one after another.
    RollingRestart,
    /// A daemon is killed and replaced later.
    DaemonKilled,
    /// A failure domain is drained and returned.
    DomainDrained,
}

/// Results of the run with one fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultReport {
    /// The fault.
    pub case: FaultCase,
    /// The result of the run.
    pub report: RunReport,
    /// Streams that engines accepted per model request.
    pub attempts_ratio: f64,
    /// Counters of the stand-ins once the engines are idle, or after the timeout of
    /// [`Testbed::wait_until_idle`].
    pub counts: FleetCounts,
    /// Runs of idempotency keys, compared with the results that callers received.
    pub keys: IdempotencyCounts,
    /// Daemons that did not shut down cleanly when asked to stop.
    pub ended_badly_vms: usize,
}

impl FaultCase {
    /// All faults, in the order in which they run by default.
    pub const ALL: [Self; 11] = [
        Self::None,
        Self::EngineDies,
        Self::EngineHangs,
        Self::HalfDie,
        Self::EngineCold,
        Self::StoreDown,
        Self::StoreSlow,
        Self::AnswersLost,
        Self::RollingRestart,
        Self::DaemonKilled,
        Self::DomainDrained,
    ];
}

/// Runs each fault on a fresh deployment. A fault is injected after a quarter of the run and
/// cleared after three quarters.
///
/// # Errors
///
/// A deployment fails to start, or a stand-in rejects the fault.
pub fn faults(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    cases: &[FaultCase],
) -> Result<Vec<FaultReport>, LoadError> {
    let rows = cases.iter().map(|case| {
        let row = run_case(settings, components, *case)?;
        eprint!("{}", row.line());
        Ok(row)
    });
    rows.collect()
}

fn run_case(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    case: FaultCase,
) -> Result<FaultReport, LoadError> {
    let mut testbed = Testbed::start(settings, components)?;
    let quarter = settings.duration_ms.duration() / 4;
    let arrivals = settings.arrivals();
    let model_calls_count = arrivals.iter().filter(|a| a.class().is_some()).count();
    let output = testbed.run(&arrivals, |fleet, balancer, start| {
        wait_until(start + quarter);
        let active = ActiveFault::inject(fleet, balancer, case)?;
        wait_until(start + 3 * quarter);
        active.clear(fleet, balancer, case)?;
        Ok(active.ended_badly_vms)
    })?;
    let counts = testbed.wait_until_idle();
    let row = FaultReport {
        case,
        attempts_ratio: counts.started_requests as f64 / model_calls_count.max(1) as f64,
        counts,
        keys: testbed.idempotency_counts(&output.samples),
        ended_badly_vms: output.action_output,
        report: output.report(),
    };
    testbed.fleet.stop();
    Ok(row)
}

fn wait_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

/// A fault that has been injected.
#[derive(Debug, Default)]
struct ActiveFault {
    engines: Vec<UpstreamId>,
    ended_badly_vms: usize,
}

impl ActiveFault {
    /// Injects the fault.
    fn inject(
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        case: FaultCase,
    ) -> Result<Self, LoadError> {
        match case {
            FaultCase::None => {}
            FaultCase::EngineDies => return Self::inject_at_busiest(fleet, 1, &Fault::Die),
            FaultCase::EngineHangs => return Self::inject_at_busiest(fleet, 1, &Fault::Hang),
            FaultCase::EngineCold => return Self::inject_at_busiest(fleet, 1, &Fault::GoCold),
            FaultCase::HalfDie => {
                let half = fleet.engines.len() / 2;
                return Self::inject_at_busiest(fleet, half, &Fault::Die);
            }
            FaultCase::RollingRestart => {
                return Ok(Self {
                    ended_badly_vms: restart_all_daemons(fleet, balancer)?,
                    ..Self::default()
                });
            }
            FaultCase::DaemonKilled => {
                if let Some(vm) = fleet.daemons.keys().next().cloned() {
                    fleet.kill_daemon(&vm);
                }
            }
            FaultCase::DomainDrained => change_first_domain(fleet, Intent::DrainDomain)?,
            FaultCase::StoreDown => fleet.platform.inject(&Fault::StoreDown)?,
            FaultCase::StoreSlow => fleet.platform.inject(&SLOW_STORE)?,
            FaultCase::AnswersLost => fleet.platform.inject(&LOST_ANSWERS)?,
        }
        Ok(Self::default())
    }

    /// Injects a fault at the engines with the most streams in flight.
    fn inject_at_busiest(fleet: &Fleet, count: usize, fault: &Fault) -> Result<Self, LoadError> {
        let until = Instant::now() + BUSY_TIMEOUT;
        let mut engines = engines_by_load(fleet);
        while engines.first().is_some_and(|(streams, _)| *streams == 0) && Instant::now() < until {
            engines = engines_by_load(fleet);
        }
        let engines = engines.into_iter().take(count).map(|(_, id)| id);
        let active = Self {
            engines: engines.collect(),
            ended_badly_vms: 0,
        };
        active.apply(fleet, fault)?;
        Ok(active)
    }

    fn apply(&self, fleet: &Fleet, fault: &Fault) -> Result<(), LoadError> {
        for id in &self.engines {
            if let Some(engine) = fleet.engines.get(id) {
                engine.inject(fault)?;
            }
        }
        Ok(())
    }

    /// Clears the fault, if it can be cleared.
    fn clear(
        &self,
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        case: FaultCase,
    ) -> Result<(), LoadError> {
        match case {
            FaultCase::EngineDies | FaultCase::HalfDie => self.apply(fleet, &Fault::Revive),
            FaultCase::EngineHangs => self.apply(fleet, &Fault::Clear),
            FaultCase::StoreDown | FaultCase::StoreSlow | FaultCase::AnswersLost => {
                Ok(fleet.platform.inject(&Fault::Clear)?)
            }
            FaultCase::DaemonKilled => {
                for vm in fleet.missing_vms() {
                    fleet.replace_daemon(&vm)?;
                }
                balancer.set_daemons(fleet.caller_addresses());
                Ok(())
            }
            FaultCase::DomainDrained => change_first_domain(fleet, Intent::ReturnDomain),
            FaultCase::None | FaultCase::EngineCold | FaultCase::RollingRestart => Ok(()),
        }
    }
}

/// The engines with their numbers of streams in flight, in descending order.
fn engines_by_load(fleet: &Fleet) -> Vec<(u32, UpstreamId)> {
    let engines = fleet.engines.iter();
    let mut engines: Vec<_> = engines
        .map(|(id, engine)| (engine.counters().in_flight_requests, id.clone()))
        .collect();
    engines.sort_by(|(a, _), (b, _)| b.cmp(a));
    engines
}

fn restart_all_daemons(fleet: &mut Fleet, balancer: &LoadBalancer) -> Result<usize, LoadError> {
    let vms: Vec<VmId> = fleet.daemons.keys().cloned().collect();
    let mut unclean_exits_vms = 0;
    for vm in vms {
        if !fleet.restart_daemon(&vm)? {
            unclean_exits_vms += 1;
        }
        balancer.set_daemons(fleet.caller_addresses());
    }
    Ok(unclean_exits_vms)
}

fn change_first_domain(
    fleet: &Fleet,
    intent: fn(FailureDomain) -> Intent,
) -> Result<(), LoadError> {
    let domain = fleet.domains().into_iter().next();
    if let (Some(domain), Some(vm)) = (domain, fleet.daemons.keys().next_back()) {
        fleet.apply_intent(vm, intent(domain))?;
    }
    Ok(())
}

impl FaultReport {
    /// Formats the results as one line, then one line for each way in which requests failed.
    pub fn line(&self) -> String {
        let report = &self.report;
        let name = format!("{:?}", self.case);
        let mut text = format!(
            "{name:<15} {:>5} requests {:>5} whole {:>4} not_run {:>3} unknown {:>3} cut off {:>3} \
             lost {:>3} wrong {:>3} twice {:>3} false not_run; held {} bytes after {} ms; {:.3} \
             attempts per request; {} unclean exits\n",
            report.requests_count,
            report.whole_requests,
            report.refused_not_run_requests,
            report.refused_unknown_requests,
            report.cut_off_requests,
            report.lost_requests,
            report.wrong_requests,
            self.keys.run_twice_requests,
            self.keys.false_not_run_requests,
            self.counts.held_kv_bytes,
            self.counts.settled_ms,
            self.attempts_ratio,
            self.ended_badly_vms,
        );
        for (end, count) in &report.ends {
            text.push_str(&format!("    {count} {end}\n"));
        }
        text
    }
}
