//! Helpers of the stand-ins' tests: calls over loopback and parsed streams.
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

/// A fast engine with one model, changed by `change`.
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

/// An answer's status and JSON; `None` when the connection broke.
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

pub(crate) fn fault(control: SocketAddr, fault: &Value) {
    assert_eq!(post(control, "/faults", fault).unwrap().0, 200);
}

/// Waits until `field` of the counters is `value`, for a bounded time.
pub(crate) fn await_counter(control: SocketAddr, field: &str, value: u64) {
    let start = Instant::now();
    loop {
        let seen = get(control, "/counters").unwrap().1[field].as_u64();
        if seen == Some(value) {
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(TIMEOUT_S),
            "{field} is {seen:?}, not {value}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A stream's events as they came.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Heard {
    pub(crate) status: u16,
    pub(crate) offsets: Vec<u64>,
    pub(crate) tokens: BTreeMap<u64, String>,
    pub(crate) done: Option<u64>,
    pub(crate) error: Option<Value>,
}

pub(crate) struct Ask<'a> {
    pub(crate) number: u128,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u64,
    pub(crate) headers: Vec<(&'a str, &'a str)>,
}

impl Default for Ask<'_> {
    fn default() -> Self {
        Self {
            number: 1,
            prompt: "why does the robot stop",
            max_tokens: 20,
            headers: Vec::new(),
        }
    }
}

/// Asks for a completion and hears it, up to `stop_after` tokens.
pub(crate) fn complete(address: SocketAddr, ask: &Ask<'_>, stop_after: usize) -> Heard {
    let body = json!({"model": MODEL, "prompt": ask.prompt, "max_tokens": ask.max_tokens,
        "stream": true});
    let mut call = minreq::post(format!("http://{address}/v1/completions"))
        .with_header("Connection", "close")
        .with_header("X-Request-Id", request(ask.number))
        .with_timeout(TIMEOUT_S)
        .with_body(body.to_string());
    for (name, value) in &ask.headers {
        call = call.with_header(*name, *value);
    }
    let mut heard = Heard::default();
    let Ok(answer) = call.send_lazy() else {
        return heard;
    };
    heard.status = answer.status_code;
    for line in BufReader::new(answer).lines() {
        let Ok(line) = line else { break };
        let text = line.strip_prefix("data: ").unwrap_or(&line);
        let Ok(value) = serde_json::from_str::<Value>(text) else {
            continue;
        };
        if value["done"] == true {
            heard.done = value["output_tokens"].as_u64();
        } else if let Some(offset) = value["offset"].as_u64() {
            heard.offsets.push(offset);
            let token = value["token"].as_str().unwrap().to_owned();
            heard.tokens.insert(offset, token);
        } else {
            heard.error = Some(value);
        }
        if heard.offsets.len() >= stop_after {
            break;
        }
    }
    heard
}
