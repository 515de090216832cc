//! Metrics in Prometheus text form. docs/METRICS.md lists them.

mod catalog;
mod registry;

pub use catalog::{Kind, Metric, CATALOG};
pub use registry::{Label, Telemetry};
