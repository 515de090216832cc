//! CPU time of this process's threads, by thread name.

use super::resource_usage::status_bytes;
use crate::LoadError;
use std::{collections::BTreeMap, fs};

/// Nanoseconds per second.
const NS_PER_S: f64 = 1e9;

/// CPU time of this process's threads, by thread name.
#[derive(Clone, Debug, Default)]
pub struct ThreadCpuTimes {
    cpu_s_by_thread: BTreeMap<String, f64>,
    /// Resident memory of the process.
    pub resident_bytes: u64,
}

impl ThreadCpuTimes {
    /// Total CPU time, in seconds, of all threads with this name.
    pub fn total_s(&self, name: &str) -> f64 {
        self.cpu_s_by_thread.get(name).copied().unwrap_or(0.0)
    }
}

/// Reads the CPU times so far.
///
/// # Errors
///
/// `/proc/self/task` can't be read.
pub fn thread_cpu_times() -> Result<ThreadCpuTimes, LoadError> {
    let mut times = ThreadCpuTimes {
        resident_bytes: status_bytes("VmRSS:"),
        ..ThreadCpuTimes::default()
    };
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end between the listing of the directory and the reading of its files.
        let (Ok(name), Ok(stat)) = (
            fs::read_to_string(path.join("comm")),
            fs::read_to_string(path.join("schedstat")),
        ) else {
            continue;
        };
        let ran = stat.split_whitespace().next();
        let ran_ns: f64 = ran.and_then(|ns| ns.parse().ok()).unwrap_or(0.0);
        *times.cpu_s_by_thread.entry(name.trim().into()).or_default() += ran_ns / NS_PER_S;
    }
    Ok(times)
}
