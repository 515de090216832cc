//! Cold upstreams and daemons that have just started.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    daemons_listed, id, ms,
    node::{Node, Seen},
    upstream, ENGINES,
};
use persimmon_core::{
    dispatch::{DispatchEvent, RawDispatchSettings, SendOutcome},
    fleet::UpstreamRecord,
    ids::VmId,
    units::Millis,
    watch::Change,
};

const DAEMONS_LEN: usize = 9;

/// Time for which the engine is cold. It takes 36 requests a second from all daemons meanwhile.
const COLD_MS: Millis = Millis::new(20_000);

fn vms() -> impl Iterator<Item = VmId> {
    (0..DAEMONS_LEN).map(|index| id(&format!("vm-{index}")))
}

/// Number of requests that a daemon sends to the engine within a second, of 99 that come.
fn sent_in_a_second(node: &mut Node) -> usize {
    let mut sent_len = 0;
    for _ in 0..99 {
        node.now = node.now + ms(10);
        let (_, seen) = node.call("alarm", 100);
        for seen in seen {
            if let Seen::Send(plan) = seen {
                sent_len += 1;
                node.ends(&plan, SendOutcome::Delivered);
            }
        }
    }
    sent_len
}

/// A daemon that started `age_ms` ago and has just read that the engine is cold.
fn node(age_ms: Millis, is_listed: bool, peers_len: usize) -> Node {
    let mut node = Node::started("vm-0", RawDispatchSettings::default());
    node.now = node.now + age_ms;
    if is_listed {
        node.step(daemons_listed(vms()));
    }
    for vm in vms().skip(1).take(peers_len) {
        node.step(DispatchEvent::PeerUp { vm });
    }
    node.learn(0, 1);
    let cold = UpstreamRecord {
        cold_remaining_ms: COLD_MS,
        ..upstream(ENGINES, 1)
    };
    node.upstreams(true, vec![Change::Upstream(Box::new(cold))]);
    node
}

/// A daemon that had just started gave cold engines their whole rate until it had found its peers, and they crashed
/// (FAILBACK, review/5).
#[test]
fn a_daemon_that_has_just_started_gives_a_cold_engine_its_share() {
    // What the process before it has sent in the last second is not known.
    assert_eq!(sent_in_a_second(&mut node(Millis::ZERO, true, 0)), 0);
    let settled = ms(2_000);
    // No list was read: there may be many daemons.
    assert!(sent_in_a_second(&mut node(settled, false, 0)) <= 1);
    let share = sent_in_a_second(&mut node(settled, true, 0));
    assert!((1..=36 / DAEMONS_LEN).contains(&share), "{share}");
    let all = sent_in_a_second(&mut node(settled, true, DAEMONS_LEN - 1));
    assert!((36 / DAEMONS_LEN + 1..=36).contains(&all), "{all}");
}
