//! Measures the time of one decision at 16, 516 and 3,100 upstreams: the router's choice of an
//! owner, the owner's choice of an upstream, and a decision while many requests are queued.

#[path = "../tests/common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{
    attempt, configuration, end_of, engine, grant_request, member, model, model_spec, upstream,
    warm_report, Bench,
};
use persimmon_core::{
    config::UpstreamConfig,
    grant::{GrantSettings, Owner, RawGrantSettings},
    message::{CapacitySummary, GrantMessage, Member, ModelCapacity},
    ownership::OwnershipChange,
    request::RequestSpec,
    routing::{router, RouteQuery, RoutingSettings},
    units::{KvBytes, Millis, Time, Tokens},
};
use std::time::Instant;

const DECISIONS_COUNT: u128 = 20_000;
/// Upstreams of one owner at the design size of 3,100 upstreams and 380 daemons.
const OWNED_COUNT: usize = 8;
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

struct Fleet {
    bench: Bench,
    owner: Owner,
    entry: Member,
}

fn fleet(upstreams_count: usize) -> Fleet {
    let domain_of = |index: usize| DOMAINS[index / OWNED_COUNT % DOMAINS.len()];
    let names: Vec<String> = (0..upstreams_count).map(|i| format!("e{i:04}")).collect();
    let config_of = |index: usize| -> UpstreamConfig { engine(domain_of(index), 400_000, 128) };
    let engines = names.iter().enumerate();
    let engines = engines.map(|(index, name)| (name.as_str(), config_of(index)));
    let mut bench = Bench::new(configuration(&DOMAINS, engines.collect()));
    for index in (0..upstreams_count).step_by(OWNED_COUNT).skip(1) {
        let owner = member(&format!("vm-{}", index / OWNED_COUNT + 1), domain_of(index));
        bench.directory.add(&owner);
        bench
            .directory
            .summaries
            .insert(owner.vm.clone(), summary());
        for name in names.iter().skip(index).take(OWNED_COUNT) {
            bench
                .directory
                .owners
                .insert(upstream(name), owner.vm.clone());
        }
    }
    let raw = RawGrantSettings {
        ramp_start_requests: 128,
        ..RawGrantSettings::default()
    };
    let settings = GrantSettings::try_from(raw).expect("the defaults are in range");
    let mut owner = Owner::new(settings);
    for name in names.iter().take(OWNED_COUNT) {
        let change = OwnershipChange::Gained {
            upstream: upstream(name),
            fencing: Default::default(),
            learning_until: Time::START,
        };
        bench.with(|ctx, view| owner.on_ownership(ctx, view, &change));
        let report = warm_report();
        bench.with(|ctx, view| owner.on_load(ctx, view, &upstream(name), Ok(&report)));
    }
    bench.take();
    let entry = bench.me.clone();
    Fleet {
        bench,
        owner,
        entry,
    }
}

fn summary() -> CapacitySummary {
    let capacity = ModelCapacity {
        engines: OWNED_COUNT as u32,
        free_requests: 100,
        free_kv_bytes: KvBytes::new(1_000_000),
        max_prompt_tokens: Tokens::new(400_000),
        short_wait_ms: Millis::new(5),
        long_wait_ms: Millis::new(500),
    };
    CapacitySummary {
        models: vec![(model(), capacity)],
        ..CapacitySummary::default()
    }
}

/// Duration of each call in microseconds, sorted.
fn timed(mut call: impl FnMut(u128)) -> Vec<f64> {
    let one = |index| {
        let start = Instant::now();
        call(index);
        start.elapsed().as_secs_f64() * 1e6
    };
    let mut spans: Vec<f64> = (1..=DECISIONS_COUNT).map(one).collect();
    spans.sort_by(f64::total_cmp);
    spans
}

fn print(upstreams_count: usize, name: &str, spans: &[f64]) {
    let at = |percent: usize| spans[spans.len() * percent / 100];
    println!(
        "{upstreams_count:>9} {name:<28} {:>6.1} {:>6.1}",
        at(50),
        at(99)
    );
}

fn spec(index: u128) -> RequestSpec {
    let prompt = if index % 50 == 0 { 150_000 } else { 1_500 };
    model_spec(index, prompt, 100)
}

fn main() {
    println!("upstreams decision                      p50us  p99us");
    for upstreams_count in [16, 516, 3_100] {
        let mut f = fleet(upstreams_count);
        let mut router = router(&RoutingSettings::default());
        let spans = timed(|index| {
            let spec = spec(index);
            let query = RouteQuery {
                spec: &spec,
                tried: &[],
                suggested_owner: None,
                remaining_ms: spec.timeout_ms,
            };
            f.bench.now = f.bench.now + Millis::new(10);
            let route = f.bench.with(|ctx, view| router.route(ctx, view, &query));
            assert!(route.is_ok());
        });
        print(upstreams_count, "owner to ask", &spans);
        let spans = timed(|index| {
            let request = GrantMessage::Request(Box::new(grant_request(spec(index))));
            f.bench.now = f.bench.now + Millis::new(200);
            let (owner, entry) = (&mut f.owner, &f.entry);
            f.bench
                .with(|ctx, view| owner.on_message(ctx, view, entry, request));
            f.bench.take();
            if index > 30 {
                let release = GrantMessage::Release {
                    attempt: attempt(index - 30),
                    upstream: upstream("e0000"),
                    end: end_of(false),
                };
                f.bench
                    .with(|ctx, view| owner.on_message(ctx, view, entry, release));
                f.bench.take();
            }
        });
        print(upstreams_count, "grant and release", &spans);
        let mut f = fleet(upstreams_count);
        let spans = timed(|index| {
            let request = GrantMessage::Request(Box::new(grant_request(spec(index))));
            let (owner, entry) = (&mut f.owner, &f.entry);
            f.bench
                .with(|ctx, view| owner.on_message(ctx, view, entry, request));
            f.bench.take();
        });
        print(upstreams_count, "queue full", &spans);
    }
}
