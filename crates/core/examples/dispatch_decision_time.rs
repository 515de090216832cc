//! Measures the time that a dispatcher takes for one request and for one message from a peer, by
//! number of engines, without and with the prediction of gaps: `cargo run --release -p persimmon-core --example dispatch_decision_time`.

#[path = "../tests/common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{id, node::Node, upstream, ENGINES, KEY};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        Call, DispatchEvent, DispatchMessage, DispatchSettings, ExtensionFrame, ExtensionMessage,
        InFlightReport, PromptSize, RawDispatchSettings,
    },
    engine::gaps::RawGapSettings,
    ids::{CallId, Fingerprint, SendId},
    prefix::{PrefixReport, PromptPart, PromptPrefix, RawPrefixRetention, RawPrefixSettings},
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

/// Sixteen parts of 250 tokens, the first of which are common.
fn prefix(number: u64) -> PromptPrefix {
    let part = |index: u64| PromptPart {
        id: Fingerprint::new(if index < 12 { index } else { index + number }),
        tokens: Tokens::new(250),
    };
    (0..16).map(part).collect()
}

/// Turns prefixes on; all engines hold some.
fn hold_prefixes(node: &mut Node, engines_len: u16) {
    let retention = RawPrefixRetention {
        keep_ms: 60_000,
        keep_tokens: 100_000,
    };
    let raw = RawDispatchSettings {
        prefix: Some(RawPrefixSettings {
            services: [(id(ENGINES), retention)].into(),
        }),
        ..RawDispatchSettings::default()
    };
    let settings = DispatchSettings::try_from(raw).expect("valid settings");
    node.step(DispatchEvent::Reload(Box::new(settings)));
    let reports = (1..=engines_len).map(|number| PrefixReport {
        send: None,
        upstream: upstream(ENGINES, number).incarnation(),
        parts: prefix(0).parts().to_vec(),
        cached_tokens: Tokens::ZERO,
        used_ms: Millis::ZERO,
    });
    let message = ExtensionMessage::CachedPrefixes(reports.collect());
    let frame = ExtensionFrame::try_from(&message).expect("a message that can be encoded");
    node.step(DispatchEvent::PeerMessage {
        vm: id("vm-1"),
        message: DispatchMessage::Extension(frame),
    });
}

/// A call with a stated prefix that its caller gives up at once.
fn call_with_prefix(node: &mut Node, round: u32) {
    let number = 1_000_000 + u64::from(round);
    let call = CallId::new(number);
    node.step(DispatchEvent::Arrived(Box::new(Call {
        id: call,
        request_id: format!("request-{number}").into(),
        host: "cells.example".into(),
        path: "/alarm/x".into(),
        key: Some(ApiKey::from(KEY)),
        deadline_ms: None,
        prompt: Some(PromptSize {
            prompt_tokens: Tokens::new(5_000),
            output_tokens: Tokens::new(1_600),
        }),
        fingerprints: Vec::new(),
        prefix: prefix(number),
        body_bytes: Default::default(),
        content: Fingerprint::new(number),
        age_ms: Millis::ZERO,
    })));
    node.step(DispatchEvent::CallerLeft { call });
}

fn main() {
    println!(
        "engines, gaps, median and 99th percentile (us) of: request, long prompt, peer message, request with 16 held parts"
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
        hold_prefixes(&mut node, engines_len);
        let prefix_us = time(&mut node, call_with_prefix);
        println!(
            "{engines_len}, {predicts_gaps}, {request_us:?}, {long_us:?}, {message_us:?}, {prefix_us:?}"
        );
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
