//! Callers over loopback, with a scripted core and a fake upstream.

use crate::common::{post, read_until, whole, Bench};
use insta::assert_snapshot;
use persimmon_core::{request::UpstreamError, Event};
use std::time::{Duration, Instant};

const COMPLETION: &str = r#"{"model": "m", "prompt": "a b", "max_tokens": 2, "stream": true}"#;
const COLLECTED: &str = r#"{"model": "m", "prompt": "a b", "max_tokens": 2}"#;

#[test]
fn first_token_leaves_before_the_second_exists() {
    let bench = Bench::start();
    let mut reader = bench.send(&post("/v1/completions", COMPLETION));
    bench.token(0, "t0");
    read_until(&mut reader, "t0");
    bench.token(1, "t1");
    read_until(&mut reader, "t1");
    bench.done(2);
    read_until(&mut reader, "[DONE]");
    bench.stop();
}

#[test]
fn tokens_out_of_order_and_twice_come_whole() {
    let bench = Bench::start();
    bench.token(1, "t1");
    bench.token(1, "t1");
    bench.done(3);
    bench.token(0, "t0");
    bench.token(2, "t2");
    let answer = bench.post("/v1/completions", COMPLETION);
    assert_snapshot!(answer);
    bench.stop();
}

#[test]
fn collected_answer_comes_as_one() {
    let bench = Bench::start();
    bench.token(0, "t0");
    bench.token(1, "t1");
    bench.done(2);
    assert_snapshot!(bench.post("/v1/completions", COLLECTED));
    bench.stop();
}

#[test]
fn broken_stream_ends_with_an_error_event() {
    let bench = Bench::start();
    bench.token(0, "t0");
    bench.items.send(Err(UpstreamError::Broken)).unwrap();
    assert_snapshot!(bench.post("/v1/completions", COMPLETION));
    bench.stop();
}

#[test]
fn failure_before_any_token_is_a_refusal() {
    let bench = Bench::start();
    bench.items.send(Err(UpstreamError::Broken)).unwrap();
    assert_snapshot!(bench.post("/v1/completions", COMPLETION));
    bench.stop();
}

#[test]
fn service_answer_passes_through() {
    let bench = Bench::start();
    assert_snapshot!(bench.post("/services/orders/cells/7?x=1", "start"));
    bench.stop();
}

#[test]
fn caller_that_goes_away_is_noticed() {
    let bench = Bench::start();
    let mut reader = bench.send(&post("/v1/completions", COMPLETION));
    bench.token(0, "t0");
    read_until(&mut reader, "t0");
    drop(reader);
    bench.wait(|event| matches!(event, Event::CallerDisconnected { .. }).then_some(()));
    bench.stop();
}

#[test]
fn caller_of_a_collected_answer_that_goes_away_is_noticed() {
    let bench = Bench::start();
    let silent = bench.send(&post("/v1/completions", COLLECTED));
    bench.wait(|event| matches!(event, Event::Request(_)).then_some(()));
    let left = Instant::now();
    drop(silent);
    bench.wait(|event| matches!(event, Event::CallerDisconnected { .. }).then_some(()));
    let noticed = left.elapsed();
    assert!(
        noticed < Duration::from_secs(5),
        "noticed after {noticed:?}"
    );
    let answer = bench.post("/services/orders/cells/7", "start");
    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
    bench.stop();
}

#[test]
fn pages_answer() {
    let bench = Bench::start();
    assert_snapshot!(bench.page("/healthz"), @"ok");
    assert_snapshot!(bench.page("/readyz"), @r#"{"notes":[],"ready":false}"#);
    bench.stop();
}

#[test]
fn metrics_count_requests_by_outcome_and_class() {
    let bench = Bench::start();
    bench.items.send(Err(UpstreamError::Broken)).unwrap();
    bench.post("/v1/completions", COMPLETION);
    bench.token(0, "t0");
    bench.token(1, "t1");
    bench.done(2);
    bench.post("/v1/completions", COLLECTED);
    bench.post("/services/orders/cells/7", "start");
    let metrics = bench.page("/metrics");
    let counts = |line: &&str| line.starts_with("persimmon_") && line.contains("_total");
    let mut lines: Vec<_> = metrics.lines().filter(counts).collect();
    lines.sort_unstable();
    assert_snapshot!(lines.join("\n"));
    assert!(metrics.contains("persimmon_first_token_seconds_count{class=\"short\"} 1"));
    bench.stop();
}

#[test]
fn stopped_daemon_refuses_connections() {
    let bench = Bench::start();
    let address = bench.daemon.addresses().callers;
    bench.stop();
    // The last socket closes on a thread of its own.
    let refused = (0..2000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(5));
        std::net::TcpStream::connect(address).is_err()
    });
    assert!(refused, "it still accepts");
}

#[test]
fn ticket_is_given() {
    let bench = Bench::start();
    let answer = bench.post("/tickets", "");
    assert_snapshot!(answer.lines().last().unwrap(), @r#"{"key":"ticket-1"}"#);
    bench.stop();
}

#[test]
fn killed_daemon_ends_open_answers_without_a_finish_marker() {
    let bench = Bench::start();
    let mut reader = bench.send(&post("/v1/completions", COMPLETION));
    bench.token(0, "t0");
    read_until(&mut reader, "t0");
    bench.daemon.kill();
    let rest = whole(reader);
    assert!(!rest.contains("[DONE]"), "{rest}");
    assert!(bench.daemon.join());
}
