//! Measures the time that a dispatcher takes for one request and for one message from a peer, by
//! number of engines, without and with the prediction of gaps: `cargo run --release -p persimmon-core --example dispatch_decision_time`.

#[path = "../tests/common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{id, node::Node};
use persimmon_core::{
    dispatch::{
        DispatchEvent, DispatchMessage, DispatchSettings, InFlightReport, RawDispatchSettings,
    },
    engine::gaps::RawGapSettings,
    ids::SendId,
    units::{Millis, Tokens},
};
use std::time::Instant;

/// Number of requests and messages that are timed.
const ROUNDS_COUNT: u32 = 2_000;

/// Number of requests in flight at each engine.
const RUNNING_LEN: u64 = 8;

fn start(send: u64, engine: u64) -> InFlightReport {
    InFlightReport {
        send: SendId::new(send),
        upstream: id(&format!("advisor-{engine}")),
        helpers: Vec::new(),
        prompt_tokens: Tokens::new(5_000),
        output_tokens: Tokens::new(1_600),
        memory_tokens: Tokens::new(6_600),
        pause_target_ms: Millis::new(250),
        age_ms: Millis::new(500),
        first_due_ms: None,
        writing_ms: Some(Millis::new(400)),
    }
}

fn main() {
    println!(
        "engines, gaps, median and 99th percentile (us) of: request, long prompt, peer message"
    );
    let cases = [16, 54, 78, 100].map(|engines_len| [(engines_len, false), (engines_len, true)]);
    for (engines_len, predicts_gaps) in cases.into_iter().flatten() {
        let mut node = Node::ready(engines_len, 0);
        let raw = RawDispatchSettings {
            gaps: predicts_gaps.then(RawGapSettings::default),
            ..RawDispatchSettings::default()
        };
        let settings = DispatchSettings::try_from(raw).expect("valid settings");
        node.step(DispatchEvent::Reload(Box::new(settings)));
        for peer in 1..62 {
            let vm = id(&format!("vm-{peer}"));
            node.step(DispatchEvent::PeerUp { vm });
        }
        let running = RUNNING_LEN * u64::from(engines_len);
        let works = (0..running).map(|send| start(send, 1 + send % u64::from(engines_len)));
        let message = DispatchMessage::Snapshot(works.collect());
        node.step(DispatchEvent::PeerMessage {
            vm: id("vm-1"),
            message,
        });
        let request_us = time(&mut node, |node, _| drop(node.call("alarm", 5_000)));
        let long_us = time(&mut node, |node, _| drop(node.call("digest", 150_000)));
        let message_us = time(&mut node, |node, round| {
            let message = DispatchMessage::Started(start(u64::from(round), 1));
            node.step(DispatchEvent::PeerMessage {
                vm: id("vm-2"),
                message,
            });
            let message = DispatchMessage::Ended(SendId::new(u64::from(round)));
            node.step(DispatchEvent::PeerMessage {
                vm: id("vm-2"),
                message,
            });
        });
        println!("{engines_len}, {predicts_gaps}, {request_us:?}, {long_us:?}, {message_us:?}");
    }
}

/// Median and 99th percentile of the time of a step, in microseconds. Each request is cancelled after it, so that the load stays
/// constant.
fn time(node: &mut Node, step: impl Fn(&mut Node, u32)) -> (u128, u128) {
    let mut spent_us = Vec::new();
    for round in 0..ROUNDS_COUNT {
        let begun = Instant::now();
        step(node, round);
        spent_us.push(begun.elapsed().as_micros());
        node.cancel_last_call();
    }
    spent_us.sort_unstable();
    (
        spent_us[spent_us.len() / 2],
        spent_us[spent_us.len() * 99 / 100],
    )
}
