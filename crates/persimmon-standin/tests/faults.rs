//! Faults that only some stand-ins have, and processes that die and restart.

mod common;

use common::{
    call, complete, engine, get, inject_fault, post, prompt, wait_for_counter, CompletionRequest,
};
use minreq::Method;
use persimmon_core::platform::{TableAnswer, TableOp, Write};
use persimmon_standin::{
    faults::Fault, platform::PlatformFields, service::ServiceFields, Platform, Service,
};
use serde_json::{json, Value};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

fn order(address: SocketAddr, kind: &Value) -> u16 {
    let body = json!({"fencing": 1, "kind": kind});
    post(address, "/control/orders", &body).unwrap().0
}

fn put(address: SocketAddr, value: &'static str) {
    let op = TableOp::Transact {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: "config/head".into(),
            value: value.into(),
        }],
    };
    let answer = post(address, "/table", &serde_json::to_value(op).unwrap());
    assert_eq!(answer.unwrap().0, 200);
}

fn head(address: SocketAddr) -> TableAnswer {
    let op = TableOp::Get {
        key: "config/head".into(),
    };
    let answer = post(address, "/table", &serde_json::to_value(op).unwrap());
    serde_json::from_value(answer.unwrap().1).unwrap()
}

#[test]
fn restored_store_has_the_state_of_its_copy() {
    let platform = Platform::start(PlatformFields::default().try_into().unwrap()).unwrap();
    put(platform.address(), "1");
    inject_fault(platform.control_address(), &json!({"fault": "keep_copy"}));
    put(platform.address(), "2");
    assert_eq!(
        head(platform.address()),
        TableAnswer::Value(Some("2".into()))
    );
    inject_fault(
        platform.control_address(),
        &json!({"fault": "restore_copy"}),
    );
    assert_eq!(
        head(platform.address()),
        TableAnswer::Value(Some("1".into()))
    );
}

#[test]
fn platform_keeps_its_rows_across_a_restart() {
    let platform = Platform::start(PlatformFields::default().try_into().unwrap()).unwrap();
    put(platform.address(), "1");
    platform.inject(&Fault::Die).unwrap();
    assert!(
        get(platform.address(), "/vms").is_none(),
        "the process is still alive"
    );
    platform.inject(&Fault::Revive).unwrap();
    assert_eq!(
        head(platform.address()),
        TableAnswer::Value(Some("1".into()))
    );
}

#[test]
fn service_restarts_as_a_new_process() {
    let service = Service::start(ServiceFields::default().try_into().unwrap()).unwrap();
    let incarnation = || get(service.address(), "/control/load").unwrap().1["incarnation"].clone();
    let before = incarnation();
    service.inject(&Fault::Die).unwrap();
    let book = || call(Method::Post, service.address(), "/book", &[], &json!({}));
    assert!(book().is_none(), "the process is still alive");
    service.inject(&Fault::Revive).unwrap();
    assert_eq!(book().unwrap().1["run"], 1);
    assert!(incarnation().as_u64() > before.as_u64());
}

#[test]
fn slow_service_answers_late() {
    let service = Service::start(ServiceFields::default().try_into().unwrap()).unwrap();
    inject_fault(
        service.control_address(),
        &json!({"fault": "slow", "delay_ms": 80, "rate_ratio": 1.0}),
    );
    let start = Instant::now();
    assert_eq!(post(service.address(), "/book", &json!({})).unwrap().0, 200);
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[test]
fn model_is_loaded_at_the_rate_of_the_weight_store() {
    let platform = Platform::start(PlatformFields::default().try_into().unwrap()).unwrap();
    let engine = engine(|fields| fields.weights_address = Some(platform.address()));
    let load = json!({"load_model": {"model": "advisor@2", "weights_bytes": 600_000_000}});
    assert_eq!(order(engine.address(), &load), 200);
    assert_eq!(order(engine.address(), &load), 200, "orders are idempotent");
    let start = Instant::now();
    let models = || get(engine.address(), "/control/load").unwrap().1["models"].clone();
    while models().get("advisor@2").is_none() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the model was not loaded"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    wait_for_counter(platform.control_address(), "weights_bytes", 600_000_000);
}

#[test]
fn prefill_engine_refuses_completions() {
    let engine = engine(|_| {});
    let prefill = json!({"set_role": {"role": "prefill"}});
    assert_eq!(order(engine.address(), &prefill), 200);
    assert_eq!(
        complete(engine.address(), &CompletionRequest::default(), 99).status,
        503
    );
    let both = json!({"set_role": {"role": "both"}});
    assert_eq!(order(engine.address(), &both), 200);
    let received = complete(engine.address(), &CompletionRequest::default(), 99);
    assert_eq!(received.done, Some(20));
}

#[test]
fn cache_events_have_gaps() {
    let engine = engine(|fields| fields.cache_gap_every_count = 3);
    let text = prompt(256 * 6);
    let ask = CompletionRequest {
        prompt: &text,
        max_tokens: 1,
        headers: vec![("X-Workspace", "welding")],
        ..CompletionRequest::default()
    };
    assert_eq!(complete(engine.address(), &ask, 99).done, Some(1));
    wait_for_counter(engine.control_address(), "cached_blocks", 6);
    let snapshot = get(engine.address(), "/control/cache").unwrap().1;
    assert_eq!(snapshot["changes"].as_array().unwrap().len(), 6);
    let mut next = 0;
    let mut received = 0;
    let mut gaps = 0;
    loop {
        let batch = get(engine.address(), &format!("/control/cache?from={next}"))
            .unwrap()
            .1;
        let changes = batch["changes"].as_array().unwrap().len() as u64;
        if changes == 0 {
            break;
        }
        let first = batch["first_seq_index"].as_u64().unwrap();
        gaps += u64::from(first > next);
        received += changes;
        next = first + changes;
    }
    assert!(
        gaps > 0 && received < 6,
        "{received} events with {gaps} gaps"
    );
}
