//! Property tests: every parser of outside input returns a value or an error for arbitrary bytes,
//! and never panics.

use persimmon_core::{ids::RequestId, operator::OperatorCommand};
use persimmon_io::{
    http::{CheckedCall, HttpLimits, RawCall},
    settings::parse,
    upstream::{answer_error, SseReader, TokenStream},
};
use proptest::{
    collection::vec,
    prelude::*,
    sample::select,
    test_runner::{RngSeed, TestRunner},
};
use serde_json::{json, Value};
use std::path::Path;

/// Generated cases for each property.
const CASES: u32 = 512;

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })
}

/// Arbitrary bytes, or a sequence of fragments of the formats under test.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    const FRAGMENTS: &[&str] = &[
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"",
        "\\u",
        "data:",
        "\n",
        "\r\n",
        "null",
        "1e999",
        "-1",
        "\"token\":",
        "\"offset\":",
        "\"model\":\"m\"",
        "\"prompt\":\"a\"",
        "\"messages\":",
        "\"done\":true",
        "\"output_tokens\":18446744073709551616",
        "\"error\":",
        "\"not_run\"",
        "\u{0}",
        "\u{2028}",
        "é",
    ];
    let fragments = vec(select(FRAGMENTS), 0..24).prop_map(|parts| parts.concat().into_bytes());
    prop_oneof![vec(any::<u8>(), 0..256), fragments]
}

/// Arbitrary small JSON values of every type.
fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!({"a": [1]})),
    ]
}

#[test]
fn settings_never_panic() {
    let valid = json!({
        "vm": "v", "domain": "d", "platform": "127.0.0.1:1", "operator_token": "a-token-for-tests",
        "listen": {"callers": "0.0.0.0:1", "operators": "0.0.0.0:2", "peers": "0.0.0.0:3"},
        "seeds": [{"vm": "w", "domain": "d", "peer_address": "127.0.0.1:4"}],
        "tls": {"ca_file": "a", "cert_file": "b", "key_file": "c"},
    });
    let file = Path::new("vm.json");
    assert!(parse(file, valid.to_string().as_bytes()).is_ok());
    const KEYS: &[&str] = &[
        "/vm",
        "/domain",
        "/platform",
        "/operator_token",
        "/listen",
        "/listen/callers",
        "/seeds",
        "/seeds/0",
        "/seeds/0/vm",
        "/tls",
        "/tls/ca_file",
    ];
    runner()
        .run(&(bytes(), select(KEYS), value()), |(bytes, key, value)| {
            if let Err(error) = parse(file, &bytes) {
                prop_assert!(error.to_string().starts_with("vm.json: "));
            }
            let mut changed = valid.clone();
            *changed.pointer_mut(key).unwrap() = value;
            if let Err(error) = parse(file, changed.to_string().as_bytes()) {
                let name = key.split('/').nth(1).unwrap();
                prop_assert!(error.to_string().contains(name), "{} for {}", error, key);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn settings_sections_never_panic() {
    const SECTIONS: &[&str] = &[
        "config",
        "entry",
        "grant",
        "limits",
        "log",
        "membership",
        "ownership",
        "placement",
        "plan",
        "routing",
    ];
    const KEYS: &[&str] = &[
        "poll_ms",
        "max_attempts",
        "claims",
        "lease_ms",
        "death_ms",
        "heartbeat_ms",
        "policy",
        "level",
        "format",
        "max_timeout_ms",
        "body_max_bytes",
        "store_attempts",
    ];
    let input = (select(SECTIONS), select(KEYS), value());
    runner()
        .run(&input, |(section, key, value)| {
            let settings = json!({
                "vm": "v", "domain": "d", "platform": "127.0.0.1:1",
                "operator_token": "a-token-for-tests",
                "listen": {"callers": "0.0.0.0:1", "operators": "0.0.0.0:2", "peers": "0.0.0.0:3"},
                "tls": {"ca_file": "a", "cert_file": "b", "key_file": "c"},
                section: {key: value},
            });
            if let Err(error) = parse(Path::new("vm.json"), settings.to_string().as_bytes()) {
                let error = error.to_string();
                prop_assert!(
                    error.starts_with(&format!("vm.json: {section}.")),
                    "{}",
                    error
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn callers_requests_never_panic() {
    const PATHS: &[&str] = &[
        "/v1/completions",
        "/v1/chat/completions",
        "/services/a/b",
        "/",
        "/services/",
    ];
    let headers = vec((select(&HEADERS[..]), ".{0,20}"), 0..4);
    let input = (bytes(), select(PATHS), ".{0,12}", headers, any::<u128>());
    runner()
        .run(&input, |(body, path, rest, headers, id)| {
            let raw = RawCall {
                method: "POST".into(),
                target: format!("{path}{rest}"),
                headers: headers
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value))
                    .collect(),
                body: body.into(),
            };
            let limits = HttpLimits::default();
            let checked = CheckedCall::try_from((RequestId::new(id), &raw, &limits));
            if let Err(error) = checked {
                prop_assert!((400..500).contains(&error.status()));
                prop_assert!(!error.refusal().message.is_empty());
            }
            Ok(())
        })
        .unwrap();
}

/// Request headers that the daemon parses.
const HEADERS: [&str; 4] = [
    "X-Workspace",
    "X-Request-Timeout-Ms",
    "Idempotency-Key",
    "Content-Type",
];

#[test]
fn upstream_streams_and_errors_never_panic() {
    runner()
        .run(&(bytes(), any::<u16>()), |(bytes, status)| {
            let _ = answer_error(status, &bytes);
            let mut stream = SseReader::new(&bytes[..]);
            let items = std::iter::from_fn(|| stream.next_item().ok());
            prop_assert!(items.count() <= bytes.len());
            Ok(())
        })
        .unwrap();
}

#[test]
fn operator_commands_never_panic() {
    runner()
        .run(&bytes(), |bytes| {
            let _ = serde_json::from_slice::<OperatorCommand>(&bytes);
            Ok(())
        })
        .unwrap();
}
