//! Owners and routers with simulated engines under load, in virtual time.

#[path = "common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Arrival, Mix, Outcome, Policy, RequestRecord, Setup, Simulation, Statistics};
use persimmon_core::{
    request::LengthClass,
    units::{Millis, Time},
};

const SEED: u64 = 8;
const SHORTS: [LengthClass; 2] = [LengthClass::Short, LengthClass::Medium];

fn setup(policy: Policy, engines_count: usize, ramp_start_requests: u32) -> Setup {
    let mut setup = Setup::warm(engines_count, 3, SEED).with_policy(policy);
    setup.grant.ramp_start_requests = ramp_start_requests;
    setup
}

fn arrivals(setup: &Setup, busy_ratio: f64, span_s: f64) -> Vec<Arrival> {
    let mix = Mix::default();
    let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * busy_ratio;
    mix.arrivals(SEED, rate, (0.0, span_s))
}

fn without_long(mut arrivals: Vec<Arrival>) -> Vec<Arrival> {
    arrivals.retain(|arrival| arrival.prompt_tokens <= 16_000);
    arrivals
}

fn run(setup: &Setup, arrivals: Vec<Arrival>) -> Vec<RequestRecord> {
    Simulation::new(setup.clone(), arrivals).run().to_vec()
}

fn short_ms(records: &[RequestRecord]) -> f64 {
    Statistics::of_classes(records, &SHORTS).first_token_ms(95)
}

#[test]
fn long_prompts_hardly_slow_short_ones_and_less_than_under_the_baselines() {
    let slowdown = |policy| {
        let setup = setup(policy, 16, 128);
        let all = arrivals(&setup, 0.54, 60.0);
        let shared = run(&setup, all.clone());
        assert!(shared
            .iter()
            .all(|record| record.outcome != Outcome::Pending));
        (
            short_ms(&shared) / short_ms(&run(&setup, without_long(all))),
            short_ms(&shared),
        )
    };
    let (cost, cost_ms) = slowdown(Policy::Cost);
    let (round_robin, _) = slowdown(Policy::RoundRobin);
    let (least_outstanding, _) = slowdown(Policy::LeastOutstanding);
    assert!(cost <= 1.10, "slowdown {cost}");
    assert!(cost_ms <= 360.0, "p95 {cost_ms}");
    assert!(cost < round_robin && cost < least_outstanding);
}

#[test]
fn ten_long_prompts_at_once_are_all_served_and_short_ones_do_not_wait_for_them() {
    let setup = setup(Policy::Cost, 5, 128);
    let short = without_long(arrivals(&setup, 1.0, 60.0));
    let mut all = short.clone();
    all.extend((0..10).map(|_| Arrival {
        at: Time::from_ms(30_000),
        workspace: 0,
        prompt_tokens: 200_000,
        output_tokens: 100,
        max_output_tokens: 200,
        timeout_ms: Millis::from_secs(60),
        blocks: Vec::new(),
    }));
    let shared = run(&setup, all);
    assert!(shared
        .iter()
        .all(|record| record.outcome == Outcome::Complete));
    let slowdown = short_ms(&shared) / short_ms(&run(&setup, short));
    assert!(slowdown <= 1.25, "slowdown {slowdown}");
}

#[test]
fn a_restarted_engine_never_gets_more_than_it_can_handle() {
    let setup = setup(Policy::Cost, 4, 2);
    let mut simulation = Simulation::new(setup.clone(), arrivals(&setup, 0.35, 60.0));
    simulation.restart_at(Time::from_ms(30_000), 1);
    let records = simulation.run().to_vec();
    assert_eq!(
        simulation
            .engines
            .iter()
            .map(|e| e.cold_overloads_count)
            .sum::<u32>(),
        0
    );
    assert!(
        simulation.engines[1].bearable_requests() > 10,
        "the restarted engine has warmed up again"
    );
    assert!(Statistics::of_classes(&records, &SHORTS).complete_percent() > 99.0);
}
