//! Metrics in the Prometheus text format. docs/METRICS.md lists them.

mod metric;
mod registry;

pub use metric::{Metric, MetricKind, ALL_METRICS};
pub use registry::{Label, Telemetry};
