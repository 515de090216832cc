//! Measures the time from `confirm` until a generation is in force on all daemons, and the call
//! rate at the store, on a virtual network.
//!
//! `cargo run --release -p persimmon-core --example confirm`

#[path = "../../tests/common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    config::Configuration,
    operator::{Intent, OperatorCommand, OperatorReply},
};
use virtual_cluster::{id, small_config, Cluster};

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Duration of the store outage.
const OUTAGE_S: u64 = 60;

/// Duration of each measurement at the store.
const MEASURED_S: u64 = 20;

fn main() {
    simultaneous_start(6, 63);
    for (domains, vms, confirms) in [(3, 3, 100), (1, 63, 100), (3, 21, 100), (6, 63, 3)] {
        let mut cluster = configured(domains, vms);
        confirm_latency(&mut cluster, domains * vms, confirms);
        if domains == 1 {
            store_call_rate(&mut cluster, domains * vms);
        }
    }
}

/// Starts all daemons at the same time while the store holds a configuration.
fn simultaneous_start(domains: usize, vms: usize) {
    let stored = configured(1, 1);
    let mut cluster = Cluster::new(&DOMAINS[..domains], vms);
    cluster.table = stored.table;
    cluster.objects = stored.objects;
    let calls = measure_call_rate(&mut cluster, 6);
    let unconfigured = cluster.nodes.values();
    let unconfigured = unconfigured.filter(|node| node.config.current().generation.get() == 0);
    println!(
        "{} daemons start at once: store calls per second (mean, maximum) {calls}, {} without a \
         configuration after 6 s",
        domains * vms,
        unconfigured.count()
    );
}

fn configured(domains: usize, vms: usize) -> Cluster {
    let mut cluster = Cluster::new(&DOMAINS[..domains], vms);
    cluster.run(4_000);
    let mut config: Configuration = small_config();
    for name in &DOMAINS[..domains] {
        config.domains.entry(id(name)).or_default();
    }
    cluster.configure(config);
    cluster.run(3_000);
    cluster
}

/// Measures the time from the command until all daemons apply the generation, and until the
/// operator has the reply.
fn confirm_latency(cluster: &mut Cluster, daemons: usize, confirms: usize) {
    let (mut applied_ms, mut answered_ms, mut min_reported) = (Vec::new(), Vec::new(), u64::MAX);
    for n in 0..confirms {
        let intent = match n % 2 {
            0 => Intent::DrainDomain(id("a")),
            _ => Intent::ReturnDomain(id("a")),
        };
        let plan = cluster.plan("a-00", intent, true);
        cluster.run(137);
        let start = cluster.now;
        let command = OperatorCommand::Confirm(plan);
        let call = cluster.send_command("a-00", command, 2_000);
        let target = cluster.node("a-00").config.current().generation.next();
        let behind = |c: &Cluster| {
            let mut nodes = c.nodes.values();
            nodes.any(|node| node.config.current().generation < target)
        };
        let (mut applied, mut answered) = (None, None);
        while applied.is_none() || answered.is_none() {
            cluster.run(virtual_cluster::TICK_MS);
            let span_ms = cluster.now.since(start).get();
            if applied.is_none() && !behind(cluster) {
                applied = Some(span_ms);
            }
            let reply = cluster.replies.iter().find(|(asked, _)| *asked == call);
            if let (None, Some((_, OperatorReply::Confirmed(report)))) = (answered, reply) {
                min_reported = min_reported.min(report.in_force.len() as u64);
                answered = Some(span_ms);
            }
        }
        applied_ms.extend(applied);
        answered_ms.extend(answered);
    }
    println!(
        "{daemons} daemons: in force on all {}, operator answered {} (fewest daemons \
         reported in force {min_reported}), {confirms} confirms",
        quantiles(applied_ms),
        quantiles(answered_ms)
    );
}

fn quantiles(mut all: Vec<u64>) -> String {
    all.sort_unstable();
    let at = |percent: usize| all[(all.len() - 1) * percent / 100];
    format!("p50 {} ms, p99 {} ms", at(50), at(99))
}

/// Measures store calls per second in steady state, during an outage and after it.
fn store_call_rate(cluster: &mut Cluster, daemons: usize) {
    let steady = measure_call_rate(cluster, MEASURED_S);
    cluster.store_down = true;
    let outage = measure_call_rate(cluster, OUTAGE_S);
    cluster.store_down = false;
    let recovered = measure_call_rate(cluster, MEASURED_S);
    println!(
        "{daemons} daemons, store calls per second (mean, maximum): steady state {steady}, outage \
         {outage}, after the outage {recovered}"
    );
}

fn measure_call_rate(cluster: &mut Cluster, span_s: u64) -> String {
    let first = cluster.store_calls_count;
    let mut max_calls = 0;
    for _ in 0..span_s {
        let before = cluster.store_calls_count;
        cluster.run(1_000);
        max_calls = max_calls.max(cluster.store_calls_count - before);
    }
    let mean = (cluster.store_calls_count - first) as f64 / span_s as f64;
    format!("{mean:.1} {max_calls}")
}
