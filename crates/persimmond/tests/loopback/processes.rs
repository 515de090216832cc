//! Real processes: what SIGTERM and SIGKILL of a daemon under load do.

use crate::world::{
    client::{page, post, read_until, rest, send, tokens, STREAM},
    daemons::LEASE_MS,
    load::{Load, Tally},
    process::{find, Process, Processes},
    wait,
};
use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

#[test]
fn sigterm_under_load_cuts_off_no_request() {
    let mut world = Processes::start("sigterm");
    world.upstream.pace(60);
    let address = world.daemons[0].callers;
    let request = || {
        let mut reader = send(address, &post("/v1/completions", "", STREAM));
        read_until(&mut reader, "t0");
        reader
    };
    let readers: Vec<_> = (0..8).map(|_| request()).collect();
    world.daemons[0].terminate();
    let readers = readers
        .into_iter()
        .map(|reader| thread::spawn(|| rest(reader)));
    for reader in readers.collect::<Vec<_>>() {
        let answer = reader.join().unwrap();
        assert!(tokens(&answer).is_some(), "cut off: {answer}");
    }
    assert_eq!(world.daemons[0].ended().code(), Some(0));
    find(&world.daemons[0].lines, "stopped");
    assert!(world.upstream.counts().held.is_empty());
}

#[test]
fn sigkill_of_an_entry_daemon_gives_memory_back() {
    let mut world = Processes::start("sigkill");
    world.upstream.pace(200);
    let long = STREAM.replace("10,", "10000,");
    let mut reader = send(
        world.daemons[2].callers,
        &post("/v1/completions", "", &long),
    );
    read_until(&mut reader, "t0");
    assert_eq!(world.upstream.counts().held.len(), 1);
    world.daemons[2].kill();
    let killed = Instant::now();
    wait("the engine's memory", || held_nothing(&world));
    let held = killed.elapsed();
    eprintln!("held for {held:?}");
    assert!(held < LEASE + SLACK, "held for {held:?}");
    world.upstream.pace(0);
    for daemon in &world.daemons[..2] {
        let answer = rest(send(daemon.callers, &post("/v1/completions", "", STREAM)));
        assert!(tokens(&answer).is_some(), "{answer}");
    }
}

/// Life of a grant's lease without a heartbeat, as the daemons' settings have it.
const LEASE: Duration = Duration::from_millis(LEASE_MS);

/// Time for an order to the engine, on a busy computer.
const SLACK: Duration = Duration::from_secs(2);

/// Callers of a test under load.
const CALLERS_COUNT: usize = 8;

/// Lets the load run for a while.
fn run_a_while() {
    thread::sleep(Duration::from_millis(1500));
}

fn assert_honest(tally: &Tally) {
    eprintln!("{} whole, refused: {:?}", tally.whole_count, tally.refused);
    assert_eq!(tally.cut, Vec::<String>::new());
    assert!(tally.whole_count > 50, "{tally:?}");
}

#[test]
fn rolling_restart_under_load_cuts_off_no_request() {
    let mut world = Processes::start("rolling");
    world.upstream.pace(10);
    let load = Load::start(&world.callers(), CALLERS_COUNT);
    for index in 0..world.daemons.len() {
        run_a_while();
        let leaving = world.daemons[index].callers;
        world.daemons[index].terminate();
        load.targets
            .lock()
            .unwrap()
            .retain(|target| *target != leaving);
        assert_eq!(world.daemons[index].ended().code(), Some(0));
        world.restart(index);
        load.targets
            .lock()
            .unwrap()
            .push(world.daemons[index].callers);
    }
    run_a_while();
    let tally = load.stop();
    assert_honest(&tally);
    wait("the engine's memory", || held_nothing(&world));
}

#[test]
fn sigkill_of_an_owner_under_load_cuts_off_no_request_of_others() {
    let mut world = Processes::start("owner");
    world.upstream.pace(10);
    for index in [0, 1] {
        let others = world.callers().into_iter().enumerate();
        let others: Vec<_> = others.filter(|(other, _)| *other != index).collect();
        let targets: Vec<_> = others.into_iter().map(|(_, callers)| callers).collect();
        let load = Load::start(&targets, CALLERS_COUNT);
        run_a_while();
        world.daemons[index].kill();
        run_a_while();
        run_a_while();
        assert_honest(&load.stop());
        wait("the engine's memory", || held_nothing(&world));
        world.restart(index);
    }
}

fn held_nothing(world: &Processes) -> Result<(), String> {
    let held = world.upstream.counts().held;
    held.is_empty()
        .then_some(())
        .ok_or_else(|| format!("{held:?}"))
}

/// Files and sockets that a daemon may open in a test.
const FILES_COUNT: u32 = 64;

#[test]
fn more_connections_than_files_do_not_stop_a_daemon() {
    let mut process = Process::start_limited("files", FILES_COUNT);
    let address = process.callers;
    let connections = (0..2 * FILES_COUNT).map(|_| TcpStream::connect(address));
    let connections: Vec<_> = connections.collect();
    find(&process.lines, "accepting connections failed");
    drop(connections);
    wait("a page", || {
        let page = page(address, "/healthz");
        match page.starts_with("200") {
            true => Ok(()),
            false => Err(page),
        }
    });
    process.terminate();
    assert_eq!(process.ended().code(), Some(0));
}
