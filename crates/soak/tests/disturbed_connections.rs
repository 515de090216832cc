//! Real gateways, whose connections to upstreams end in the middle of requests, while daemons are disturbed.

mod common;

use common::gateway;
use persimmon_soak::{
    fault::{Fault, LinkLoss},
    Misbehavior, TestDeployment,
};
use std::{env, time::Duration};

/// Indexes of the plain servers.
const PLAIN_SERVERS: [usize; 2] = [3, 4];

const ORDERS_LEN: usize = 40;

/// Time for which connections end, which is longer than the orders take.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Pause of a daemon's process, and orders between two of them.
const PAUSE_TIME: Duration = Duration::from_millis(80);
const PAUSE_EVERY: usize = 4;

/// Time after which a daemon knows that its links are lost.
const LEARN_TIME: Duration = Duration::from_millis(3_000);

/// What ends the connections to upstreams.
const ENDS: [Misbehavior; 3] = [
    Misbehavior::HalfClose,
    Misbehavior::ResetAfterNextRequest,
    Misbehavior::Drawn(50),
];

/// Guards against orders that are sent again after their kept connection has ended (TWICE).
#[test]
fn orders_run_once_on_connections_that_end_while_daemons_are_paused() {
    for (index, end) in ENDS.into_iter().enumerate() {
        let folder = env::temp_dir().join(format!("persimmon-disturbed-direct-{index}"));
        let deployment = TestDeployment::start(&gateway(), &folder).unwrap();
        send_orders(&deployment, end, "direct", 0);
        let violations = deployment.violations();
        assert!(violations.is_empty(), "{end:?}: {violations:#?}");
    }
}

/// Guards against orders that count as not sent though a peer has passed them on (TWICE).
#[test]
fn orders_run_once_by_way_of_a_peer_that_is_paused() {
    for (index, end) in ENDS.into_iter().enumerate() {
        let folder = env::temp_dir().join(format!("persimmon-disturbed-relay-{index}"));
        let deployment = TestDeployment::start(&gateway(), &folder).unwrap();
        deployment.inject(Fault::LinksLost(LinkLoss::Refuse, 0), FAULT_TIME);
        deployment.wait(LEARN_TIME);
        send_orders(&deployment, end, "relayed", 1);
        let violations = deployment.violations();
        assert!(violations.is_empty(), "{end:?}: {violations:#?}");
    }
}

/// Sends orders to the first daemon while connections to the plain servers end and a daemon is paused.
fn send_orders(deployment: &TestDeployment, end: Misbehavior, name: &str, paused: usize) {
    for server in PLAIN_SERVERS {
        deployment.inject(Fault::UpstreamMisbehaves(end, server), FAULT_TIME);
    }
    for number in 0..ORDERS_LEN {
        if number % PAUSE_EVERY == 0 {
            deployment.inject(Fault::DaemonPause(paused), PAUSE_TIME);
        }
        deployment.send(0, "order", &format!("{name}-{number}"), 1);
    }
}
