//! Experiments: a deployment under load, with operator changes or faults during the run.

mod compare;
mod control_cost;
mod counts;
mod domain_change;
mod faults;
mod interference;
mod testbed;
mod timeline;

pub use compare::{compare, CompareReport, PolicyReport};
pub use control_cost::{control_cost, ControlCostReport, ControlCostRow};
pub use counts::{FleetCounts, IdempotencyCounts};
pub use domain_change::{change_domain, DomainChange, DomainChangeReport};
pub use faults::{faults, FaultCase, FaultReport};
pub use interference::{interference, InterferenceReport};
pub use testbed::{ExperimentSettings, RunOutput, Testbed};
pub use timeline::{RatePoint, Timeline};
