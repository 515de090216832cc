//! The metrics page, and its documentation in docs/METRICS.md.

use persimmon_io::{
    http::MetricsPage,
    telemetry::{Metric, MetricKind, Telemetry, ALL_METRICS},
};

#[test]
fn each_metric_is_documented() {
    let page = include_str!("../../../docs/METRICS.md");
    let missing: Vec<_> = ALL_METRICS
        .iter()
        .map(|metric| metric.name)
        .filter(|name| !page.contains(&format!("| `{name}` |")))
        .collect();
    assert!(missing.is_empty(), "docs/METRICS.md lacks {missing:?}");
}

#[test]
fn page_shows_each_kind_with_labels() {
    let telemetry = Telemetry::new().unwrap();
    for metric in ALL_METRICS {
        match metric.kind {
            MetricKind::Counter => telemetry
                .counter(metric, &[("class", "short")])
                .increment(2),
            MetricKind::Gauge => telemetry.gauge(metric, &[]).set(3.0),
            MetricKind::Histogram => telemetry.histogram(metric, &[]).record(0.25),
        }
    }
    telemetry.run_upkeep();
    let page = telemetry.render();
    let expected = [
        "persimmon_requests_total{class=\"short\"} 2",
        "persimmon_open_requests 3",
        "persimmon_first_token_seconds_bucket{le=\"0.2\"} 0",
        "persimmon_first_token_seconds_bucket{le=\"0.36\"} 1",
    ];
    for line in expected {
        assert!(page.contains(line), "no {line} in\n{page}");
    }
    assert!(page.contains(Metric::PEER_BYTES.help));
}
