//! Cost of membership for each daemon, and time until all know of a death.
//!
//! `cargo run --release -p persimmon-core --example dissemination`

mod fleet;
mod schemes;

use fleet::Fleet;
use persimmon_core::units::Millis;
use schemes::Scheme;

/// Time for all to join.
const JOIN: Millis = Millis::new(6_000);

/// Time of counting.
const COUNTED_S: u64 = 10;

/// Step of the search for the time at which all know.
const STEP_MS: u64 = 20;

fn main() {
    println!("until all present know of all, sent by one member:");
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
        compare(count, missing);
    }
    println!("domains x daemons: per daemon and second, sent; then deaths");
    for (domains, vms) in [(1, 3), (3, 3), (1, 9), (1, 63), (2, 63), (6, 63)] {
        cost(domains, vms);
    }
    for (vms, dead, loss_ratio) in [(3, 1, 0.0), (9, 1, 0.0), (63, 1, 0.0), (63, 6, 0.0)] {
        death(vms, dead, loss_ratio);
    }
    for (vms, dead, loss_ratio) in [(3, 1, 0.05), (9, 1, 0.05), (63, 1, 0.05), (63, 6, 0.05)] {
        death(vms, dead, loss_ratio);
    }
}

fn compare(count: usize, missing: usize) {
    let all = [
        Scheme::AllToAll,
        Scheme::Gossip,
        Scheme::Hypercube,
        Scheme::Ring,
    ];
    for scheme in all {
        match schemes::worst(scheme, count, missing) {
            Some(cost) => println!(
                "{count} members, {missing} missing, {scheme:?}: {} rounds, {} messages, {} bytes",
                cost.rounds_count, cost.messages_count, cost.sent_bytes
            ),
            None => println!("{count} members, {missing} missing, {scheme:?}: not all reached"),
        }
    }
}

fn cost(domains: usize, vms: usize) {
    let mut fleet = Fleet::new(domains, vms);
    fleet.run(JOIN);
    let wrong = fleet.wrong_views(0);
    let far = fleet.fewest_far(domains);
    fleet.counts = fleet::Counts::default();
    fleet.run(Millis::from_secs(COUNTED_S));
    let (oldest, mean, missing) = fleet.summary_ages(0);
    let spans = (domains * vms) as f64 * COUNTED_S as f64;
    let counts = &fleet.counts;
    println!(
        "{domains} x {vms}: {:.0} bytes, {:.1} messages, {:.2}% of a core; after {JOIN} wrong \
         views {wrong}, fewest members known of another domain {far}; summaries: age mean {mean} ms, \
         oldest {oldest} ms, missing {missing}",
        counts.sent_bytes as f64 / spans,
        counts.messages_count as f64 / spans,
        counts.cpu.as_secs_f64() / spans * 100.0,
    );
}

fn death(vms: usize, dead: usize, loss_ratio: f64) {
    let mut fleet = Fleet::new(1, vms);
    fleet.run(JOIN);
    fleet.loss_ratio = loss_ratio;
    let mut wrong_steps = 0;
    for _ in 0..500 {
        fleet.run(Millis::new(STEP_MS));
        wrong_steps += usize::from(fleet.wrong_views(0) > 0);
    }
    for n in 0..dead {
        fleet.crash(0, (n * 7 + 1) % vms);
    }
    let start = fleet.now;
    while fleet.wrong_views(0) > 0 && fleet.now.since(start) < Millis::from_secs(10) {
        fleet.run(Millis::new(STEP_MS));
    }
    println!(
        "{dead} of {vms} die at {loss_ratio} loss: all know after {}; before, {wrong_steps} of \
         500 looks found a wrong view",
        fleet.now.since(start)
    );
}
