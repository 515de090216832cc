//! Fleets of complete daemons.

use super::vm;
use persimmon_core::{
    daemon::ComponentSettings,
    operator::{Intent, OperatorCommand, OperatorReply},
    units::Millis,
};
use persimmon_scenario::{Defects, DomainSpec, Fleet, FleetSpec};

/// A failure domain with two VMs, three engines and two servers.
pub fn domain(name: &str) -> DomainSpec {
    DomainSpec {
        name: name.parse().expect("domain"),
        vms_count: 2,
        engines_count: 3,
        servers_count: 2,
    }
}

/// A fleet with these failure domains, after 10 s in which the daemons discover each other.
pub fn fleet(seed: u64, names: &[&str]) -> Fleet {
    let spec = FleetSpec {
        seed,
        domains: names.iter().map(|name| domain(name)).collect(),
        workspaces: vec!["w".parse().expect("workspace")],
        components: ComponentSettings::default(),
        defects: Defects::new(),
    };
    let mut fleet = spec.build().expect("fleet");
    fleet.run_for(Millis::new(10_000));
    fleet
}

fn run_command(fleet: &mut Fleet, at: &str, command: OperatorCommand) -> OperatorReply {
    let operator = "op".parse().expect("operator");
    let call = fleet.send_command(&vm(at), operator, command);
    for _ in 0..200 {
        fleet.run_for(Millis::new(50));
        if let Some(reply) = fleet.replies.remove(&call) {
            return reply;
        }
    }
    panic!("no reply within 10 s");
}

/// Plans and confirms a change.
pub fn confirm(fleet: &mut Fleet, at: &str, intent: Intent) {
    let command = OperatorCommand::Plan {
        intent,
        force: true,
    };
    let OperatorReply::Plan(plan) = run_command(fleet, at, command) else {
        panic!("the command was not planned");
    };
    let reply = run_command(fleet, at, OperatorCommand::Confirm(plan.id));
    assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
}
