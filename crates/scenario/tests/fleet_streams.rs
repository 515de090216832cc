//! Streams and calls of complete daemons while engines fail, daemons restart and callers disconnect.

mod common;

use common::{
    daemons::{confirm, fleet},
    specs::{id, model_call, service_call},
    vm,
};
use persimmon_core::{
    ids::UpstreamId,
    operator::Intent,
    units::{Millis, Time, Tokens},
    Event,
};
use persimmon_scenario::{invariant_violation, Fleet, UpstreamFault};

/// Returns the engine that has a request in flight.
fn engine_serving(fleet: &Fleet, number: u128) -> UpstreamId {
    let serves = |(name, state): (&UpstreamId, &persimmon_scenario::Upstream)| {
        state
            .in_flight
            .contains_key(&id(number))
            .then(|| name.clone())
    };
    fleet
        .upstreams
        .iter()
        .find_map(serves)
        .expect("request in flight")
}

/// Starts a stream of 100 tokens, which takes 2 s, and runs the fleet for 700 ms.
fn start_stream(seed: u64) -> (Fleet, UpstreamId) {
    let mut fleet = fleet(seed, &["a"]);
    fleet.request(&vm("a-vm1"), model_call(1, 100, 30_000));
    fleet.run_for(Millis::new(700));
    let engine = engine_serving(&fleet, 1);
    assert!(fleet.callers[&id(1)].delivered() > Tokens::new(5));
    (fleet, engine)
}

fn duration_ms(fleet: &Fleet, number: u128) -> u64 {
    let caller = &fleet.callers[&id(number)];
    let end = caller.end.as_ref().map(|(at, _)| *at);
    end.expect("end").since(caller.sent_at).get()
}

#[test]
fn a_stream_survives_the_death_of_its_engine() {
    for seed in 0..10 {
        let (mut fleet, engine) = start_stream(seed);
        fleet.kill_upstream(&engine);
        fleet.run_for(Millis::new(30_000));
        assert_eq!(invariant_violation(&fleet), None);
        assert!(
            fleet.callers[&id(1)].has_complete_answer(),
            "{:?}",
            fleet.callers[&id(1)].end
        );
        assert!(
            duration_ms(&fleet, 1) < 4_000,
            "{} ms",
            duration_ms(&fleet, 1)
        );
        assert_eq!(fleet.held_tokens(), Tokens::ZERO);
    }
}

#[test]
fn a_stream_is_retried_when_its_engine_hangs() {
    for seed in 0..10 {
        let (mut fleet, engine) = start_stream(seed);
        fleet.hang_upstream(&engine);
        fleet.run_for(Millis::new(10_000));
        assert!(
            fleet.callers[&id(1)].has_complete_answer(),
            "{:?}",
            fleet.callers[&id(1)].end
        );
        assert!(
            duration_ms(&fleet, 1) < 6_000,
            "{} ms",
            duration_ms(&fleet, 1)
        );
        // The engine must release its memory within 3 s after it answers again.
        let state = fleet.upstreams.get_mut(&engine).expect("engine");
        assert!(state.held_kv_bytes().get() > 0);
        state.fault = UpstreamFault::None;
        fleet.run_for(Millis::new(3_000));
        assert_eq!(fleet.held_tokens(), Tokens::ZERO);
        assert_eq!(invariant_violation(&fleet), None);
    }
}

#[test]
fn a_stream_moves_from_a_drained_engine() {
    let mut fleet = fleet(3, &["a"]);
    fleet.request(&vm("a-vm1"), model_call(1, 2_000, 90_000));
    fleet.run_for(Millis::new(700));
    let engine = engine_serving(&fleet, 1);
    confirm(&mut fleet, "a-vm2", Intent::DrainUpstream(engine.clone()));
    let accepted_attempts = fleet.upstreams[&engine].accepted_attempts;
    fleet.run_for(Millis::new(80_000));
    assert_eq!(
        fleet.upstreams[&engine].accepted_attempts,
        accepted_attempts
    );
    assert_eq!(invariant_violation(&fleet), None);
    assert!(
        fleet.callers[&id(1)].has_complete_answer(),
        "{:?}",
        fleet.callers[&id(1)].end
    );
    assert!(
        fleet.callers[&id(1)].sent_attempts > 1,
        "the stream did not move to another engine"
    );
}

#[test]
fn memory_is_released_within_a_second_after_a_caller_disconnects() {
    for seed in 0..10 {
        let (mut fleet, _) = start_stream(seed);
        fleet.disconnect_caller(id(1));
        fleet.run_for(Millis::new(1_000));
        assert_eq!(fleet.held_tokens(), Tokens::ZERO);
    }
}

