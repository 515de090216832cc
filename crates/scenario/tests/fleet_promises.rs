//! Complete daemons under random faults: no invariant is violated, and engines release their KV
//! memory.

mod common;

use common::{
    daemons::fleet,
    specs::{id, model_call, service_call},
    upstream, vm,
};
use persimmon_core::{
    ids::UpstreamId,
    operator::{Intent, OperatorCommand, OperatorReply},
    units::{Millis, Tokens},
};
use persimmon_scenario::{invariant_violation, Fleet, StoreFault, UpstreamFault};
use proptest::{
    prelude::{any, prop_assert_eq, proptest, ProptestConfig},
    test_runner::RngSeed,
};
use rand::Rng;
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};

const VMS: [&str; 4] = ["a-vm1", "a-vm2", "b-vm1", "b-vm2"];

fn pick<'a>(rng: &mut ChaCha8Rng, names: &[&'a str]) -> &'a str {
    names[rng.next_u64() as usize % names.len()]
}

fn send_random_request(fleet: &mut Fleet, rng: &mut ChaCha8Rng, number: u128) {
    let at = vm(pick(rng, &VMS));
    let timeout_ms = 500 + rng.next_u64() % 15_000;
    let key = format!("k{}", rng.next_u64() % 8);
    match rng.next_u64() % 8 {
        0..=3 => fleet.request(&at, model_call(number, 1 + rng.next_u64() % 40, timeout_ms)),
        4..=6 => fleet.request(&at, service_call(number, &key, 1, timeout_ms)),
        _ => fleet.request(&at, service_call(number, "", 1, timeout_ms)),
    }
}

fn inject_upstream_fault(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let letter = pick(rng, &["e", "s"]);
    let name = format!(
        "{}-{letter}{}",
        pick(rng, &["a", "b"]),
        1 + rng.next_u64() % 2
    );
    let name: UpstreamId = upstream(&name);
    match rng.next_u64() % 3 {
        0 => fleet.kill_upstream(&name),
        1 => fleet.hang_upstream(&name),
        _ => fleet.restart_upstream(&name),
    }
}

fn plan_random_change(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let domain = pick(rng, &["a", "b"]).parse().expect("domain");
    let intent = match rng.next_u64() % 2 {
        0 => Intent::DrainDomain(domain),
        _ => Intent::ReturnDomain(domain),
    };
    let command = OperatorCommand::Plan {
        intent,
        force: true,
    };
    let who = "op".parse().expect("operator");
    fleet.send_command(&vm(pick(rng, &VMS)), who, command);
}

/// Confirms the most recent plan, if any.
fn confirm_latest_plan(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let plan = fleet.replies.values().rev().find_map(|reply| match reply {
        OperatorReply::Plan(plan) => Some(plan.id.clone()),
        _ => None,
    });
    if let Some(plan) = plan {
        let who = "op".parse().expect("operator");
        fleet.send_command(&vm(pick(rng, &VMS)), who, OperatorCommand::Confirm(plan));
    }
}

fn apply_random_event(fleet: &mut Fleet, rng: &mut ChaCha8Rng, number: u128) {
    let at = vm(pick(rng, &VMS));
    match rng.next_u64() % 40 {
        0..=24 => send_random_request(fleet, rng, number),
        25 => fleet.disconnect_caller(id(rng.next_u64() as u128 % number.max(1))),
        26 => {
            fleet.store.fault = match rng.next_u64() % 4 {
                0 => StoreFault::Down,
                1 => StoreFault::Slow(Millis::new(rng.next_u64() % 3_000)),
                2 => StoreFault::LosesAnswers,
                _ => StoreFault::None,
            };
        }
        27 | 28 => inject_upstream_fault(fleet, rng),
        29 => {
            fleet.kill_vm(&at);
            let member = fleet.vms[&at].member.clone();
            fleet.start_vm(member);
        }
        30 => fleet.pause_vm(&at),
        31 | 32 => fleet.resume_vm(&at),
        33 => fleet.set_domain_partitioned(&"b".parse().expect("domain"), true),
        34 | 35 => fleet.set_domain_partitioned(&"b".parse().expect("domain"), false),
        36 => fleet.network.set_isolated(&at, true),
        37 => fleet.network.set_isolated(&at, false),
        38 => plan_random_change(fleet, rng),
        _ => confirm_latest_plan(fleet, rng),
    }
}

fn clear_faults(fleet: &mut Fleet) {
    fleet.store.fault = StoreFault::None;
    fleet.set_domain_partitioned(&"b".parse().expect("domain"), false);
    for name in VMS {
        fleet.resume_vm(&vm(name));
        fleet.network.set_isolated(&vm(name), false);
    }
    for state in fleet.upstreams.values_mut() {
        if state.fault == UpstreamFault::Dead {
            state.restart();
        }
        state.fault = UpstreamFault::None;
    }
}

fn run_random_events(seed: u64) -> Fleet {
    let mut fleet = fleet(seed, &["a", "b"]);
    fleet.network.fault_rates.duplicate_percent = (seed % 20) as u32;
    fleet.network.fault_rates.store_answer_loss_percent = (seed % 13) as u32;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for number in 0..150 {
        fleet.run_for(Millis::new(rng.next_u64() % 300));
        apply_random_event(&mut fleet, &mut rng, number);
    }
    clear_faults(&mut fleet);
    fleet.run_for(Millis::new(40_000));
    fleet
}

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::with_cases(60);
    config.rng_seed = RngSeed::Fixed(6);
    config.failure_persistence = None;
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold(seed in any::<u64>()) {
        let mut fleet = run_random_events(seed);
        prop_assert_eq!(invariant_violation(&fleet), None);
        // After the faults are cleared the fleet must serve again.
        for (number, name) in VMS.iter().enumerate() {
            fleet.request(&vm(name), model_call(1_000 + number as u128, 20, 20_000));
        }
        fleet.run_for(Millis::new(25_000));
        prop_assert_eq!(invariant_violation(&fleet), None);
    }

    #[test]
    fn engine_memory_is_released(seed in any::<u64>()) {
        let fleet = run_random_events(seed);
        prop_assert_eq!(fleet.held_tokens(), Tokens::ZERO);
    }
}
