//! How much short requests slow down when long ones share the fleet.

use super::{compare::p95_ratios, Bench, BenchSettings};
use crate::{measure::RunReport, workload::Arrival, LoadError};
use persimmon_core::{daemon::ComponentSettings, request::LengthClass};
use serde::Serialize;
use std::collections::BTreeMap;

/// Short requests alone and in the whole mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AloneReport {
    /// Without requests over 16,000 tokens.
    pub alone: RunReport,
    /// With all requests.
    pub shared: RunReport,
    /// Time to first token at p95 in the whole mix by that alone.
    pub slowdown_ratio: BTreeMap<LengthClass, f64>,
}

/// Runs the short requests alone, then the same ones at the same times among all others.
///
/// # Errors
///
/// A deployment does not start.
pub fn alone(
    settings: &BenchSettings,
    parts: &ComponentSettings,
) -> Result<AloneReport, LoadError> {
    let all = settings.arrivals();
    let is_short = |arrival: &&Arrival| arrival.class() <= Some(LengthClass::Medium);
    let short: Vec<Arrival> = all.iter().filter(is_short).cloned().collect();
    let alone = one_run(settings, parts, &short)?;
    let shared = one_run(settings, parts, &all)?;
    Ok(AloneReport {
        slowdown_ratio: p95_ratios(&shared, &alone),
        alone,
        shared,
    })
}

fn one_run(
    settings: &BenchSettings,
    parts: &ComponentSettings,
    arrivals: &[Arrival],
) -> Result<RunReport, LoadError> {
    let mut bench = Bench::start(settings, parts)?;
    let watched = bench.run(arrivals, |_, _, _| Ok(()))?;
    bench.fleet.stop();
    Ok(watched.report())
}

impl AloneReport {
    /// The result as a few lines of text.
    pub fn table(&self) -> String {
        let ratios: Vec<String> = self
            .slowdown_ratio
            .iter()
            .map(|(class, ratio)| format!("{class} {ratio:.2}"))
            .collect();
        format!(
            "alone: {}shared: {}slowdown at p95: {}\n",
            self.alone.table(),
            self.shared.table(),
            ratios.join(", "),
        )
    }
}
