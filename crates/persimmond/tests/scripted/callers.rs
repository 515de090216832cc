//! Requests of callers over loopback, with a scripted core and a fake upstream.

use crate::common::{post, read_response, read_until, Harness};
use insta::assert_snapshot;
use persimmon_core::{request::UpstreamError, Event};
use std::time::{Duration, Instant};

const COMPLETION: &str = r#"{"model": "m", "prompt": "a b", "max_tokens": 2, "stream": true}"#;
const COLLECTED: &str = r#"{"model": "m", "prompt": "a b", "max_tokens": 2}"#;

#[test]
fn first_token_is_sent_before_the_second_arrives() {
    let harness = Harness::start();
    let mut reader = harness.send(&post("/v1/completions", COMPLETION));
    harness.send_token(0, "t0");
    read_until(&mut reader, "t0");
    harness.send_token(1, "t1");
    read_until(&mut reader, "t1");
    harness.send_done(2);
    read_until(&mut reader, "[DONE]");
    harness.stop();
}

#[test]
fn reordered_and_duplicate_tokens_are_sent_once_in_order() {
    let harness = Harness::start();
    harness.send_token(1, "t1");
    harness.send_token(1, "t1");
    harness.send_done(3);
    harness.send_token(0, "t0");
    harness.send_token(2, "t2");
    let answer = harness.post("/v1/completions", COMPLETION);
    assert_snapshot!(answer);
    harness.stop();
}

#[test]
fn collected_answer_is_sent_as_one_response() {
    let harness = Harness::start();
    harness.send_token(0, "t0");
    harness.send_token(1, "t1");
    harness.send_done(2);
    assert_snapshot!(harness.post("/v1/completions", COLLECTED));
    harness.stop();
}

#[test]
fn broken_stream_ends_with_an_error_event() {
    let harness = Harness::start();
    harness.send_token(0, "t0");
    harness
        .stream_items
        .send(Err(UpstreamError::Broken))
        .unwrap();
    assert_snapshot!(harness.post("/v1/completions", COMPLETION));
    harness.stop();
}

#[test]
fn failure_before_any_token_is_a_refusal() {
    let harness = Harness::start();
    harness
        .stream_items
        .send(Err(UpstreamError::Broken))
        .unwrap();
    assert_snapshot!(harness.post("/v1/completions", COMPLETION));
    harness.stop();
}

#[test]
fn service_answer_passes_through() {
    let harness = Harness::start();
    assert_snapshot!(harness.post("/services/orders/cells/7?x=1", "start"));
    harness.stop();
}

#[test]
fn caller_disconnect_is_detected() {
    let harness = Harness::start();
    let mut reader = harness.send(&post("/v1/completions", COMPLETION));
    harness.send_token(0, "t0");
    read_until(&mut reader, "t0");
    drop(reader);
    harness.wait_for_event(|event| matches!(event, Event::CallerDisconnected { .. }).then_some(()));
    harness.stop();
}

#[test]
fn caller_disconnect_during_a_collected_answer_is_detected() {
    let harness = Harness::start();
    let waiting_caller = harness.send(&post("/v1/completions", COLLECTED));
    harness.wait_for_event(|event| matches!(event, Event::Request(_)).then_some(()));
    let disconnected_at = Instant::now();
    drop(waiting_caller);
    harness.wait_for_event(|event| matches!(event, Event::CallerDisconnected { .. }).then_some(()));
    let detection_time = disconnected_at.elapsed();
    assert!(
        detection_time < Duration::from_secs(5),
        "detected after {detection_time:?}"
    );
    let answer = harness.post("/services/orders/cells/7", "start");
    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
    harness.stop();
}

#[test]
fn health_and_readiness_pages_respond() {
    let harness = Harness::start();
    assert_snapshot!(harness.get_page("/healthz"), @"ok");
    assert_snapshot!(harness.get_page("/readyz"), @r#"{"notes":[],"ready":false}"#);
    harness.stop();
}

#[test]
fn metrics_count_requests_by_outcome_and_class() {
    let harness = Harness::start();
    harness
        .stream_items
        .send(Err(UpstreamError::Broken))
        .unwrap();
    harness.post("/v1/completions", COMPLETION);
    harness.send_token(0, "t0");
    harness.send_token(1, "t1");
    harness.send_done(2);
    harness.post("/v1/completions", COLLECTED);
    harness.post("/services/orders/cells/7", "start");
    let metrics = harness.get_page("/metrics");
    let counts = |line: &&str| line.starts_with("persimmon_") && line.contains("_total");
    let mut lines: Vec<_> = metrics.lines().filter(counts).collect();
    lines.sort_unstable();
    assert_snapshot!(lines.join("\n"));
    assert!(metrics.contains("persimmon_first_token_seconds_count{class=\"short\"} 1"));
    harness.stop();
}

#[test]
fn stopped_daemon_refuses_connections() {
    let harness = Harness::start();
    let address = harness.daemon.addresses().callers;
    harness.stop();
    // The listening socket is closed on another thread, possibly after the daemon has ended.
    let refused = (0..2000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(5));
        std::net::TcpStream::connect(address).is_err()
    });
    assert!(refused, "the stopped daemon still accepts connections");
}

#[test]
fn ticket_is_issued() {
    let harness = Harness::start();
    let answer = harness.post("/tickets", "");
    assert_snapshot!(answer.lines().last().unwrap(), @r#"{"key":"ticket-1"}"#);
    harness.stop();
}

#[test]
fn killed_daemon_ends_open_answers_without_a_finish_marker() {
    let harness = Harness::start();
    let mut reader = harness.send(&post("/v1/completions", COMPLETION));
    harness.send_token(0, "t0");
    read_until(&mut reader, "t0");
    harness.daemon.kill();
    let rest = read_response(reader);
    assert!(!rest.contains("[DONE]"), "{rest}");
    assert!(harness.daemon.join());
}
