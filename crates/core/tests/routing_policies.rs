//! The owner that each routing policy selects, and the requests that are refused without asking
//! one.

#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{configuration, engine, member, model, model_spec, service_spec, Bench};
use persimmon_core::{
    config::ServiceState,
    ids::VmId,
    message::{CapacitySummary, GrantAnswer, GrantDenial, ModelCapacity},
    request::{CallTarget, RequestSpec},
    routing::{router, RouteQuery, Router, RoutingPolicy, RoutingSettings},
    units::{KvBytes, Millis, Tokens},
};
use std::{collections::BTreeMap, sync::Arc};

fn bench() -> Bench {
    let engines = vec![("e1", engine("a", 9, 9)), ("e2", engine("b", 9, 9))];
    let mut bench = Bench::new(configuration(&["a", "b"], engines));
    for (vm, domain) in [("vm-2", "a"), ("vm-3", "a"), ("vm-4", "b")] {
        bench.directory.add(&member(vm, domain));
    }
    bench
}

fn summary(short_wait_ms: u64, free_requests: u32) -> CapacitySummary {
    let capacity = ModelCapacity {
        engines: 1,
        free_requests,
        free_kv_bytes: KvBytes::new(1_000_000),
        max_prompt_tokens: Tokens::new(200_000),
        short_wait_ms: Millis::new(short_wait_ms),
        long_wait_ms: Millis::new(short_wait_ms * 10),
    };
    CapacitySummary {
        models: vec![(model(), capacity)],
        services: vec![("cell-orders".parse().unwrap(), free_requests)],
        ..CapacitySummary::default()
    }
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn policy(policy: RoutingPolicy) -> Box<dyn Router> {
    router(&RoutingSettings {
        policy,
        ..RoutingSettings::default()
    })
}

fn ask(bench: &mut Bench, router: &mut dyn Router, spec: &RequestSpec, tried: &[VmId]) -> String {
    ask_with_suggestion(bench, router, spec, tried, None)
}

fn ask_with_suggestion(
    bench: &mut Bench,
    router: &mut dyn Router,
    spec: &RequestSpec,
    tried: &[VmId],
    suggested: Option<&VmId>,
) -> String {
    let query = RouteQuery {
        spec,
        tried,
        suggested_owner: suggested,
        remaining_ms: spec.timeout_ms,
    };
    match bench.with(|ctx, view| router.route(ctx, view, &query)) {
        Ok(route) => format!("{} ({})", route.owner, route.reason),
        Err(refusal) => {
            let again = refusal
                .retry_after_ms
                .map_or("never".into(), |m| m.to_string());
            format!("{} {again}: {}", refusal.code, refusal.message)
        }
    }
}

#[test]
fn cost_selects_the_least_wait_and_prefers_the_local_domain() {
    let mut bench = bench();
    let mut router = policy(RoutingPolicy::Cost);
    for (name, wait) in [("vm-1", 90), ("vm-2", 20), ("vm-3", 40), ("vm-4", 0)] {
        bench.directory.summaries.insert(vm(name), summary(wait, 1));
    }
    let spec = model_spec(1, 1_000, 100);
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"vm-2 (least predicted wait)");
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[vm("vm-2")]), @"vm-3 (least predicted wait)");
    // Recently sent work adds to the predicted wait until it is complete.
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"vm-4 (least predicted wait)");
    bench.advance(1_000);
    let denial = GrantAnswer::Denied(GrantDenial::Busy {
        better: None,
        retry_after_ms: Millis::new(500),
        summary: CapacitySummary::default(),
    });
    bench.with(|ctx, _| router.on_answer(ctx, &vm("vm-2"), &denial));
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"vm-3 (least predicted wait)");
    bench.advance(400);
    bench.directory.summaries.insert(vm("vm-3"), summary(40, 0));
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"vm-4 (least predicted wait)");
    let suggested = vm("vm-1");
    insta::assert_snapshot!(ask_with_suggestion(&mut bench, &mut *router, &spec, &[], Some(&suggested)), @"vm-1 (named by the last denial)");
}

