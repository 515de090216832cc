//! Real gateways, one of which loses its links to all upstreams: its callers are served by way of the other.

mod common;

use common::gateway;
use persimmon_soak::{
    fault::{Fault, LinkLoss},
    history::BodyCheck,
    TestDeployment,
};
use std::{env, time::Duration};

/// Time for which the fault has links lost, and after which the daemon must know.
const LOST_TIME: Duration = Duration::from_millis(7_500);
const LEARN_TIME: Duration = Duration::from_millis(3_000);

/// Number of requests of each route without links.
const ROUNDS_LEN: usize = 5;

const ROUTES: [&str; 4] = ["resumable", "streamed", "order", "status"];

/// Number of runs of a request that was served whole; none if it was not.
fn served(deployment: &TestDeployment, route: &str, name: &str) -> Option<usize> {
    let outcome = deployment.send(0, route, &format!("{route}-{name}"), 2);
    let is_whole = outcome.answer == Some((200, BodyCheck::Complete));
    is_whole.then_some(outcome.runs_count)
}

fn serves_without_links(name: &str, loss: LinkLoss) {
    let folder = env::temp_dir().join(format!("persimmon-lost-links-{name}"));
    let deployment = TestDeployment::start(&gateway(), &folder).unwrap();
    // All links are in use when they are lost.
    for route in ROUTES {
        assert_eq!(served(&deployment, route, "before"), Some(1));
    }
    deployment.inject(Fault::LinksLost(loss, 0), LOST_TIME);
    deployment.wait(LEARN_TIME);
    for number in 0..ROUNDS_LEN {
        for route in ROUTES {
            let runs_count = served(&deployment, route, &format!("without-{number}"));
            assert_eq!(runs_count, Some(1), "{route} {number}");
        }
    }
    deployment.wait(LOST_TIME);
    for route in ROUTES {
        assert_eq!(served(&deployment, route, "after"), Some(1));
    }
}

#[test]
fn callers_are_served_while_links_refuse_connections() {
    serves_without_links("refuse", LinkLoss::Refuse);
}

#[test]
fn callers_are_served_while_links_refuse_new_connections_only() {
    serves_without_links("refuse-new", LinkLoss::RefuseNew);
}

#[test]
fn callers_are_served_while_links_hang() {
    serves_without_links("hang", LinkLoss::Hang);
}
