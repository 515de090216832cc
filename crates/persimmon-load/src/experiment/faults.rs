//! Faults under load: what became of the requests.

use super::{Bench, BenchSettings, FleetCounts, KeyCounts};
use crate::{caller::Balancer, measure::RunReport, LoadError};
use persimmon_core::{
    daemon::PartSettings,
    ids::{FailureDomain, VmId},
    operator::Intent,
    units::Millis,
};
use persimmon_standin::{demo::Fleet, faults::Fault};
use serde::{Deserialize, Serialize};
use std::{thread, time::Instant};

/// Wait before each answer of a slow store.
const SLOW_STORE_MS: Millis = Millis::new(500);

/// A fault that is brought about under load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCase {
    /// None, for comparison.
    None,
    /// An engine dies in mid-stream and comes back.
    EngineDies,
    /// An engine hangs and goes on later.
    EngineHangs,
    /// Half of the engines of each failure domain die and come back.
    HalfDie,
    /// An engine turns cold without a word.
    EngineCold,
    /// The store refuses every call.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store's answers are lost after the write.
    AnswersLost,
    /// Each daemon is stopped gracefully and replaced, in turn.
    RollingRestart,
    /// A daemon is killed, and replaced later.
    DaemonKilled,
    /// A failure domain is drained and returned.
    DomainDrained,
}

/// What became of the requests of one fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultRow {
    /// The fault.
    pub case: FaultCase,
    /// The result of the run.
    pub report: RunReport,
    /// Streams that engines took in for each model request made.
    pub attempts_ratio: f64,
    /// What the stand-ins counted, a lease after the run at the latest.
    pub counts: FleetCounts,
    /// Runs of idempotency keys.
    pub keys: KeyCounts,
    /// Daemons that did not end well when they were asked to stop.
    pub ended_badly_vms: usize,
}

impl FaultCase {
    /// All faults.
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

/// Runs each fault on a fresh deployment: it comes after a quarter of the run and ends after
/// three quarters.
///
/// # Errors
///
/// A deployment does not start, or does not take the fault.
pub fn faults(
    settings: &BenchSettings,
    parts: &PartSettings,
    cases: &[FaultCase],
) -> Result<Vec<FaultRow>, LoadError> {
    let rows = cases.iter().map(|case| {
        let row = one_fault(settings, parts, *case)?;
        eprint!("{}", row.line());
        Ok(row)
    });
    rows.collect()
}

fn one_fault(
    settings: &BenchSettings,
    parts: &PartSettings,
    case: FaultCase,
) -> Result<FaultRow, LoadError> {
    let mut bench = Bench::start(settings, parts)?;
    let quarter = settings.span / 4;
    let arrivals = settings.arrivals();
    let calls = arrivals.iter().filter(|a| a.class().is_some()).count();
    let watched = bench.run(&arrivals, |fleet, balancer, start| {
        wait_until(start + quarter);
        let ended_badly = begin(fleet, balancer, case)?;
        wait_until(start + 3 * quarter);
        end(fleet, balancer, case)?;
        Ok(ended_badly)
    })?;
    let counts = bench.settle();
    let row = FaultRow {
        case,
        attempts_ratio: counts.started_requests as f64 / calls.max(1) as f64,
        counts,
        keys: bench.key_counts(&watched.samples),
        ended_badly_vms: watched.seen,
        report: watched.report(),
    };
    bench.fleet.stop();
    Ok(row)
}

fn wait_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

/// Brings the fault about; gives how many daemons ended badly.
fn begin(fleet: &mut Fleet, balancer: &Balancer, case: FaultCase) -> Result<usize, LoadError> {
    match case {
        FaultCase::None => {}
        FaultCase::EngineDies => switch_engines(fleet, 1, &Fault::Die)?,
        FaultCase::EngineHangs => switch_engines(fleet, 1, &Fault::Hang)?,
        FaultCase::HalfDie => switch_engines(fleet, half(fleet), &Fault::Die)?,
        FaultCase::EngineCold => switch_engines(fleet, 1, &Fault::GoCold)?,
        FaultCase::StoreDown => fleet.platform.switch(&Fault::StoreDown)?,
        FaultCase::StoreSlow => fleet.platform.switch(&Fault::Slow {
            delay_ms: SLOW_STORE_MS,
            rate_ratio: 1.0,
        })?,
        FaultCase::AnswersLost => fleet
            .platform
            .switch(&Fault::LoseAnswers { answers_count: 20 })?,
        FaultCase::RollingRestart => return restart_all(fleet, balancer),
        FaultCase::DaemonKilled => {
            if let Some(vm) = victim(fleet) {
                fleet.kill_daemon(&vm);
            }
        }
        FaultCase::DomainDrained => change(fleet, Intent::DrainDomain)?,
    }
    Ok(0)
}

/// Ends the fault.
fn end(fleet: &mut Fleet, balancer: &Balancer, case: FaultCase) -> Result<(), LoadError> {
    match case {
        FaultCase::EngineDies => switch_engines(fleet, 1, &Fault::Revive),
        FaultCase::HalfDie => switch_engines(fleet, half(fleet), &Fault::Revive),
        FaultCase::EngineHangs => switch_engines(fleet, 1, &Fault::Clear),
        FaultCase::StoreDown | FaultCase::StoreSlow | FaultCase::AnswersLost => {
            Ok(fleet.platform.switch(&Fault::Clear)?)
        }
        FaultCase::DaemonKilled => {
            let gone = fleet.missing_vms();
            for vm in gone {
                fleet.replace_daemon(&vm)?;
            }
            balancer.set(fleet.callers());
            Ok(())
        }
        FaultCase::DomainDrained => change(fleet, Intent::ReturnDomain),
        FaultCase::None | FaultCase::EngineCold | FaultCase::RollingRestart => Ok(()),
    }
}

fn half(fleet: &Fleet) -> usize {
    fleet.engines.len() / 2
}

/// Switches a fault at engines that are spread over the failure domains.
fn switch_engines(fleet: &Fleet, count: usize, fault: &Fault) -> Result<(), LoadError> {
    let step = fleet.engines.len() / count.max(1);
    for engine in fleet.engines.values().step_by(step.max(1)).take(count) {
        engine.switch(fault)?;
    }
    Ok(())
}

fn victim(fleet: &Fleet) -> Option<VmId> {
    fleet.daemons.keys().next().cloned()
}

fn restart_all(fleet: &mut Fleet, balancer: &Balancer) -> Result<usize, LoadError> {
    let vms: Vec<VmId> = fleet.daemons.keys().cloned().collect();
    let mut ended_badly = 0;
    for vm in vms {
        if !fleet.restart_daemon(&vm)? {
            ended_badly += 1;
        }
        balancer.set(fleet.callers());
    }
    Ok(ended_badly)
}

fn change(fleet: &Fleet, intent: fn(FailureDomain) -> Intent) -> Result<(), LoadError> {
    let domain = fleet.domains().into_iter().next();
    if let (Some(domain), Some(vm)) = (domain, fleet.daemons.keys().next_back()) {
        fleet.change(vm, intent(domain))?;
    }
    Ok(())
}

impl FaultRow {
    /// The row as a line of text, then how its requests ended.
    pub fn line(&self) -> String {
        let report = &self.report;
        let name = format!("{:?}", self.case);
        let mut text = format!(
            "{name:<15} {:>5} requests {:>5} whole {:>4} not_run {:>3} unknown {:>3} cut off {:>3} \
             lost {:>3} wrong {:>3} twice {:>3} false not_run; held {} bytes after {} ms; {:.3} \
             attempts a request; {} ended badly\n",
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
