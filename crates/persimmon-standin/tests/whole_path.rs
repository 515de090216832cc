//! A complete deployment over loopback: answers across failure domains, the longest prompts, and a
//! drained failure domain.

mod common;

use common::{call, prompt};
use minreq::Method;
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{FailureDomain, VmId},
    operator::{Intent, OperatorReply},
};
use persimmon_standin::{
    demo::{Deployment, DeploymentFields, Fleet},
    engine::TokenSource,
};
use serde_json::{json, Value};
use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

const WORKSPACE: (&str, &str) = ("X-Workspace", "line-1");

/// Time within which a drained failure domain must stop getting new work.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure domain `near` has two daemons and no upstream, `far` and `away` have both.
fn deployment() -> Deployment {
    let with_upstreams = json!({
        "daemons_count": 1,
        "engines_count": {"advisor@1": 2},
        "servers_count": {"orders": 1},
    });
    let fields: DeploymentFields = serde_json::from_value(json!({
        "region": "here",
        "domains": {
            "near": {"daemons_count": 2},
            "far": with_upstreams,
            "away": with_upstreams,
        },
        "models": {"advisor@1": {
            "model": {"kv_bytes_per_token": 131072, "weights_bytes": 1000, "context_tokens": 1100000},
            "engine": {"decode_tokens_per_s": 500.0},
        }},
        "services": {"orders": {"max_in_flight_requests": 8}},
        "workspaces": {"line-1": {"weight_count": 1}},
    }))
    .unwrap();
    fields.try_into().unwrap()
}

fn start() -> Fleet {
    Fleet::start(&deployment(), &ComponentSettings::default()).unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn far() -> FailureDomain {
    "far".parse().unwrap()
}

/// The answer that the engines generate for `text`.
fn expected(text: &str, tokens: u64) -> String {
    let source = TokenSource::new(&"advisor@1".parse().unwrap(), text);
    let tokens: Vec<String> = (0..tokens).map(|offset| source.token(offset)).collect();
    tokens.join(" ")
}

fn complete(fleet: &Fleet, name: &str, text: &str) -> (u16, Value) {
    let address = fleet.daemons[&vm(name)].addresses().callers;
    let body = json!({"model": "advisor", "prompt": text, "max_tokens": 20});
    call(
        Method::Post,
        address,
        "/v1/completions",
        &[WORKSPACE],
        &body,
    )
    .unwrap()
}

/// Number of streams that the engines of a failure domain have started.
fn started_requests(fleet: &Fleet, domain: &str) -> u64 {
    let engines = fleet
        .engines
        .iter()
        .filter(|(id, _)| id.as_str().starts_with(domain));
    let counts = engines.map(|(_, engine)| {
        let body = Value::Null;
        let (_, counters) = call(
            Method::Get,
            engine.control_address(),
            "/counters",
            &[],
            &body,
        )
        .unwrap();
        counters["started_requests"].as_u64().unwrap()
    });
    counts.sum()
}

#[test]
fn answers_from_another_failure_domain_are_complete() {
    let fleet = start();
    let (status, answer) = complete(&fleet, "near-vm-1", "what does alarm 2041 mean");
    assert_eq!((status, &answer["choices"][0]["text"]), {
        let text = expected("what does alarm 2041 mean", 20);
        (200, &json!(text))
    });
    assert!(fleet.stop());
}

#[test]
fn a_streamed_answer_from_another_failure_domain_is_complete() {
    let fleet = start();
    let address = fleet.daemons[&vm("near-vm-2")].addresses().callers;
    let body = json!({"model": "advisor", "prompt": "stream it", "max_tokens": 20, "stream": true});
    let answer = minreq::post(format!("http://{address}/v1/completions"))
        .with_header(WORKSPACE.0, WORKSPACE.1)
        .with_header("Connection", "close")
        .with_body(body.to_string())
        .with_timeout(common::TIMEOUT_S)
        .send()
        .unwrap();
    let events = answer
        .as_str()
        .unwrap()
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let mut events: Vec<&str> = events.collect();
    assert_eq!(events.pop(), Some("[DONE]"));
    let chunks = events
        .iter()
        .map(|event| serde_json::from_str::<Value>(event).unwrap());
    let text: String = chunks
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text, expected("stream it", 20));
    assert!(fleet.stop());
}

#[test]
fn a_keyed_call_runs_once_through_two_daemons() {
    let fleet = start();
    let headers = [WORKSPACE, ("Idempotency-Key", "order-1")];
    let answers: Vec<(u16, Value)> = ["near-vm-1", "near-vm-2", "far-vm-1"]
        .iter()
        .map(|name| {
            let address = fleet.daemons[&vm(name)].addresses().callers;
            call(
                Method::Post,
                address,
                "/services/orders/release",
                &headers,
                &json!(7),
            )
            .unwrap()
        })
        .collect();
    let first = json!({"body_len": 1, "call": "POST /release", "key": "order-1", "run": 1});
    assert_eq!(answers, vec![(200, first); 3]);
    assert!(fleet.stop());
}

#[test]
fn a_prompt_of_a_million_tokens_is_answered_or_refused_with_the_limit() {
    let fleet = start();
    let requested_at = Instant::now();
    let (status, answer) = complete(&fleet, "far-vm-1", &prompt(1_000_000));
    match status {
        200 => assert_eq!(answer["usage"]["completion_tokens"], 20),
        413 => {
            assert!(requested_at.elapsed() < Duration::from_secs(5));
            assert_eq!(answer["error"]["outcome"], "not_run");
            let message = answer["error"]["message"].as_str().unwrap();
            let fits = message
                .split(' ')
                .find_map(|word| word.parse::<usize>().ok())
                .unwrap();
            let (status, answer) = complete(&fleet, "far-vm-1", &prompt(fits));
            assert_eq!(status, 200, "{fits} tokens: {answer}");
        }
        _ => panic!("{status}: {answer}"),
    }
    assert!(fleet.stop());
}

#[test]
fn a_drained_failure_domain_gets_no_new_work() {
    let fleet = start();
    let reply = fleet
        .apply_intent(&vm("away-vm-1"), Intent::DrainDomain(far()))
        .unwrap();
    let confirmed = Instant::now();
    assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    thread::sleep(DRAIN_TIMEOUT.saturating_sub(confirmed.elapsed()));
    let before = started_requests(&fleet, "far");
    let statuses: BTreeMap<u16, usize> = (0..30).fold(BTreeMap::new(), |mut statuses, number| {
        let name = ["near-vm-1", "near-vm-2", "far-vm-1", "away-vm-1"][number % 4];
        let (status, _) = complete(&fleet, name, &format!("question {number}"));
        *statuses.entry(status).or_default() += 1;
        statuses
    });
    assert_eq!(
        (statuses, started_requests(&fleet, "far")),
        (BTreeMap::from([(200, 30)]), before)
    );
    assert!(fleet.stop());
}
