//! Real gateways that are all killed several times within a window of the retry budget, while upstreams fail.

mod common;

use common::gateway;
use persimmon_soak::{fault::Fault, TestDeployment};
use std::{
    env, thread,
    time::{Duration, Instant},
};

/// Window of the retry budget.
const WINDOW: Duration = Duration::from_secs(10);

/// Time for which upstreams fail, within one window of the retry budget.
const FAILING_TIME: Duration = Duration::from_millis(9_000);

/// Time between two herds of kills.
const HERDS_PAUSE: Duration = Duration::from_millis(2_200);
const HERDS_LEN: usize = 3;

const CALLERS_LEN: usize = 16;

/// Time after which a caller sends its next request.
const THINK_TIME: Duration = Duration::from_millis(60);

/// Each process began the budget of its service anew (BUDGET, on days with kills while upstreams fail).
#[test]
fn killed_daemons_do_not_start_a_new_retry_budget() {
    let folder = env::temp_dir().join("persimmon-restarts-while-failing");
    let deployment = TestDeployment::start(&gateway(), &folder).unwrap();
    let started_at = Instant::now();
    let until = started_at + WINDOW + FAILING_TIME;
    let send_all = |caller: usize| {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            deployment.send(caller % 2, "status", &format!("s-{caller}-{number}"), 1);
            thread::sleep(THINK_TIME);
        }
    };
    thread::scope(|scope| {
        for caller in 0..CALLERS_LEN {
            let send_all = &send_all;
            scope.spawn(move || send_all(caller));
        }
        // The calls of a whole window have earned the budget that the first processes use.
        deployment.wait(WINDOW);
        deployment.inject(Fault::UpstreamsFail, FAILING_TIME);
        for _ in 0..HERDS_LEN {
            deployment.wait(HERDS_PAUSE);
            deployment.inject(Fault::DaemonsKilled, Duration::ZERO);
        }
    });
    let violations = deployment.violations();
    let of_budget = violations
        .iter()
        .filter(|violation| violation.invariant == "retry budget of all daemons");
    assert_eq!(of_budget.count(), 0, "{violations:#?}");
}