#[test]
fn each_policy_spreads_requests_evenly_within_the_domain() {
    for (name, expected) in [
        (RoutingPolicy::RoundRobin, 30),
        (RoutingPolicy::LeastOutstanding, 30),
        (RoutingPolicy::Cost, 30),
    ] {
        let mut bench = bench();
        let mut router = policy(name);
        for owner in ["vm-1", "vm-2", "vm-3"] {
            bench.directory.summaries.insert(vm(owner), summary(10, 1));
        }
        let offer = grant_bench::offer("e1");
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for request in 0..90 {
            let owner = ask(&mut bench, &mut *router, &model_spec(request, 9, 9), &[]);
            let owner = owner.split(' ').next().unwrap().to_string();
            let answer = GrantAnswer::Granted(offer.clone());
            bench.with(|ctx, _| router.on_answer(ctx, &vm(&owner), &answer));
            *counts.entry(owner).or_default() += 1;
        }
        let slack = if name == RoutingPolicy::Cost { 15 } else { 0 };
        for (owner, count) in &counts {
            assert!(
                count.abs_diff(expected) <= slack,
                "{name:?} {owner}: {count}"
            );
        }
        assert_eq!(
            counts.len(),
            3,
            "{name:?} selected an owner of another failure domain: {counts:?}"
        );
    }
}

#[test]
fn a_drained_failure_domain_is_never_selected() {
    let mut bench = bench();
    let mut config = (*bench.config).clone();
    config.domains.get_mut(&"a".parse().unwrap()).unwrap().state = ServiceState::Drained;
    bench.config = Arc::new(config);
    for name in [
        RoutingPolicy::Cost,
        RoutingPolicy::LeastOutstanding,
        RoutingPolicy::RoundRobin,
    ] {
        let mut router = policy(name);
        let suggested = vm("vm-2");
        let spec = model_spec(1, 1_000, 100);
        let answer = ask_with_suggestion(&mut bench, &mut *router, &spec, &[], Some(&suggested));
        assert!(answer.starts_with("vm-4"), "{name:?}: {answer}");
    }
}

#[test]
fn requests_that_no_owner_can_serve_are_refused() {
    let mut bench = bench();
    let mut router = policy(RoutingPolicy::Cost);
    let spec = model_spec(1, 1_000, 100);
    let all_owners = ["vm-1", "vm-2", "vm-3", "vm-4"].map(vm);
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &all_owners), @"no_capacity 1000ms: no capacity before the deadline: come back, or give a longer timeout");
    let mut unknown_workspace = spec.clone();
    unknown_workspace.workspace = "nobody".parse().unwrap();
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &unknown_workspace, &[]), @"unknown_workspace never: no workspace nobody: check the X-Workspace header");
    let mut unknown = spec.clone();
    if let CallTarget::Model(call) = &mut unknown.target {
        call.model = "poet".parse().unwrap();
    }
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &unknown, &[]), @"unknown_model never: no model poet for workspace w1: check the name, or have it served");
    let mut service = service_spec(1);
    if let CallTarget::Service(call) = &mut service.target {
        call.service = "laundry".parse().unwrap();
    }
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &service, &[]), @"unknown_service never: no service laundry: check the path");
    for owner in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let none = CapacitySummary::default();
        bench.directory.summaries.insert(vm(owner), none);
    }
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"unreachable 1000ms: no daemon with a fitting upstream can be reached: check peers and models");
    let mut config = (*bench.config).clone();
    for domain in config.domains.values_mut() {
        domain.state = ServiceState::Drained;
    }
    bench.config = Arc::new(config);
    insta::assert_snapshot!(ask(&mut bench, &mut *router, &spec, &[]), @"no_capacity 1000ms: every failure domain that serves this is drained: return one, or come back");
}

#[test]
fn settings_out_of_range_name_key_value_and_remedy() {
    let parse = |text: &str| serde_json::from_str::<RoutingSettings>(text);
    insta::assert_snapshot!(parse(r#"{"sampled_count": 0}"#).unwrap_err(), @"routing.sampled_count is 0: give 1 to 64");
    insta::assert_snapshot!(parse(r#"{"sample": 1}"#).unwrap_err(), @"unknown field `sample`, expected one of `policy`, `sampled_count`, `asked_count`, `cross_domain_ms`, `no_summary_ms`, `retry_after_ms` at line 1 column 9");
    let checked = parse(r#"{"policy": "round_robin"}"#).unwrap();
    assert_eq!(checked.policy, RoutingPolicy::RoundRobin);
    let parse = |text: &str| serde_json::from_str::<persimmon_core::grant::GrantSettings>(text);
    insta::assert_snapshot!(parse(r#"{"poll_ms": 1}"#).unwrap_err(), @"grant.poll_ms is 1: give 50 to 60000");
}
