//! Real processes: what SIGTERM and SIGKILL of a daemon under load do.

use crate::world::{
    client::{post, read_until, rest, send, tokens, STREAM},
    process::{find, Processes},
    wait,
};
use std::thread;

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
    wait("the engine's memory", || {
        let held = world.upstream.counts().held;
        held.is_empty()
            .then_some(())
            .ok_or_else(|| format!("{held:?}"))
    });
    world.upstream.pace(0);
    for daemon in &world.daemons[..2] {
        let answer = rest(send(daemon.callers, &post("/v1/completions", "", STREAM)));
        assert!(tokens(&answer).is_some(), "{answer}");
    }
}
