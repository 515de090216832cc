//! Registry of one daemon's metrics.

use super::{Metric, MetricKind, ALL_METRICS};
use crate::http::MetricsPage;
use metrics::{Counter, Gauge, Histogram, Key, Label as KeyLabel, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{
    BuildError, Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use std::fmt;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKETS_S: [f64; 15] = [
    0.000_1, 0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// Source of the metrics, as the `metrics` crate requires it.
const METADATA: Metadata<'_> = Metadata::new("persimmon", Level::INFO, None);

/// Name and value of a label.
pub type Label<'a> = (&'static str, &'a str);

/// Registry of one daemon's metrics. Each daemon of a process has its own.
pub struct Telemetry {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl fmt::Debug for Telemetry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Telemetry").finish_non_exhaustive()
    }
}

impl Telemetry {
    /// A registry without recorded values.
    ///
    /// # Errors
    ///
    /// The exporter rejects the buckets.
    pub fn new() -> Result<Self, BuildError> {
        let mut builder = PrometheusBuilder::new();
        for metric in ALL_METRICS
            .iter()
            .filter(|m| m.kind == MetricKind::Histogram)
        {
            let name = Matcher::Full(metric.name.into());
            builder = builder.set_buckets_for_metric(name, &BUCKETS_S)?;
        }
        let recorder = builder.build_recorder();
        for metric in ALL_METRICS {
            describe(&recorder, metric);
        }
        let handle = recorder.handle();
        Ok(Self { recorder, handle })
    }

    /// The counter of `metric` with these labels.
    pub fn counter(&self, metric: Metric, labels: &[Label<'_>]) -> Counter {
        self.recorder
            .register_counter(&key(metric, labels), &METADATA)
    }

    /// The gauge of `metric` with these labels.
    pub fn gauge(&self, metric: Metric, labels: &[Label<'_>]) -> Gauge {
        self.recorder
            .register_gauge(&key(metric, labels), &METADATA)
    }

    /// The histogram of `metric` with these labels.
    pub fn histogram(&self, metric: Metric, labels: &[Label<'_>]) -> Histogram {
        self.recorder
            .register_histogram(&key(metric, labels), &METADATA)
    }

    /// Folds recorded histogram samples into their buckets. Without this, the samples accumulate in
    /// memory while nobody reads the metrics page.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}

impl MetricsPage for Telemetry {
    fn render(&self) -> String {
        self.handle.render()
    }
}

fn key(metric: Metric, labels: &[Label<'_>]) -> Key {
    let label = |(name, value): &Label<'_>| KeyLabel::new(*name, (*value).to_owned());
    Key::from_parts(metric.name, labels.iter().map(label).collect::<Vec<_>>())
}

fn describe(recorder: &PrometheusRecorder, metric: Metric) {
    let (name, unit, help) = (metric.name.into(), Some(metric.unit), metric.help.into());
    match metric.kind {
        MetricKind::Counter => recorder.describe_counter(name, unit, help),
        MetricKind::Gauge => recorder.describe_gauge(name, unit, help),
        MetricKind::Histogram => recorder.describe_histogram(name, unit, help),
    }
}
