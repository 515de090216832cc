//! Resource usage during a run, of this process and of the whole machine: other programs that run
//! at the same time distort the measurements.

use serde::Serialize;
use std::{fs, thread, time::Instant};

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ResourceUsage {
    /// Number of available processors.
    pub cores_count: usize,
    /// Mean number of processors that this process used.
    pub own_cores_count: f64,
    /// Mean number of processors that all processes used.
    pub busy_cores_count: f64,
    /// Peak resident memory of this process since it started.
    pub own_peak_bytes: u64,
}

/// Measures resource usage from its start on.
#[derive(Clone, Copy, Debug)]
pub struct ResourceMeter {
    start: Instant,
    process_ticks: f64,
    busy_ticks: f64,
}

impl ResourceMeter {
    /// Starts measuring.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            process_ticks: process_ticks(),
            busy_ticks: busy_ticks(),
        }
    }

    /// The usage since the start.
    pub fn usage(&self) -> ResourceUsage {
        let elapsed_ticks = self.start.elapsed().as_secs_f64() * TICKS_PER_S;
        ResourceUsage {
            cores_count: thread::available_parallelism().map_or(0, usize::from),
            own_cores_count: (process_ticks() - self.process_ticks) / elapsed_ticks,
            busy_cores_count: (busy_ticks() - self.busy_ticks) / elapsed_ticks,
            own_peak_bytes: status_bytes("VmHWM:"),
        }
    }
}

/// The value of one line of `/proc/self/status`, which is given in KiB, in bytes; 0 if absent.
pub(crate) fn status_bytes(label: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(label));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0) << 10
}

fn process_ticks() -> f64 {
    stat_ticks(&fs::read_to_string("/proc/self/stat").unwrap_or_default())
}

/// Sum of user and system ticks in the `stat` file of a process.
pub(crate) fn stat_ticks(stat: &str) -> f64 {
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum()
}

fn busy_ticks() -> f64 {
    let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
    let first = stat.lines().next().unwrap_or_default();
    let fields = first.split_whitespace().skip(1);
    let ticks: Vec<f64> = fields.filter_map(|field| field.parse().ok()).collect();
    let idle: f64 = ticks.iter().skip(3).take(2).sum();
    ticks.iter().take(8).sum::<f64>() - idle
}
