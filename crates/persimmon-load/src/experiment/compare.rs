//! Compares routing policies on the same arrivals.

use super::{ExperimentSettings, FleetCounts, Testbed};
use crate::{measure::RunReport, LoadError};
use persimmon_core::{
    daemon::ComponentSettings,
    grant::{GrantSettings, RawGrantSettings},
    request::LengthClass,
    routing::{RawRoutingSettings, RoutingPolicy, RoutingSettings},
};
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write};

/// Results of several policies on the same arrivals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CompareReport {
    /// The results, in the order of the runs.
    pub policies: Vec<PolicyReport>,
    /// p95 time to first token of the first policy divided by that of each other policy, by length
    /// class.
    pub first_token_p95_ratio: Vec<BTreeMap<LengthClass, f64>>,
    /// Complete responses of the first policy divided by those of each other policy.
    pub whole_ratio: Vec<f64>,
}

/// The result of one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: RoutingPolicy,
    /// The result of the run.
    pub report: RunReport,
    /// Counters of the stand-ins after the run.
    pub counts: FleetCounts,
}

/// Runs each policy on the same arrivals, each on a fresh deployment.
///
/// # Errors
///
/// A deployment fails to start.
pub fn compare(
    settings: &ExperimentSettings,
    policies: &[RoutingPolicy],
) -> Result<CompareReport, LoadError> {
    let arrivals = settings.arrivals();
    let mut reports = Vec::new();
    for policy in policies {
        let mut testbed = Testbed::start(settings, &components(*policy))?;
        let output = testbed.run(&arrivals, |_, _, _| Ok(()))?;
        reports.push(PolicyReport {
            policy: *policy,
            report: output.report(),
            counts: testbed.wait_until_idle(),
        });
        testbed.fleet.stop();
    }
    Ok(CompareReport::new(reports))
}

/// Default settings, with one policy for both entry daemons and owners.
fn components(policy: RoutingPolicy) -> ComponentSettings {
    let routing = RawRoutingSettings {
        policy,
        ..RawRoutingSettings::default()
    };
    let grant = RawGrantSettings {
        policy,
        ..RawGrantSettings::default()
    };
    ComponentSettings {
        grant: GrantSettings::try_from(grant).unwrap_or_default(),
        routing: RoutingSettings::try_from(routing).unwrap_or_default(),
        ..ComponentSettings::default()
    }
}

impl CompareReport {
    fn new(policies: Vec<PolicyReport>) -> Self {
        let others = || policies.iter().skip(1);
        let first = &policies[0].report;
        Self {
            first_token_p95_ratio: others().map(|p| p95_ratios(first, &p.report)).collect(),
            whole_ratio: others()
                .map(|p| first.whole_requests as f64 / p.report.whole_requests as f64)
                .collect(),
            policies,
        }
    }

    /// Formats the result as a few lines of text.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for run in &self.policies {
            let _ = write!(text, "{:?}: {}", run.policy, run.report.table());
        }
        let others = self.policies.iter().skip(1);
        let ratios = self.first_token_p95_ratio.iter().zip(&self.whole_ratio);
        for (other, (ratios, whole)) in others.zip(ratios) {
            let _ = write!(text, "p95 first token against {:?}:", other.policy);
            for (class, ratio) in ratios {
                let _ = write!(text, " {class} {ratio:.2}");
            }
            let _ = writeln!(text, "; complete responses {whole:.3}");
        }
        text
    }
}

/// p95 time to first token of `run` divided by that of `other`, by length class.
pub(super) fn p95_ratios(run: &RunReport, other: &RunReport) -> BTreeMap<LengthClass, f64> {
    let ratios = run.classes.iter().filter_map(|(class, report)| {
        let other_ms = other.classes.get(class)?.first_token.p95_ms?;
        Some((*class, report.first_token.p95_ms? / other_ms))
    });
    ratios.collect()
}
