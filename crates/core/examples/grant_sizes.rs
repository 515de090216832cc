//! Measures failure domains of several sizes, with long prompts placed in a bounded set of engines
//! or anywhere: steady load, a burst of long prompts after a minute without any, and a sudden
//! backlog. The name of an experiment as argument selects that experiment only.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Arrival, Mix, RequestRecord, Setup, Simulation, Statistics};
use persimmon_core::{
    grant::LongPromptPlacement,
    request::LengthClass,
    units::{Millis, Time},
};

const SEED: u64 = 4;
/// Prefill utilisation of all engines at 100% load.
const PEAK_BUSY_RATIO: f64 = 0.77;
const SHORTS: [LengthClass; 2] = [LengthClass::Short, LengthClass::Medium];

fn setup(long_placement: LongPromptPlacement, engines_count: usize, daemons_count: usize) -> Setup {
    let mut setup = Setup::warm(engines_count, daemons_count, SEED);
    setup.grant.long_placement = long_placement;
    setup
}

fn steady(setup: &Setup, load_percent: f64, span_s: (f64, f64)) -> Vec<Arrival> {
    let mix = Mix::default();
    let busy = PEAK_BUSY_RATIO * load_percent / 100.0;
    let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * busy;
    mix.arrivals(SEED, rate, span_s)
}

/// Short prompts only, at about half the prefill load, and ten long prompts that arrive at the same
/// time after a minute.
fn ten_at_once(setup: &Setup) -> Vec<Arrival> {
    let mut arrivals = steady(setup, 200.0, (0.0, 90.0));
    arrivals.retain(|arrival| arrival.prompt_tokens <= 16_000);
    arrivals.extend((0..10).map(|_| Arrival {
        at: Time::from_ms(60_000),
        workspace: 0,
        prompt_tokens: 200_000,
        output_tokens: 120,
        max_output_tokens: 240,
        timeout_ms: Millis::from_secs(60),
        blocks: Vec::new(),
    }));
    arrivals
}

/// Three times the load for one minute, preceded and followed by one minute at half the load.
fn backlog(setup: &Setup) -> Vec<Arrival> {
    let mut arrivals = steady(setup, 50.0, (0.0, 60.0));
    arrivals.extend(steady(setup, 300.0, (60.0, 120.0)));
    arrivals.extend(steady(setup, 50.0, (120.0, 180.0)));
    arrivals
}

fn print(name: &str, setup: &Setup, arrivals: Vec<Arrival>) {
    if std::env::args().nth(1).is_some_and(|only| only != name) {
        return;
    }
    let mut alone = arrivals.clone();
    alone.retain(|arrival| arrival.prompt_tokens <= 16_000);
    let alone = Simulation::new(setup.clone(), alone).run().to_vec();
    let shared = Simulation::new(setup.clone(), arrivals).run().to_vec();
    let ms =
        |records: &[RequestRecord]| Statistics::of_classes(records, &SHORTS).first_token_ms(95);
    let short = Statistics::of_classes(&shared, &SHORTS);
    let long = Statistics::of_classes(&shared, &[LengthClass::Long, LengthClass::Huge]);
    println!(
        "{name:<12} {:>4} {:<9} {:>6} {:>8.2} {:>7.0} {:>6.1} {:>6} {:>8.0} {:>8.0} {:>6.1}",
        setup.engines_count,
        format!("{:?}", setup.grant.long_placement).to_lowercase(),
        short.requests_count,
        ms(&shared) / ms(&alone),
        ms(&shared),
        short.complete_percent(),
        long.requests_count,
        long.first_token_ms(50),
        long.first_token_ms(95),
        long.complete_percent(),
    );
}

fn main() {
    println!("experiment   engi placement shorts slowdown   p95ms  good%  longs long50ms long95ms  good%");
    for long_placement in [LongPromptPlacement::Anywhere, LongPromptPlacement::Bounded] {
        for (engines, daemons) in [(5, 1), (5, 3), (16, 3)] {
            let setup = setup(long_placement, engines, daemons);
            print("load 70", &setup, steady(&setup, 70.0, (0.0, 120.0)));
            print("load 100", &setup, steady(&setup, 100.0, (0.0, 120.0)));
            print("ten at once", &setup, ten_at_once(&setup));
            print("backlog", &setup, backlog(&setup));
        }
        let setup = setup(long_placement, 516, 64);
        print("load 70", &setup, steady(&setup, 70.0, (0.0, 30.0)));
    }
}
