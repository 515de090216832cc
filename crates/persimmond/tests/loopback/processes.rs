//! Daemons as processes: SIGTERM, SIGKILL and restart under load, exhausted file descriptors and
//! `--check`.

use crate::cluster::{
    client::{complete_tokens, page, post, read_response, read_until, send_request, STREAM},
    daemons::{settings, LEASE_MS},
    load_generator::{LoadGenerator, ResponseCounts},
    process::{wait_for_log, DaemonProcess, ProcessCluster},
    wait,
};
use insta::assert_snapshot;
use serde_json::json;
use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

#[test]
fn sigterm_under_load_truncates_no_response() {
    let mut cluster = ProcessCluster::start("sigterm");
    cluster.upstream.set_token_interval(60);
    let address = cluster.daemons[0].callers;
    let request = || {
        let mut reader = send_request(address, &post("/v1/completions", "", STREAM));
        read_until(&mut reader, "t0");
        reader
    };
    let readers: Vec<_> = (0..8).map(|_| request()).collect();
    cluster.daemons[0].terminate();
    let readers = readers
        .into_iter()
        .map(|reader| thread::spawn(|| read_response(reader)));
    for reader in readers.collect::<Vec<_>>() {
        let answer = reader.join().unwrap();
        assert!(complete_tokens(&answer).is_some(), "truncated: {answer}");
    }
    assert_eq!(cluster.daemons[0].wait_for_exit().code(), Some(0));
    wait_for_log(&cluster.daemons[0].lines, "stopped");
    assert!(cluster.upstream.counts().requests_holding_memory.is_empty());
}

#[test]
fn sigkill_of_an_entry_daemon_releases_engine_memory() {
    let mut cluster = ProcessCluster::start("sigkill");
    cluster.upstream.set_token_interval(200);
    let long = STREAM.replace("10,", "10000,");
    let mut reader = send_request(
        cluster.daemons[2].callers,
        &post("/v1/completions", "", &long),
    );
    read_until(&mut reader, "t0");
    assert_eq!(cluster.upstream.counts().requests_holding_memory.len(), 1);
    cluster.daemons[2].kill();
    let killed_at = Instant::now();
    wait("the release of the engine's memory", || {
        check_memory_released(&cluster)
    });
    let held_for = killed_at.elapsed();
    eprintln!("held for {held_for:?}");
    assert!(held_for < LEASE + TOLERANCE, "held for {held_for:?}");
    cluster.upstream.set_token_interval(0);
    for daemon in &cluster.daemons[..2] {
        let answer = read_response(send_request(
            daemon.callers,
            &post("/v1/completions", "", STREAM),
        ));
        assert!(complete_tokens(&answer).is_some(), "{answer}");
    }
}

/// Lease duration of a grant without a heartbeat, as in the daemons' settings.
const LEASE: Duration = Duration::from_millis(LEASE_MS);

/// Tolerance for the order to the engine on a busy machine.
const TOLERANCE: Duration = Duration::from_secs(2);

/// Number of concurrent callers of a test under load.
const CALLERS_COUNT: usize = 8;

/// Waits while the load runs.
fn let_load_run() {
    thread::sleep(Duration::from_millis(1500));
}

fn assert_no_truncated_response(counts: &ResponseCounts) {
    eprintln!(
        "{} complete, refused: {:?}",
        counts.complete_count, counts.refused
    );
    assert_eq!(counts.truncated, Vec::<String>::new());
    assert!(counts.complete_count > 50, "{counts:?}");
}

#[test]
fn rolling_restart_under_load_truncates_no_response() {
    let mut cluster = ProcessCluster::start("rolling");
    cluster.upstream.set_token_interval(10);
    let load = LoadGenerator::start(&cluster.callers(), CALLERS_COUNT);
    for index in 0..cluster.daemons.len() {
        let_load_run();
        let stopping = cluster.daemons[index].callers;
        cluster.daemons[index].terminate();
        load.targets
            .lock()
            .unwrap()
            .retain(|target| *target != stopping);
        assert_eq!(cluster.daemons[index].wait_for_exit().code(), Some(0));
        cluster.restart(index);
        load.targets
            .lock()
            .unwrap()
            .push(cluster.daemons[index].callers);
    }
    let_load_run();
    let counts = load.stop();
    assert_no_truncated_response(&counts);
    wait("the release of the engine's memory", || {
        check_memory_released(&cluster)
    });
}

#[test]
fn sigkill_of_an_owner_under_load_truncates_no_response_of_other_daemons() {
    let mut cluster = ProcessCluster::start("owner");
    cluster.upstream.set_token_interval(10);
    for index in [0, 1] {
        let others = cluster.callers().into_iter().enumerate();
        let others: Vec<_> = others.filter(|(other, _)| *other != index).collect();
        let targets: Vec<_> = others.into_iter().map(|(_, callers)| callers).collect();
        let load = LoadGenerator::start(&targets, CALLERS_COUNT);
        let_load_run();
        cluster.daemons[index].kill();
        let_load_run();
        let_load_run();
        assert_no_truncated_response(&load.stop());
        wait("the release of the engine's memory", || {
            check_memory_released(&cluster)
        });
        cluster.restart(index);
    }
}

fn check_memory_released(cluster: &ProcessCluster) -> Result<(), String> {
    let requests = cluster.upstream.counts().requests_holding_memory;
    requests
        .is_empty()
        .then_some(())
        .ok_or_else(|| format!("{requests:?}"))
}

/// Limit on open files and sockets of a daemon in a test.
const OPEN_FILES_LIMIT: u32 = 64;

#[test]
fn exhausted_file_descriptors_do_not_stop_a_daemon() {
    let mut process = DaemonProcess::start_limited("files", OPEN_FILES_LIMIT);
    let address = process.callers;
    let connections = (0..2 * OPEN_FILES_LIMIT).map(|_| TcpStream::connect(address));
    let connections: Vec<_> = connections.collect();
    wait_for_log(&process.lines, "accepting connections failed");
    drop(connections);
    wait("a page", || {
        let page = page(address, "/healthz");
        match page.starts_with("200") {
            true => Ok(()),
            false => Err(page),
        }
    });
    process.terminate();
    assert_eq!(process.wait_for_exit().code(), Some(0));
}

#[test]
fn check_flag_only_validates_the_settings() {
    let address = "127.0.0.1:1".parse().unwrap();
    let valid = settings("vm-1", "a", &json!([]), address);
    let mut wrong = valid.clone();
    wrong["entry"] = json!({"max_attempts": 0});
    let mut other = valid.clone();
    other["vm"] = json!("vm-2");
    let outputs = [valid, wrong, other].map(|settings| DaemonProcess::check("check", &settings));
    assert_snapshot!(outputs.join("\n"));
}
