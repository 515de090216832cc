//! Upstreams that state in their answers how many requests a second they take from all daemons together.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/limited_fleet.rs"]
mod limited_fleet;

use dispatch::{id, ms};
use limited_fleet::LimitedFleet;
use persimmon_core::units::Millis;

/// Time after which the platform holds the fleet to a new limit.
const LEARN_MS: Millis = Millis::new(3_000);

/// Span in which the platform counts requests, and what an upstream may get in it: one and a half times
/// what its limit allows, and five requests.
const SPAN_MS: Millis = Millis::new(4_000);

fn allowed_len(per_s: f64) -> usize {
    (SPAN_MS.get() as f64 / 1_000.0 * per_s * 1.5 + 5.0) as usize
}

/// An engine that had stated 2.3 requests a second got 30 in 4 s (rule LIMIT, jadeleaf-cells).
#[test]
#[ignore = "known red: issue 29"]
fn an_upstream_gets_no_more_than_it_states_from_all_daemons_together() {
    for (route, per_s, limited) in [
        ("alarm", 30, [("advisor-3", 2.3), ("advisor-5", 1.6)]),
        ("status", 10, [("orders-101", 2.3), ("orders-102", 0.5)]),
    ] {
        let mut fleet = LimitedFleet::new(9, 10, 3);
        fleet.traffic(route, per_s, ms(2_000));
        for (upstream, limit_per_s) in limited {
            fleet.limits.insert(id(upstream), limit_per_s);
        }
        let since = fleet.now + LEARN_MS;
        fleet.traffic(route, per_s, ms(20_000));
        for (upstream, limit_per_s) in limited {
            let most = fleet.most_in(upstream, since, SPAN_MS);
            let allowed = allowed_len(limit_per_s);
            assert!(most <= allowed, "{upstream}: {most}, allowed {allowed}");
        }
    }
}
