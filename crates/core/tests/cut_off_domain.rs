//! Connections to a failure domain that may be cut off.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    ms,
    node::{sent, Node},
};
use persimmon_core::{
    dispatch::{DispatchAction, DispatchEvent, SendOutcome, SendPlan},
    path::PathAttempts,
};

/// What a daemon does when a transmission fails after 400 ms: the number of addresses whose idle
/// connections are closed, and how long those must have been idle.
fn discarded(end: impl Fn(&SendPlan) -> DispatchEvent) -> Option<(usize, u64)> {
    let mut node = Node::ready(9, 2);
    let (_, seen) = node.call("alarm", 5_000);
    let plan = sent(&seen).clone();
    node.now = node.now + ms(400);
    let mut actions = Vec::new();
    node.dispatcher.handle(node.now, end(&plan), &mut actions);
    actions.into_iter().find_map(|action| match action {
        DispatchAction::DiscardIdle {
            addresses,
            idle_for_ms,
        } => {
            assert!(addresses.contains(&plan.address));
            Some((addresses.len(), idle_for_ms.get()))
        }
        _ => None,
    })
}

fn ended(end: SendOutcome) -> impl Fn(&SendPlan) -> DispatchEvent {
    move |plan| DispatchEvent::Ended {
        call: plan.call,
        send: plan.send,
        end: end.clone(),
    }
}

/// A request went out on a connection that was idle since before its failure domain was cut off. It was given up,
/// and reached its upstream when the cut had ended (rule DRAIN, kabin-router, cut-then-release seed 28).
#[test]
fn a_domain_that_does_not_answer_gets_no_request_on_an_old_connection() {
    let reason = String::new;
    let not_sent = |timed_out| {
        ended(SendOutcome::NotSent {
            reason: reason(),
            timed_out,
            attempts: PathAttempts::default(),
        })
    };
    assert_eq!(discarded(not_sent(true)), Some((3 + 1, 400)));
    // A refused connection and a closed one come from a VM that answers.
    assert_eq!(discarded(not_sent(false)), None);
    let closed = SendOutcome::Lost {
        reason: reason(),
        stalled: false,
    };
    assert_eq!(discarded(ended(closed)), None);
    let silent = |plan: &SendPlan| DispatchEvent::Stalled {
        call: plan.call,
        send: plan.send,
        silent_ms: ms(60_000),
    };
    assert_eq!(discarded(silent), Some((3 + 1, 400)));
}
