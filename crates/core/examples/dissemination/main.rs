//! Measures the network and CPU cost of membership per daemon, and the time until all members have
//! detected a crash.
//!
//! `cargo run --release -p persimmon-core --example dissemination`

mod fleet;
mod schemes;

use fleet::Fleet;
use persimmon_core::units::Millis;
use schemes::Scheme;

/// Time in which all daemons join.
const JOIN_PERIOD: Millis = Millis::new(6_000);

/// Duration of the cost measurement.
const MEASURED_S: u64 = 10;

/// Resolution of the measured detection time.
const STEP_MS: u64 = 20;

fn main() {
    println!("until all present members have information about all others, sent per member:");
    for (count, missing) in [
        (3, 0),
        (9, 0),
        (9, 1),
        (63, 0),
        (63, 1),
        (63, 6),
        (380, 0),
        (380, 38),
    ] {
        compare_schemes(count, missing);
    }
    println!("domains x daemons: sent per daemon and second; then crashes");
    for (domains, vms) in [(1, 3), (3, 3), (1, 9), (1, 63), (2, 63), (6, 63)] {
        membership_cost(domains, vms);
    }
    for (vms, dead, loss_ratio) in [(3, 1, 0.0), (9, 1, 0.0), (63, 1, 0.0), (63, 6, 0.0)] {
        detection_time(vms, dead, loss_ratio);
    }
    for (vms, dead, loss_ratio) in [(3, 1, 0.05), (9, 1, 0.05), (63, 1, 0.05), (63, 6, 0.05)] {
        detection_time(vms, dead, loss_ratio);
    }
}

fn compare_schemes(count: usize, missing: usize) {
    let all = [
        Scheme::AllToAll,
        Scheme::Gossip,
        Scheme::Hypercube,
        Scheme::Ring,
    ];
    for scheme in all {
        match schemes::worst_case(scheme, count, missing) {
            Some(cost) => println!(
                "{count} members, {missing} missing, {scheme:?}: {} rounds, {} messages, {} bytes",
                cost.rounds_count, cost.messages_count, cost.sent_bytes
            ),
            None => {
                println!("{count} members, {missing} missing, {scheme:?}: not all members reached")
            }
        }
    }
}

fn membership_cost(domains: usize, vms: usize) {
    let mut fleet = Fleet::new(domains, vms);
    fleet.run(JOIN_PERIOD);
    let inconsistent = fleet.inconsistent_views(0);
    let min_remote = fleet.min_remote_members(domains);
    fleet.counts = fleet::Counts::default();
    fleet.run(Millis::from_secs(MEASURED_S));
    let (oldest, mean, missing) = fleet.summary_ages(0);
    let spans = (domains * vms) as f64 * MEASURED_S as f64;
    let counts = &fleet.counts;
    println!(
        "{domains} x {vms}: {:.0} bytes, {:.1} messages, {:.2}% of a core; after {JOIN_PERIOD} \
         inconsistent views {inconsistent}, fewest members known of another domain {min_remote}; \
         summaries: mean age {mean} ms, maximum {oldest} ms, missing {missing}",
        counts.sent_bytes as f64 / spans,
        counts.messages_count as f64 / spans,
        counts.cpu_secs / spans * 100.0,
    );
}

fn detection_time(vms: usize, dead: usize, loss_ratio: f64) {
    let mut fleet = Fleet::new(1, vms);
    fleet.run(JOIN_PERIOD);
    fleet.loss_ratio = loss_ratio;
    let mut inconsistent_steps = 0;
    for _ in 0..500 {
        fleet.run(Millis::new(STEP_MS));
        inconsistent_steps += usize::from(fleet.inconsistent_views(0) > 0);
    }
    for n in 0..dead {
        fleet.crash(0, (n * 7 + 1) % vms);
    }
    let start = fleet.now;
    while fleet.inconsistent_views(0) > 0 && fleet.now.since(start) < Millis::from_secs(10) {
        fleet.run(Millis::new(STEP_MS));
    }
    println!(
        "{dead} of {vms} crash at {loss_ratio} loss: detected by all after {}; before, \
         {inconsistent_steps} of 500 samples had an inconsistent view",
        fleet.now.since(start)
    );
}
