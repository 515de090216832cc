//! Measures how much short requests slow down when long ones share the fleet.

use super::{compare::p95_ratios, ExperimentSettings, Testbed};
use crate::{measure::RunReport, workload::Arrival, LoadError};
use persimmon_core::{daemon::ComponentSettings, request::LengthClass};
use serde::Serialize;
use std::collections::BTreeMap;

/// Results of the short requests alone and of the whole mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InterferenceReport {
    /// Result without prompts over 16,000 tokens.
    pub alone: RunReport,
    /// Result with all requests.
    pub shared: RunReport,
    /// p95 time to first token in the whole mix, divided by that of the short requests alone.
    pub slowdown_ratio: BTreeMap<LengthClass, f64>,
}

/// Runs the short requests alone, then the whole mix with the same arrival times.
///
/// # Errors
///
/// A deployment fails to start.
pub fn interference(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
) -> Result<InterferenceReport, LoadError> {
    let all = settings.arrivals();
    let is_short = |arrival: &&Arrival| arrival.class() <= Some(LengthClass::Medium);
    let short: Vec<Arrival> = all.iter().filter(is_short).cloned().collect();
    let alone = run_on_fresh_fleet(settings, components, &short)?;
    let shared = run_on_fresh_fleet(settings, components, &all)?;
    Ok(InterferenceReport {
        slowdown_ratio: p95_ratios(&shared, &alone),
        alone,
        shared,
    })
}

fn run_on_fresh_fleet(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    arrivals: &[Arrival],
) -> Result<RunReport, LoadError> {
    let mut testbed = Testbed::start(settings, components)?;
    let output = testbed.run(arrivals, |_, _, _| Ok(()))?;
    testbed.fleet.stop();
    Ok(output.report())
}

impl InterferenceReport {
    /// Formats the result as a few lines of text.
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