#[test]
fn memory_is_released_within_a_lease_after_a_daemon_dies() {
    for seed in 0..10 {
        let (mut fleet, _) = start_stream(seed);
        fleet.request(&vm("a-vm2"), model_call(2, 100, 30_000));
        fleet.kill_vm(&vm("a-vm1"));
        fleet.run_for(Millis::new(5_000));
        assert!(
            fleet.callers[&id(2)].has_complete_answer(),
            "{:?}",
            fleet.callers[&id(2)].end
        );
        assert_eq!(fleet.held_tokens(), Tokens::ZERO, "seed {seed}");
    }
}

/// Sends two requests each 100 ms to the VMs that are ready, until `until`.
fn send_load(fleet: &mut Fleet, first: u128, until: Time) -> u128 {
    let mut number = first;
    while fleet.now < until {
        let ready = fleet
            .vms
            .iter()
            .filter(|(_, state)| state.is_ready && state.is_up());
        let ready: Vec<_> = ready.map(|(vm, _)| vm.clone()).collect();
        let at = ready[number as usize / 2 % ready.len()].clone();
        fleet.request(&at, model_call(number, 30, 20_000));
        fleet.request(
            &at,
            service_call(number + 1, &format!("k{number}"), 1, 20_000),
        );
        number += 2;
        fleet.run_for(Millis::new(100));
    }
    number
}

#[test]
fn a_rolling_restart_completes_all_requests() {
    for seed in 0..5 {
        rolling_restart(seed);
    }
}

fn rolling_restart(seed: u64) {
    let mut fleet = fleet(seed, &["a", "b"]);
    let mut number = 0;
    for name in ["a-vm1", "a-vm2", "b-vm1", "b-vm2"] {
        let until = fleet.now + Millis::new(2_000);
        number = send_load(&mut fleet, number, until);
        fleet.send_core(&vm(name), Event::Shutdown);
        let until = fleet.now + Millis::new(6_000);
        number = send_load(&mut fleet, number, until);
        assert!(fleet.vms[&vm(name)].has_exited, "{name} still runs");
        let member = fleet.vms[&vm(name)].member.clone();
        fleet.start_vm(member);
        let until = fleet.now + Millis::new(4_000);
        number = send_load(&mut fleet, number, until);
    }
    fleet.run_for(Millis::new(25_000));
    assert_eq!(invariant_violation(&fleet), None);
    let incomplete = fleet
        .callers
        .values()
        .filter(|caller| !caller.has_complete_answer());
    let incomplete: Vec<_> = incomplete
        .map(|c| (c.spec.id, c.sent_at, &c.vm, &c.end))
        .collect();
    assert!(
        incomplete.is_empty(),
        "{} of {number}: {incomplete:#?}",
        incomplete.len()
    );
    assert_eq!(fleet.held_tokens(), Tokens::ZERO);
}

#[test]
fn a_stream_longer_than_the_shutdown_grace_ends_with_outcome_unknown() {
    let mut fleet = fleet(5, &["a"]);
    fleet.request(&vm("a-vm1"), model_call(1, 5_000, 200_000));
    fleet.run_for(Millis::new(2_000));
    fleet.send_core(&vm("a-vm1"), Event::Shutdown);
    fleet.run_for(Millis::new(32_000));
    assert!(fleet.vms[&vm("a-vm1")].has_exited);
    let refusal = fleet.callers[&id(1)].refusal().expect("refusal");
    let refused = (refusal.code.to_string(), refusal.outcome.to_string());
    assert_eq!(refused, ("not_ready".into(), "unknown".into()));
    assert!(refusal.retry_after_ms.is_some());
    fleet.run_for(Millis::new(5_000));
    assert_eq!(fleet.held_tokens(), Tokens::ZERO);
}

#[test]
fn no_open_request_is_overdue() {
    let mut fleet = fleet(6, &["a"]);
    for state in fleet.upstreams.values_mut() {
        state.fault = UpstreamFault::Hangs;
    }
    for number in 0..200 {
        fleet.request(
            &vm("a-vm1"),
            model_call(number, 30, 500 + number as u64 * 13),
        );
        fleet.run_for(Millis::new(20));
        let state = &fleet.vms[&vm("a-vm1")];
        let node = state.node.as_ref().expect("node");
        // The process started at 1 s of fleet time.
        let local = Time::from_us(fleet.now.as_us() - 1_000_000);
        assert_eq!(node.oldest_overdue_ms(local), Millis::ZERO);
    }
    fleet.run_for(Millis::new(10_000));
    assert_eq!(invariant_violation(&fleet), None);
}
