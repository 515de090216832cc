//! Faults under load: what became of the requests.

use super::{Bench, BenchSettings, FleetCounts, KeyCounts};
use crate::{caller::Balancer, measure::RunReport, LoadError};
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

/// A store that waits before each answer.
const SLOW_STORE: Fault = Fault::Slow {
    delay_ms: Millis::new(500),
    rate_ratio: 1.0,
};

/// A store whose next answers are lost after the write.
const LOST_ANSWERS: Fault = Fault::LoseAnswers { answers_count: 20 };

/// Longest wait for an engine to have a stream.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);

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
    parts: &ComponentSettings,
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
    parts: &ComponentSettings,
    case: FaultCase,
) -> Result<FaultRow, LoadError> {
    let mut bench = Bench::start(settings, parts)?;
    let quarter = settings.span_ms.duration() / 4;
    let arrivals = settings.arrivals();
    let calls = arrivals.iter().filter(|a| a.class().is_some()).count();
    let watched = bench.run(&arrivals, |fleet, balancer, start| {
        wait_until(start + quarter);
        let hit = Hit::begin(fleet, balancer, case)?;
        wait_until(start + 3 * quarter);
        hit.end(fleet, balancer, case)?;
        Ok(hit.ended_badly_vms)
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

/// What a fault hit.
#[derive(Debug, Default)]
struct Hit {
    engines: Vec<UpstreamId>,
    ended_badly_vms: usize,
}

impl Hit {
    /// Brings the fault about.
    fn begin(fleet: &mut Fleet, balancer: &Balancer, case: FaultCase) -> Result<Self, LoadError> {
        match case {
            FaultCase::None => {}
            FaultCase::EngineDies => return Self::engines(fleet, 1, &Fault::Die),
            FaultCase::EngineHangs => return Self::engines(fleet, 1, &Fault::Hang),
            FaultCase::EngineCold => return Self::engines(fleet, 1, &Fault::GoCold),
            FaultCase::HalfDie => {
                let half = fleet.engines.len() / 2;
                return Self::engines(fleet, half, &Fault::Die);
            }
            FaultCase::RollingRestart => {
                return Ok(Self {
                    ended_badly_vms: restart_all(fleet, balancer)?,
                    ..Self::default()
                });
            }
            FaultCase::DaemonKilled => {
                if let Some(vm) = fleet.daemons.keys().next().cloned() {
                    fleet.kill_daemon(&vm);
                }
            }
            FaultCase::DomainDrained => change(fleet, Intent::DrainDomain)?,
            FaultCase::StoreDown => fleet.platform.switch(&Fault::StoreDown)?,
            FaultCase::StoreSlow => fleet.platform.switch(&SLOW_STORE)?,
            FaultCase::AnswersLost => fleet.platform.switch(&LOST_ANSWERS)?,
        }
        Ok(Self::default())
    }

    /// Switches a fault at the engines that have the most streams.
    fn engines(fleet: &Fleet, count: usize, fault: &Fault) -> Result<Self, LoadError> {
        let until = Instant::now() + BUSY_TIMEOUT;
        let mut engines = busiest(fleet);
        while engines.first().is_some_and(|(streams, _)| *streams == 0) && Instant::now() < until {
            engines = busiest(fleet);
        }
        let engines = engines.into_iter().take(count).map(|(_, id)| id);
        let hit = Self {
            engines: engines.collect(),
            ended_badly_vms: 0,
        };
        hit.switch(fleet, fault)?;
        Ok(hit)
    }

    fn switch(&self, fleet: &Fleet, fault: &Fault) -> Result<(), LoadError> {
        for id in &self.engines {
            if let Some(engine) = fleet.engines.get(id) {
                engine.switch(fault)?;
            }
        }
        Ok(())
    }

    /// Ends the fault.
    fn end(
        &self,
        fleet: &mut Fleet,
        balancer: &Balancer,
        case: FaultCase,
    ) -> Result<(), LoadError> {
        match case {
            FaultCase::EngineDies | FaultCase::HalfDie => self.switch(fleet, &Fault::Revive),
            FaultCase::EngineHangs => self.switch(fleet, &Fault::Clear),
            FaultCase::StoreDown | FaultCase::StoreSlow | FaultCase::AnswersLost => {
                Ok(fleet.platform.switch(&Fault::Clear)?)
            }
            FaultCase::DaemonKilled => {
                for vm in fleet.missing_vms() {
                    fleet.replace_daemon(&vm)?;
                }
                balancer.set(fleet.callers());
                Ok(())
            }
            FaultCase::DomainDrained => change(fleet, Intent::ReturnDomain),
            FaultCase::None | FaultCase::EngineCold | FaultCase::RollingRestart => Ok(()),
        }
    }
}

/// The engines with their streams, those with the most first.
fn busiest(fleet: &Fleet) -> Vec<(u32, UpstreamId)> {
    let engines = fleet.engines.iter();
    let mut engines: Vec<_> = engines
        .map(|(id, engine)| (engine.counters().in_flight_requests, id.clone()))
        .collect();
    engines.sort_by(|(a, _), (b, _)| b.cmp(a));
    engines
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
