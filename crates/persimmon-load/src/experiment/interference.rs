//! How much short requests slow down when long ones share the fleet.

use super::{compare::p95_ratios, ExperimentSettings, Testbed};
use crate::{measure::RunReport, workload::Arrival, LoadError};
use persimmon_core::{daemon::ComponentSettings, request::LengthClass};
use serde::Serialize;
use std::collections::BTreeMap;

/// Short requests alone and in the whole mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InterferenceReport {
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
