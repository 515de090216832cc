//! Cost of the control plane by number of daemons and upstreams.

use super::{ExperimentSettings, FleetCounts};
use crate::{measure::thread_cpu_times, LoadError};
use persimmon_core::daemon::ComponentSettings;
use persimmon_standin::demo::{Deployment, DeploymentFields, Fleet};
use serde::Serialize;
use std::{
    fmt::Write,
    thread,
    time::{Duration, Instant},
};

/// Delay before the measurement, until the start-up activity of a new deployment has ended.
const STARTUP_DELAY: Duration = Duration::from_secs(4);

/// Cost of idle deployments of several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ControlCostReport {
    /// One row per size.
    pub rows: Vec<ControlCostRow>,
}

/// Cost of one idle deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ControlCostRow {
    /// Number of daemons.
    pub daemons_count: usize,
    /// Number of upstreams.
    pub upstreams_count: usize,
    /// Duration of the measurement.
    pub span_ms: u64,
    /// Fraction of a core that one daemon's control thread uses.
    pub control_core_ratio: f64,
    /// Fraction of a core that one daemon's peer link uses.
    pub link_core_ratio: f64,
    /// Bytes per second of UDP payload that one daemon sends to its peers.
    pub peer_bytes_per_s: f64,
    /// Store reads per second by one daemon.
    pub store_reads_per_s: f64,
    /// Store writes per second by one daemon.
    pub store_writes_per_s: f64,
    /// Resident memory of the whole process: all daemons and stand-ins together.
    pub process_bytes: u64,
}

/// Measures idle deployments with the given numbers of daemons and engines per failure domain.
///
/// # Errors
///
/// A deployment fails to start, or `/proc` can't be read.
pub fn control_cost(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    sizes: &[(u32, u32)],
) -> Result<ControlCostReport, LoadError> {
    let rows = sizes.iter().map(|(daemons_count, engines_count)| {
        let deployment = resize(&settings.deployment, *daemons_count, *engines_count)?;
        let row = measure(&deployment, components, settings.duration_ms.duration())?;
        eprintln!("{}", row.line());
        Ok(row)
    });
    let rows: Result<Vec<ControlCostRow>, LoadError> = rows.collect();
    Ok(ControlCostReport { rows: rows? })
}

fn resize(base: &Deployment, daemons: u32, engines: u32) -> Result<Deployment, LoadError> {
    let mut fields: DeploymentFields = (**base).clone();
    for domain in fields.domains.values_mut() {
        domain.daemons_count = daemons;
        domain.engines_count.values_mut().for_each(|c| *c = engines);
    }
    Ok(Deployment::try_from(fields)?)
}

fn measure(
    deployment: &Deployment,
    components: &ComponentSettings,
    duration: Duration,
) -> Result<ControlCostRow, LoadError> {
    let fleet = Fleet::start(deployment, components)?;
    thread::sleep(STARTUP_DELAY);
    let (before, counts_before) = (thread_cpu_times()?, FleetCounts::of(&fleet, Duration::ZERO));
    let (sent_bytes_before, start) = (fleet.peer_sent_bytes(), Instant::now());
    thread::sleep(duration);
    let after = thread_cpu_times()?;
    let (duration, daemons) = (start.elapsed(), fleet.daemons.len() as f64);
    let counts_after = FleetCounts::of(&fleet, Duration::ZERO);
    let sent_bytes = fleet.peer_sent_bytes().saturating_sub(sent_bytes_before);
    let per_daemon_per_s = |count: f64| count / duration.as_secs_f64() / daemons;
    let core_ratio = |name: &str| per_daemon_per_s(after.total_s(name) - before.total_s(name));
    let row = ControlCostRow {
        daemons_count: fleet.daemons.len(),
        upstreams_count: fleet.engines.len() + fleet.servers.len(),
        span_ms: duration.as_millis() as u64,
        control_core_ratio: core_ratio("control"),
        link_core_ratio: core_ratio("peer-link"),
        peer_bytes_per_s: per_daemon_per_s(sent_bytes as f64),
        store_reads_per_s: per_daemon_per_s(
            (counts_after.reads_count - counts_before.reads_count) as f64,
        ),
        store_writes_per_s: per_daemon_per_s(
            (counts_after.writes_count - counts_before.writes_count) as f64,
        ),
        process_bytes: after.resident_bytes,
    };
    fleet.stop();
    Ok(row)
}

impl ControlCostRow {
    fn line(&self) -> String {
        format!(
            "{:>4} daemons {:>4} upstreams: control {:.3}% of a core, peer link {:.3}%, {:.0} bytes/s \
             to peers, {:.2} reads/s, {:.2} writes/s, process {} MB",
            self.daemons_count,
            self.upstreams_count,
            self.control_core_ratio * 100.0,
            self.link_core_ratio * 100.0,
            self.peer_bytes_per_s,
            self.store_reads_per_s,
            self.store_writes_per_s,
            self.process_bytes >> 20,
        )
    }
}

impl ControlCostReport {
    /// Formats the result as a table with one line per size.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let _ = writeln!(text, "{}", row.line());
        }
        text
    }
}
