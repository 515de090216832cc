//! Complete daemons, upstreams and the store without faults.

mod common;

use common::specs::{model_call, service_call};
use persimmon_core::{
    daemon::ComponentSettings,
    units::{Millis, Tokens},
};
use persimmon_scenario::{invariant_violation, Defects, DomainSpec, Fleet, FleetSpec};

/// Failure domains `a` and `b`, each with two VMs, three engines and two servers.
fn fleet(seed: u64) -> Fleet {
    let domain = |name: &str| DomainSpec {
        name: name.parse().expect("domain"),
        vms_count: 2,
        engines_count: 3,
        servers_count: 2,
    };
    let spec = FleetSpec {
        seed,
        domains: vec![domain("a"), domain("b")],
        workspaces: vec!["w".parse().expect("workspace")],
        components: ComponentSettings::default(),
        defects: Defects::new(),
    };
    let mut fleet = spec.build().expect("fleet");
    fleet.run_for(Millis::new(10_000));
    fleet
}

#[test]
fn all_answers_are_complete() {
    let mut fleet = fleet(1);
    assert!(fleet.vms.values().all(|vm| vm.is_ready), "not ready");
    for number in 0..20 {
        let vm = common::vm(["a-vm1", "a-vm2", "b-vm1", "b-vm2"][number as usize % 4]);
        fleet.request(&vm, model_call(number, 20, 20_000));
        fleet.request(
            &vm,
            service_call(100 + number, &format!("k{}", number / 2), 1, 20_000),
        );
        fleet.run_for(Millis::new(50));
    }
    fleet.run_for(Millis::new(30_000));
    assert_eq!(invariant_violation(&fleet), None);
    let incomplete = fleet
        .callers
        .values()
        .filter(|caller| !caller.has_complete_answer());
    let incomplete: Vec<_> = incomplete
        .map(|caller| (caller.spec.id, &caller.end))
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
    assert_eq!(fleet.held_tokens(), Tokens::ZERO);
}
