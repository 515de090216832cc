//! Engines that failed many requests.

#[path = "common/crash_fleet.rs"]
mod crash_fleet;
#[path = "common/dispatch/mod.rs"]
mod dispatch;

use crash_fleet::CrashFleet;
use dispatch::ms;
use persimmon_core::ids::Fingerprint;

/// All engines of a service cut off their answers for a while. Long after, when they are sound and idle,
/// every prompt was refused for lack of capacity.
#[test]
fn engines_that_all_failed_often_get_requests_again() {
    let mut fleet = CrashFleet::new(2, 12);
    let part = Fingerprint::new(77);
    fleet.cut_off.insert(part);
    for _ in 0..40 {
        fleet.call(0, &[part]);
        fleet.pass(ms(300));
    }
    fleet.cut_off.clear();
    // Ejections of the engines end.
    fleet.pass(ms(5_000));
    let since = fleet.now;
    for _ in 0..5 {
        fleet.call(0, &[part]);
        fleet.pass(ms(1_500));
    }
    assert_eq!(fleet.sound_served(since), (5, 5));
}
