//! Runs soaks, one seed after the other.

use crate::{
    caller::{Balancer, LoadGenerator, LoadProfile},
    fault::{inject, schedule, ScheduledFault},
    history::{Clock, History, IndexedHistory},
    invariant::{violations, Violation},
    testbed::{DaemonLimits, Deployment, DeploymentSize, DispatchOptions},
    SoakError,
};
use argh::FromArgs;
use persimmon_core::units::Millis;
use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};
use tokio::{
    runtime::Builder,
    time::{sleep, sleep_until, Instant},
};

/// Interval at which the invariants are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Time from the last fault to the end of the load, by which callers must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(18);

/// Time from the end of the load to the final check, for the last answers.
const FINAL_ANSWERS_TIME: Duration = Duration::from_secs(11);

/// Time from the request to stop until a daemon exits (`graceS` of the sites).
const GRACE_S: f64 = 8.0;

/// Run gateways under seeded faults, and check what callers and upstreams observe.
#[derive(Clone, Debug, FromArgs)]
pub struct SoakArgs {
    /// the gateway's program
    #[argh(
        option,
        default = "PathBuf::from(\"target/release/persimmon-gateway\")"
    )]
    pub program: PathBuf,
    /// folder for settings and logs, with a subfolder per seed
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    pub folder: PathBuf,
    /// first seed
    #[argh(option, long = "seed", default = "1")]
    pub first_seed: u64,
    /// number of seeds to run
    #[argh(option, long = "seeds", default = "1")]
    pub seeds_count: u64,
    /// time with faults, in seconds
    #[argh(option, long = "seconds", default = "30")]
    pub faults_s: u64,
    /// number of gateways
    #[argh(option, long = "daemons", default = "6")]
    pub daemons_len: usize,
    /// number of model engines
    #[argh(option, long = "engines", default = "9")]
    pub engines_len: usize,
    /// number of plain servers
    #[argh(option, long = "desks", default = "3")]
    pub servers_len: usize,
    /// number of callers
    #[argh(option, long = "callers", default = "24")]
    pub callers_len: usize,
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent.
    pub requests_len: usize,
    /// Requests with a complete answer.
    pub complete_len: usize,
    /// Requests that may run once at most.
    pub run_once_len: usize,
    /// Faults injected.
    pub faults_len: usize,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs all seeds and prints the results. Fails where an invariant was violated.
pub fn run(args: &SoakArgs) -> ExitCode {
    let mut failed = false;
    for seed in args.first_seed..args.first_seed + args.seeds_count {
        match soak(args, seed) {
            Ok(report) => {
                failed |= !report.violations.is_empty();
                println!(
                    "seed {seed}: {} faults, {} of {} requests served whole, {} that may run once, {} breaches",
                    report.faults_len,
                    report.complete_len,
                    report.requests_len,
                    report.run_once_len,
                    report.violations.len()
                );
                for violation in &report.violations {
                    println!("  {violation}");
                }
            }
            Err(error) => {
                eprintln!("persimmon-soak: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::from(u8::from(failed))
}

/// Runs one seed.
///
/// # Errors
///
/// The deployment could not be started, a result file could not be written, or a fault task panicked.
pub fn soak(args: &SoakArgs, seed: u64) -> Result<SoakReport, SoakError> {
    let folder = args.folder.join(format!("seed-{seed}"));
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_seed(args, seed, &folder));
    runtime.shutdown_background();
    report
}

async fn run_seed(args: &SoakArgs, seed: u64, folder: &Path) -> Result<SoakReport, SoakError> {
    let history = History::new(Clock::start());
    let size = DeploymentSize {
        daemons_len: args.daemons_len,
        engines_len: args.engines_len,
        servers_len: args.servers_len,
        dispatch: DispatchOptions { grace_s: GRACE_S },
        limits: DaemonLimits::default(),
    };
    let deployment = Arc::new(Deployment::start(size, &args.program, folder, &history).await?);
    let balancer = Balancer::start(&deployment.daemons);
    let scheduled_faults = schedule(seed, Duration::from_secs(args.faults_s));
    write_schedule(folder, &scheduled_faults)?;
    let profile = LoadProfile {
        callers_len: args.callers_len,
        think_time_ms: Millis::new(400),
    };
    let load = LoadGenerator::start(seed, profile, &balancer, &deployment.catalog, &history);
    let started_at = Instant::now();
    let injections: Vec<_> = scheduled_faults
        .iter()
        .map(|scheduled| {
            tokio::spawn(inject_at(
                started_at,
                Arc::clone(&deployment),
                history.clone(),
                *scheduled,
            ))
        })
        .collect();
    let load_time = Duration::from_secs(args.faults_s) + RECOVERY_TIME;
    let found = check_until(&history, started_at + load_time).await;
    for injection in injections {
        // A panic in a fault task is a bug of the soak itself and must fail the run.
        injection.await.map_err(std::io::Error::other)?;
    }
    load.stop();
    if found.is_empty() {
        sleep(FINAL_ANSWERS_TIME).await;
    }
    let report = final_report(&history, seed, scheduled_faults.len());
    for daemon in &deployment.daemons {
        daemon.shut_down();
    }
    write_history(folder, &history)?;
    Ok(report)
}

async fn inject_at(
    started_at: Instant,
    deployment: Arc<Deployment>,
    history: History,
    scheduled: ScheduledFault,
) {
    sleep_until(started_at + scheduled.at_ms.duration()).await;
    inject(deployment, history, scheduled).await;
}

/// Checks the invariants until `until`. Returns at the first violation.
async fn check_until(history: &History, until: Instant) -> Vec<Violation> {
    while Instant::now() < until {
        sleep(CHECK_INTERVAL).await;
        let found = violations(&IndexedHistory::new(
            history.clock().now(),
            history.observations(),
        ));
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

fn final_report(history: &History, seed: u64, faults_len: usize) -> SoakReport {
    let indexed = IndexedHistory::new(history.clock().now(), history.observations());
    let complete = indexed
        .requests
        .iter()
        .filter(|request| request.is_served());
    SoakReport {
        seed,
        requests_len: indexed.requests.len(),
        complete_len: complete.count(),
        run_once_len: indexed
            .requests
            .iter()
            .filter(|request| !request.kind.repeatable())
            .count(),
        faults_len,
        violations: violations(&indexed),
    }
}

fn write_schedule(folder: &Path, scheduled_faults: &[ScheduledFault]) -> Result<(), SoakError> {
    let lines: Vec<_> = scheduled_faults
        .iter()
        .map(|scheduled| format!("{scheduled:?}\n"))
        .collect();
    Ok(fs::write(folder.join("faults.txt"), lines.concat())?)
}

fn write_history(folder: &Path, history: &History) -> Result<(), SoakError> {
    let observations = history.observations();
    let lines: Vec<_> = observations
        .iter()
        .map(|(at, observation)| format!("{at:?} {observation:?}\n"))
        .collect();
    Ok(fs::write(folder.join("history.txt"), lines.concat())?)
}
