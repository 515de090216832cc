//! Real gateways, one of which is asked to stop: requests that come late in the grace period are answered or refused.

mod common;

use common::gateway;
use persimmon_soak::{fault::Fault, TestDeployment};
use std::{
    env, thread,
    time::{Duration, Instant},
};

/// A grace period that ends while requests are still accepted by the load balancer's schedule.
const GRACE_S: f64 = 3.0;

/// Time for which callers send, which goes on to the exit of the process.
const SENDING_TIME: Duration = Duration::from_millis(3_100);

const CALLERS_LEN: usize = 8;

/// Indexes of the plain servers.
const PLAIN_SERVERS: [usize; 2] = [3, 4];

/// An order that was taken late in the grace period was sent to its upstream and cut off without an answer (LOST).
#[test]
fn orders_that_come_late_in_a_planned_stop_are_not_cut_off() {
    let folder = env::temp_dir().join("persimmon-late-requests");
    let deployment = TestDeployment::with_grace(&gateway(), &folder, GRACE_S).unwrap();
    // An order takes longer than the process needs to exit.
    for server in PLAIN_SERVERS {
        deployment.inject(Fault::UpstreamSlow(server), SENDING_TIME * 2);
    }
    deployment.inject(Fault::DaemonTerminate(0), Duration::ZERO);
    let until = Instant::now() + SENDING_TIME;
    let send_all = &|caller: usize| {
        let mut cut_off = Vec::new();
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let outcome = deployment.send(0, "order", &format!("order-{caller}-{number}"), 4);
            if outcome.answer.is_none() && outcome.runs_count > 0 {
                cut_off.push(outcome);
            }
        }
        cut_off
    };
    let cut_off: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS_LEN)
            .map(|caller| scope.spawn(move || send_all(caller)))
            .collect();
        let ended = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap());
        ended.collect()
    });
    assert!(cut_off.is_empty(), "{cut_off:#?}");
}
