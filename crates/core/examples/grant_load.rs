//! Compares the cost policy with round robin and least outstanding on the same arrivals: time to
//! first token by prompt length, slowdown of short prompts, and complete answers under load. The
//! name of a policy as argument selects that policy only.

#[path = "../tests/common/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use fleet::{Mix, Policy, RequestRecord, Setup, Simulation, Statistics};
use persimmon_core::request::LengthClass;

const SEED: u64 = 4;
const SPAN_S: f64 = 200.0;
/// Prefill utilisation of all engines at 100% load.
const PEAK_BUSY_RATIO: f64 = 0.77;
const SHORTS: [LengthClass; 2] = [LengthClass::Short, LengthClass::Medium];

fn run(policy: Policy, load_percent: f64, alone: bool) -> Vec<RequestRecord> {
    let setup = Setup::warm(16, 3, SEED).with_policy(policy);
    let mix = Mix::default();
    let busy = PEAK_BUSY_RATIO * load_percent / 100.0;
    let rate = setup.saturating_arrivals_per_s(mix.mean_prompt_tokens()) * busy;
    let mut arrivals = mix.arrivals(SEED, rate, (0.0, SPAN_S));
    if alone {
        arrivals.retain(|arrival| arrival.prompt_tokens <= 16_000);
    }
    Simulation::new(setup, arrivals).run().to_vec()
}

fn main() {
    println!("policy            load class     asked good% refused failed  p50ms  p95ms  p99ms");
    let mut slowdowns = Vec::new();
    let only = std::env::args().nth(1);
    for policy in [Policy::RoundRobin, Policy::LeastOutstanding, Policy::Cost] {
        if only.as_ref().is_some_and(|only| only != name(policy)) {
            continue;
        }
        let mut peak = 0.0_f64;
        for load in loads() {
            let name = load.to_string();
            let alone = Statistics::of_classes(&run(policy, load, true), &SHORTS);
            print(policy, &name, "alone<=16k", &alone);
            let records = run(policy, load, false);
            for class in LengthClass::ALL {
                let statistics = Statistics::of_classes(&records, &[class]);
                print(policy, &name, &class.to_string(), &statistics);
            }
            let shorts = Statistics::of_classes(&records, &SHORTS);
            print(policy, &name, "<=16k", &shorts);
            let all = Statistics::of(records.iter());
            let good_per_s = all.complete_count as f64 / SPAN_S;
            peak = peak.max(good_per_s);
            let ratio = shorts.first_token_ms(95) / alone.first_token_ms(95);
            slowdowns.push((policy, load, ratio, good_per_s, good_per_s / peak));
        }
    }
    println!("\npolicy            load slowdown good/s good/peak");
    for (policy, load, ratio, good_per_s, of_peak) in slowdowns {
        println!(
            "{:<17} {load:>4} {ratio:>8.2} {good_per_s:>6.1} {of_peak:>9.2}",
            name(policy)
        );
    }
}

/// Loads, in percent of the arrival rate at which the cost policy answers nearly all requests.
fn loads() -> Vec<f64> {
    let given = std::env::args().skip(2);
    let given: Vec<f64> = given.filter_map(|load| load.parse().ok()).collect();
    if given.is_empty() {
        return vec![70.0, 100.0, 150.0];
    }
    given
}

fn name(policy: Policy) -> &'static str {
    match policy {
        Policy::Cost => "cost",
        Policy::LeastOutstanding => "least_outstanding",
        Policy::RoundRobin => "round_robin",
    }
}

fn print(policy: Policy, load: &str, class: &str, statistics: &Statistics) {
    println!(
        "{:<17} {load:>4} {class:<10} {:>5} {:>5.1} {:>7} {:>6} {:>6.0} {:>6.0} {:>6.0}",
        name(policy),
        statistics.requests_count,
        statistics.complete_percent(),
        statistics.refused_count,
        statistics.failed_count,
        statistics.first_token_ms(50),
        statistics.first_token_ms(95),
        statistics.first_token_ms(99),
    );
}
