//! Metrics in the Prometheus text format. docs/METRICS.md lists them.

mod catalog;
mod registry;

pub use catalog::{Metric, MetricKind, CATALOG};
pub use registry::{Label, Telemetry};
