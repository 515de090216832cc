//! Real gateways, whose upstreams send bytes after whole responses that belong to no request.

mod common;

use common::gateway;
use persimmon_soak::{
    fault::Fault, ExtraBytes, ExtraTime, Misbehavior, TestDeployment, EXTRA_BYTES,
};
use std::{env, time::Duration};

/// Indexes of the plain servers.
const PLAIN_SERVERS: [usize; 2] = [3, 4];

/// Orders for each kind of bytes.
const ORDERS_LEN: usize = 8;

/// Time for which the servers misbehave.
const MISBEHAVIOR_TIME: Duration = Duration::from_millis(700);

/// A refusal without a request id, on a connection that had carried whole responses, was taken for the refusal of
/// the order that was running: it ran at a second server (TWICE), or was refused as not run (REFUSED).
#[test]
fn orders_run_once_beside_bytes_that_belong_to_no_request() {
    let folder = env::temp_dir().join("persimmon-extra-bytes");
    let deployment = TestDeployment::start(&gateway(), &folder).unwrap();
    for kind in EXTRA_BYTES {
        send_orders(&deployment, kind, ExtraTime::LaterThanNextRequest);
    }
    let violations = deployment.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Sends orders while the plain servers send additional bytes after each response.
fn send_orders(deployment: &TestDeployment, kind: ExtraBytes, time: ExtraTime) {
    for server in PLAIN_SERVERS {
        let misbehavior = Misbehavior::Extra(kind, time);
        deployment.inject(
            Fault::UpstreamMisbehaves(misbehavior, server),
            MISBEHAVIOR_TIME,
        );
    }
    for number in 0..ORDERS_LEN {
        deployment.send(0, "order", &format!("{kind:?}-{number}"), 1);
    }
    deployment.wait(MISBEHAVIOR_TIME);
}
