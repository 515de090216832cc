//! Test helpers: calls over loopback and parsed streams.
#![allow(dead_code)]

use persimmon_core::ids::{ModelVersion, RequestId};
use persimmon_standin::{engine::EngineFields, Engine, EngineHandle};
use serde_json::{json, Value};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

pub(crate) const MODEL: &str = "advisor@1";
pub(crate) const TIMEOUT_S: u64 = 10;

pub(crate) fn model() -> ModelVersion {
    MODEL.parse().unwrap()
}

/// Starts a fast engine with one model and with the settings that `change` changes.
pub(crate) fn engine(change: impl FnOnce(&mut EngineFields)) -> EngineHandle {
    let mut fields = EngineFields {
        decode_tokens_per_s: 2_000.0.try_into().unwrap(),
        load_lag_ms: persimmon_core::units::Millis::ZERO,
        cache_lag_ms: persimmon_core::units::Millis::ZERO,
        cache_gap_every_count: 0,
        models: BTreeMap::from([(model(), BTreeSet::new())]),
        ..EngineFields::default()
    };
    change(&mut fields);
    Engine::start(fields.try_into().unwrap()).unwrap()
}

pub(crate) fn request(number: u128) -> String {
    RequestId::new(number).to_string()
}

pub(crate) fn prompt(words: usize) -> String {
    let words: Vec<String> = (0..words).map(|index| format!("w{index}")).collect();
    words.join(" ")
}

/// Sends a call and returns the status and JSON of its answer; `None` if the connection broke.
pub(crate) fn call(
    method: minreq::Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Option<(u16, Value)> {
    let mut call = minreq::Request::new(method, format!("http://{address}{path}"))
        .with_header("Connection", "close")
        .with_timeout(TIMEOUT_S)
        .with_body(body.to_string());
    for (name, value) in headers {
        call = call.with_header(*name, *value);
    }
    let answer = call.send().ok()?;
    let body = serde_json::from_slice(answer.as_bytes()).ok()?;
    Some((answer.status_code, body))
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> Option<(u16, Value)> {
    call(minreq::Method::Post, address, path, &[], body)
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Option<(u16, Value)> {
    call(minreq::Method::Get, address, path, &[], &json!({}))
}

pub(crate) fn inject_fault(control: SocketAddr, fault: &Value) {
    assert_eq!(post(control, "/faults", fault).unwrap().0, 200);
}

/// Waits until `field` of the counters is `value`, for at most `TIMEOUT_S`.
pub(crate) fn wait_for_counter(control: SocketAddr, field: &str, value: u64) {
    let start = Instant::now();
    loop {
        let current = get(control, "/counters").unwrap().1[field].as_u64();
        if current == Some(value) {
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(TIMEOUT_S),
            "{field} is {current:?}, not {value}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The events of a stream in the order of arrival.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ReceivedStream {
    pub(crate) status: u16,
    pub(crate) offsets: Vec<u64>,
    pub(crate) tokens: BTreeMap<u64, String>,
    pub(crate) done: Option<u64>,
    pub(crate) error: Option<Value>,
}

pub(crate) struct CompletionRequest<'a> {
    pub(crate) number: u128,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u64,
    pub(crate) headers: Vec<(&'a str, &'a str)>,
}

impl Default for CompletionRequest<'_> {
    fn default() -> Self {
        Self {
            number: 1,
            prompt: "why does the robot stop",
            max_tokens: 20,
            headers: Vec::new(),
        }
    }
}

/// Requests a completion and reads its stream, up to `stop_after` tokens.
pub(crate) fn complete(
    address: SocketAddr,
    spec: &CompletionRequest<'_>,
    stop_after: usize,
) -> ReceivedStream {
    let body = json!({"model": MODEL, "prompt": spec.prompt, "max_tokens": spec.max_tokens,
        "stream": true});
    let mut call = minreq::post(format!("http://{address}/v1/completions"))
        .with_header("Connection", "close")
        .with_header("X-Request-Id", request(spec.number))
        .with_timeout(TIMEOUT_S)
        .with_body(body.to_string());
    for (name, value) in &spec.headers {
        call = call.with_header(*name, *value);
    }
    let mut received = ReceivedStream::default();
    let Ok(answer) = call.send_lazy() else {
        return received;
    };
    received.status = answer.status_code;
    for line in BufReader::new(answer).lines() {
        let Ok(line) = line else { break };
        let text = line.strip_prefix("data: ").unwrap_or(&line);
        let Ok(value) = serde_json::from_str::<Value>(text) else {
            continue;
        };
        if value["done"] == true {
            received.done = value["output_tokens"].as_u64();
        } else if let Some(offset) = value["offset"].as_u64() {
            received.offsets.push(offset);
            let token = value["token"].as_str().unwrap().to_owned();
            received.tokens.insert(offset, token);
        } else {
            received.error = Some(value);
        }
        if received.offsets.len() >= stop_after {
            break;
        }
    }
    received
}
