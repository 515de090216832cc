//! Guards against retries that multiply the load while engines fail: the retry budget bounds the
//! attempts per request. `cargo test -p persimmon-scenario --test retry_amplification --
//! --nocapture` prints the measurements.

mod common;

use common::{specs::model_call, vm, ENTRIES};
use persimmon_core::{
    daemon::ComponentSettings,
    entry::{EntrySettings, RawEntrySettings},
    units::Millis,
};
use persimmon_scenario::{
    invariant_violation, Defects, DomainSpec, Fleet, FleetSpec, UpstreamFault,
};
use std::fmt;

/// Number of requests of one run.
const REQUESTS_COUNT: u128 = 1_000;
/// Time between two requests.
const REQUEST_INTERVAL_MS: Millis = Millis::new(50);

/// Results of one run.
struct Measurement {
    attempts_per_request: f64,
    complete_percent: f64,
    p95_refused_ms: u64,
    violation: Option<String>,
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (attempts, complete) = (self.attempts_per_request, self.complete_percent);
        let refused_ms = self.p95_refused_ms;
        write!(
            f,
            "{attempts:.3} attempts/request, {complete:.1} % complete, refused p95 {refused_ms} ms"
        )
    }
}

fn settings(retry_budget_percent: u32) -> RawEntrySettings {
    RawEntrySettings {
        retry_budget_percent,
        ..RawEntrySettings::default()
    }
}

/// Entry nodes with fake owners, which do not learn from failures.
fn entries_with_fake_owners(retry_budget_percent: u32) -> (Fleet, Vec<&'static str>) {
    let fleet = common::fleet(7, 5, settings(retry_budget_percent));
    (fleet, ENTRIES.into())
}

/// Complete daemons.
fn daemons(retry_budget_percent: u32) -> (Fleet, Vec<&'static str>) {
    let entry = EntrySettings::try_from(settings(retry_budget_percent)).expect("settings");
    let spec = FleetSpec {
        seed: 7,
        domains: vec![DomainSpec {
            name: "a".parse().expect("domain"),
            vms_count: 2,
            engines_count: 10,
            servers_count: 0,
        }],
        workspaces: vec!["w".parse().expect("workspace")],
        components: ComponentSettings {
            entry,
            ..ComponentSettings::default()
        },
        defects: Defects::new(),
    };
    let mut fleet = spec.build().expect("fleet");
    fleet.run_for(Millis::new(10_000));
    (fleet, vec!["a-vm1", "a-vm2"])
}

fn measure(
    (mut fleet, vms): (Fleet, Vec<&str>),
    fault: UpstreamFault,
    failing_count: usize,
) -> Measurement {
    for state in fleet.upstreams.values_mut().step_by(10 / failing_count) {
        if state.token_gap() > Millis::ZERO {
            state.fault = fault;
        }
    }
    for number in 0..REQUESTS_COUNT {
        let vm = vm(vms[number as usize % vms.len()]);
        fleet.request(&vm, model_call(number, 10, 10_000));
        fleet.run_for(REQUEST_INTERVAL_MS);
    }
    fleet.run_for(Millis::new(25_000));
    let sent: u32 = fleet.callers.values().map(|c| c.sent_attempts).sum();
    let complete = fleet
        .callers
        .values()
        .filter(|c| c.has_complete_answer())
        .count();
    let refused = fleet.callers.values().filter(|c| c.refusal().is_some());
    let ends = refused.filter_map(|c| c.end.as_ref().map(|(at, _)| at.since(c.sent_at).get()));
    let mut refused_ms: Vec<u64> = ends.collect();
    refused_ms.sort_unstable();
    let index = refused_ms.len() * 95 / 100;
    Measurement {
        attempts_per_request: f64::from(sent) / REQUESTS_COUNT as f64,
        complete_percent: complete as f64 * 100.0 / REQUESTS_COUNT as f64,
        p95_refused_ms: refused_ms.get(index).copied().unwrap_or(0),
        violation: invariant_violation(&fleet),
    }
}

const FAULTS: [UpstreamFault; 4] = [
    UpstreamFault::Dead,
    UpstreamFault::Overloaded,
    UpstreamFault::DropsConnections,
    UpstreamFault::Hangs,
];

#[test]
fn retries_stay_in_their_budget() {
    for fault in FAULTS {
        for failing_count in [5, 10] {
            for percent in [20, 100] {
                let fake_owners = measure(entries_with_fake_owners(percent), fault, failing_count);
                let complete_daemons = measure(daemons(percent), fault, failing_count);
                println!("{failing_count} of 10 {fault:?}, budget {percent} %");
                println!("    fake owners:      {fake_owners}");
                println!("    complete daemons: {complete_daemons}");
                for measurement in [&fake_owners, &complete_daemons] {
                    assert_eq!(measurement.violation, None);
                    assert!(
                        percent > 20 || measurement.attempts_per_request <= 1.2,
                        "{measurement}"
                    );
                }
            }
        }
    }
}

#[test]
fn half_of_the_engines_serve_all() {
    for fault in [UpstreamFault::Dead, UpstreamFault::Overloaded] {
        let measurement = measure(daemons(20), fault, 5);
        assert!(
            measurement.complete_percent >= 95.0,
            "{fault:?}: {measurement}"
        );
    }
}
