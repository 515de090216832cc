//! Plain services and the platform over loopback.

mod common;

use common::{call, get, inject_fault, post};
use minreq::Method;
use persimmon_core::platform::{Condition, ObjectOp, TableAnswer, TableOp, Write};
use persimmon_standin::{
    platform::PlatformFields, service::ServiceFields, Platform, PlatformHandle, Service,
};
use serde_json::json;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

fn platform(change: impl FnOnce(&mut PlatformFields)) -> PlatformHandle {
    let mut fields = PlatformFields::default();
    change(&mut fields);
    Platform::start(fields.try_into().unwrap()).unwrap()
}

fn table(address: SocketAddr, op: &TableOp) -> Option<TableAnswer> {
    let (status, body) = post(address, "/table", &serde_json::to_value(op).unwrap())?;
    (status == 200).then(|| serde_json::from_value(body).unwrap())
}

fn insert(key: &str, value: &'static str) -> TableOp {
    TableOp::Transact {
        conditions: vec![Condition::Absent { key: key.into() }],
        writes: vec![Write::Put {
            key: key.into(),
            value: value.into(),
        }],
    }
}

fn read(key: &str) -> TableOp {
    TableOp::Get { key: key.into() }
}

#[test]
fn service_counts_runs_by_key_and_call() {
    let service = Service::start(ServiceFields::default().try_into().unwrap()).unwrap();
    let book = |key: &str| {
        let headers = [("Idempotency-Key", key)];
        call(
            Method::Post,
            service.address(),
            "/book",
            &headers,
            &json!({}),
        )
    };
    assert_eq!(book("a").unwrap().1["run"], 1);
    inject_fault(
        service.control_address(),
        &json!({"fault": "lose_answers", "answers_count": 1}),
    );
    assert!(book("a").is_none(), "the answer was not lost");
    book("b");
    get(service.address(), "/status");
    insta::assert_snapshot!(get(service.control_address(), "/counters").unwrap().1);
    let report = get(service.address(), "/control/load").unwrap().1;
    assert_eq!(report["bearable_requests"], 64);
}

#[test]
fn full_service_refuses_without_running() {
    let fields = ServiceFields {
        work_ms: persimmon_core::units::Millis::new(300),
        max_in_flight_requests: 1,
        ..ServiceFields::default()
    };
    let service = Service::start(fields.try_into().unwrap()).unwrap();
    let address = service.address();
    let first = thread::spawn(move || post(address, "/book", &json!({})));
    common::wait_for_counter(service.control_address(), "in_flight_requests", 1);
    let (status, body) = post(address, "/book", &json!({})).unwrap();
    assert_eq!(
        (status, body["error"]["outcome"].as_str()),
        (503, Some("not_run"))
    );
    assert_eq!(first.join().unwrap().unwrap().0, 200);
    let counters = get(service.control_address(), "/counters").unwrap().1;
    assert_eq!(counters["run_requests"], 1);
}

#[test]
fn transaction_takes_effect_once() {
    let platform = platform(|_| {});
    let address = platform.address();
    assert_eq!(
        table(address, &insert("claims/a", "1")),
        Some(TableAnswer::Done)
    );
    assert_eq!(
        table(address, &insert("claims/a", "2")),
        Some(TableAnswer::Conflict)
    );
    assert_eq!(
        table(address, &insert("claims/b", "3")),
        Some(TableAnswer::Done)
    );
    let scan = TableOp::Scan {
        prefix: "claims/".into(),
        after: Some("claims/a".into()),
        limit_len: 10,
    };
    let rows = vec![("claims/b".to_owned(), "3".into())];
    assert_eq!(table(address, &scan), Some(TableAnswer::Rows(rows)));
}

#[test]
fn call_with_a_lost_answer_takes_effect() {
    let platform = platform(|_| {});
    let address = platform.address();
    inject_fault(
        platform.control_address(),
        &json!({"fault": "lose_answers", "answers_count": 1}),
    );
    assert_eq!(table(address, &insert("config/head", "7")), None);
    let value = TableAnswer::Value(Some("7".into()));
    assert_eq!(table(address, &read("config/head")), Some(value));
}

#[test]
fn unavailable_store_has_no_effect() {
    let platform = platform(|_| {});
    let address = platform.address();
    inject_fault(platform.control_address(), &json!({"fault": "store_down"}));
    let op = serde_json::to_value(insert("a", "1")).unwrap();
    assert_eq!(post(address, "/table", &op).unwrap().0, 503);
    assert_eq!(get(address, "/vms").unwrap().0, 503);
    inject_fault(platform.control_address(), &json!({"fault": "clear"}));
    assert_eq!(table(address, &read("a")), Some(TableAnswer::Value(None)));
}

#[test]
fn writes_and_weights_are_rate_limited() {
    let platform = platform(|fields| {
        fields.writes_per_s = 3.0;
        fields.weights_bytes_per_s = 1_000.0.try_into().unwrap();
    });
    let address = platform.address();
    let op = serde_json::to_value(ObjectOp::Put {
        key: "k".into(),
        value: "v".into(),
    })
    .unwrap();
    let statuses: Vec<u16> = (0..8)
        .map(|_| post(address, "/objects", &op).unwrap().0)
        .collect();
    assert_eq!(statuses[..3], [200; 3]);
    assert!(statuses.contains(&503), "{statuses:?}");
    let take = |bytes: u64| post(address, "/weights/take", &json!({"bytes": bytes})).unwrap();
    assert_eq!(take(1_000).0, 200);
    let (status, body) = take(1_000);
    assert_eq!(status, 429);
    assert!(body["retry_after_ms"].as_u64().unwrap() <= 1_000);
}

#[test]
fn list_of_vms_is_delayed() {
    let platform = platform(|fields| {
        fields.vms_lag_ms = persimmon_core::units::Millis::new(300);
    });
    let list = json!([{"vm": "a-vm-1", "domain": "a", "peer_address": "127.0.0.1:1",
        "state": "live"}]);
    let changed = Instant::now();
    assert_eq!(
        post(platform.control_address(), "/vms", &list).unwrap().0,
        200
    );
    assert_eq!(get(platform.address(), "/vms").unwrap().1, json!([]));
    while get(platform.address(), "/vms").unwrap().1 != list {
        assert!(
            changed.elapsed().as_millis() < 5_000,
            "the list did not change within 5 s"
        );
        thread::sleep(Duration::from_millis(10));
    }
    assert!(changed.elapsed().as_millis() >= 300);
}
