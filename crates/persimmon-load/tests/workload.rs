//! Validation of mixes, generation of arrivals and prompts.

use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    request::{count_tokens, LengthClass},
    units::{Millis, Tokens},
};
use persimmon_load::workload::{
    schedule, Arrival, Mix, PromptGenerator, RawMix, RequestKind, ScheduleSettings,
};
use std::collections::BTreeMap;

fn arrivals(seed: u64, burst_requests: u32, rate_per_s: f64) -> Vec<Arrival> {
    let workspaces: Vec<(WorkspaceId, u32)> = vec![
        ("line-1".parse().unwrap(), 3),
        ("line-2".parse().unwrap(), 1),
    ];
    let services: Vec<ServiceName> = vec!["orders".parse().unwrap()];
    schedule(&ScheduleSettings {
        rng_seed: seed,
        rate_per_s,
        duration_ms: Millis::from_secs(60),
        burst_requests,
        mix: &Mix::example().unwrap(),
        workspaces: &workspaces,
        services: &services,
    })
}

#[test]
fn one_prompt_in_fifty_is_over_100k() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let all = arrivals(1, 1, 100.0);
    for arrival in &all {
        let class = arrival.class().map_or("service".into(), |c| c.to_string());
        *counts.entry(class).or_default() += 1;
    }
    let first = all.iter().filter(|a| a.workspace.as_str() == "line-1");
    let shares = (all.len(), first.count());
    insta::assert_snapshot!(format!("{counts:?} of (all, line-1) {shares:?}"));
}

#[test]
fn equal_seeds_give_equal_arrivals() {
    assert_eq!(arrivals(7, 1, 5.0), arrivals(7, 1, 5.0));
    assert_ne!(arrivals(7, 1, 5.0), arrivals(8, 1, 5.0));
}

#[test]
fn requests_of_a_burst_arrive_together() {
    let all = arrivals(1, 10, 20.0);
    assert!(all.len() >= 500, "only {}", all.len());
    for burst in all.chunks(10) {
        assert!(burst.iter().all(|arrival| arrival.at_us == burst[0].at_us));
    }
}

#[test]
fn prompts_have_the_requested_length_and_shared_prefix() {
    let prompts = PromptGenerator::new(1, Tokens::new(100));
    let arrival = |number_index, tokens, shares_prefix| Arrival {
        number_index,
        at_us: 0,
        workspace: "line-1".parse().unwrap(),
        kind: RequestKind::Model {
            prompt_tokens: Tokens::new(tokens),
            output_tokens: Tokens::new(1),
            shares_prefix,
        },
    };
    for tokens in [2, 99, 101, 5_000, 1_000_000] {
        let prompt = prompts.generate(&arrival(3, tokens, true));
        assert_eq!(count_tokens(&prompt), Tokens::new(tokens));
    }
    let (one, other) = (
        prompts.generate(&arrival(1, 300, true)),
        prompts.generate(&arrival(2, 300, true)),
    );
    let (one, other): (Vec<_>, Vec<_>) = (one.split(' ').collect(), other.split(' ').collect());
    assert_eq!(one[..100], other[..100]);
    assert_ne!(one[100], other[100]);
}

#[test]
fn length_classes_include_their_upper_bounds() {
    let class = |tokens| LengthClass::of(Tokens::new(tokens)).to_string();
    let bounds = [2_000, 2_001, 16_000, 16_001, 100_000, 100_001].map(class);
    insta::assert_snapshot!(bounds.join(" "), @"short medium medium long long huge");
}

#[test]
fn invalid_mixes_are_rejected() {
    let error_of = |change: fn(&mut RawMix)| {
        let mut fields = (*Mix::example().unwrap()).clone();
        change(&mut fields);
        Mix::try_from(fields).unwrap_err().to_string()
    };
    let errors = [
        error_of(|mix| mix.prompts.clear()),
        error_of(|mix| mix.prompts[0].min_tokens = Tokens::new(3_000)),
        error_of(|mix| mix.output_min_tokens = Tokens::ZERO),
        error_of(|mix| mix.service_ratio = 1.5),
        error_of(|mix| mix.timeout_ms = Millis::ZERO),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}
