//! Daemons that lost their links to all upstreams, while callers and the other daemons reach them.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/linked_fleet.rs"]
mod linked_fleet;

use dispatch::ms;
use linked_fleet::{LinkedFleet, Lost};
use persimmon_core::units::Time;

/// The daemons that lose their links: two thirds, as in the incident.
const CUT: [usize; 6] = [0, 2, 3, 5, 6, 8];

/// Six of nine daemons lose their links for twelve seconds, under the load of the first site. Returns how many first
/// attempts were served since three seconds after the loss, of how many: at those daemons, and at the others.
fn served_without_links(lost: Lost) -> [(usize, usize); 2] {
    let mut fleet = LinkedFleet::new(9, 16, 3);
    fleet.traffic(41, ms(4_000));
    fleet.lose_links(lost, &CUT);
    fleet.traffic(41, ms(3_000));
    let since = fleet.now;
    fleet.traffic(41, ms(9_000));
    fleet.restore_links();
    fleet.pass(ms(12_000));
    [
        fleet.served_since(since, |daemon| CUT.contains(&daemon)),
        fleet.served_since(since, |daemon| !CUT.contains(&daemon)),
    ]
}

/// Rule RECOVER: callers there are served at least two thirds as often as at the others, unless hardly any fail.
fn are_served_alike([(cut_served, cut_all), (served, all)]: [(usize, usize); 2]) -> bool {
    let failed = cut_all - cut_served;
    cut_served * all * 3 >= served * cut_all * 2 || failed <= 10 + (cut_all + all) / 50
}

/// Incident RECOVER of 4 December: 0 of 70 first attempts were served where connections were refused.
#[test]
fn callers_are_served_where_links_to_upstreams_refuse() {
    let served = served_without_links(Lost::Refuses);
    assert!(are_served_alike(served), "{served:?}");
}

#[test]
fn callers_are_served_where_links_to_upstreams_hang() {
    let served = served_without_links(Lost::Hangs);
    assert!(are_served_alike(served), "{served:?}");
}

/// Streams that are under way when their links begin to hang go on elsewhere. Before, they waited for the timeout of
/// the upstream, 1.5 s and more, and then on the next link that hung.
#[test]
fn streams_on_links_that_hang_move_in_time() {
    let mut fleet = LinkedFleet::new(9, 16, 3);
    for daemon in CUT {
        fleet.call(daemon, "alarm");
    }
    fleet.pass(ms(50));
    fleet.lose_links(Lost::Hangs, &CUT);
    fleet.pass(ms(2_000));
    let served = fleet.served_since(Time::START, |_| true);
    assert_eq!(served, (CUT.len(), CUT.len()));
}

/// In the incident, the daemons without links ejected upstreams 530 times in eight seconds, also at their peers.
#[test]
fn a_lost_link_does_not_take_upstreams_from_peers() {
    for lost in [Lost::Refuses, Lost::Hangs] {
        let mut fleet = LinkedFleet::new(9, 16, 3);
        fleet.lose_links(lost, &CUT);
        fleet.traffic(41, ms(6_000));
        assert_eq!(fleet.ejections_len, 0, "{lost:?}");
    }
}

/// In the incident, the daemons without links reported 34 crashes of upstreams that answered the others.
#[test]
fn a_lost_link_is_no_evidence_that_a_request_crashed_its_upstream() {
    let mut fleet = LinkedFleet::new(9, 16, 3);
    fleet.traffic(41, ms(2_000));
    fleet.lose_links(Lost::Refuses, &CUT);
    fleet.traffic(41, ms(2_000));
    assert_eq!(fleet.crashes_len, 0);
}
