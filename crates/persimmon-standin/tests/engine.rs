//! Engines over loopback: complete answers, resume, cancel, fencing, cold starts, groups and faults.

mod common;

use common::{
    complete, engine, get, inject_fault, post, prompt, request, wait_for_counter,
    CompletionRequest, MODEL,
};
use persimmon_core::{
    ids::{ModelVersion, WorkspaceId},
    request::{count_tokens, prefix_blocks, BLOCK_TOKENS},
    units::{KvBytes, Millis, Tokens},
};
use persimmon_standin::engine::TokenSource;
use serde_json::{json, Value};
use std::{thread, time::Instant};

fn tokens(model: &str, prompt: &str, from: u64, to: u64) -> Vec<String> {
    let source = TokenSource::new(&model.parse::<ModelVersion>().unwrap(), prompt);
    (from..to).map(|offset| source.token(offset)).collect()
}

fn order(address: std::net::SocketAddr, fencing: u64, kind: &Value) -> (u16, Value) {
    post(
        address,
        "/control/orders",
        &json!({"fencing": fencing, "kind": kind}),
    )
    .unwrap()
}

#[test]
fn token_formula_is_stable() {
    insta::assert_snapshot!(tokens(MODEL, "why does the robot stop", 0, 3).join(" "));
}

#[test]
fn prefix_blocks_chain_and_are_salted() {
    let one: WorkspaceId = "one".parse().unwrap();
    let two: WorkspaceId = "two".parse().unwrap();
    let text = prompt(600);
    let blocks = prefix_blocks(&one, &text, BLOCK_TOKENS);
    assert_eq!(count_tokens(&text), Tokens::new(600));
    assert_eq!(blocks.len(), 2);
    assert_eq!(blocks, prefix_blocks(&one, &prompt(520), BLOCK_TOKENS));
    assert_ne!(blocks, prefix_blocks(&two, &text, BLOCK_TOKENS));
    let other = text.replacen("w0 ", "x0 ", 1);
    assert_ne!(blocks[1], prefix_blocks(&one, &other, BLOCK_TOKENS)[1]);
}

#[test]
fn complete_answer_has_all_offsets_in_order() {
    let engine = engine(|_| {});
    let ask = CompletionRequest::default();
    let received = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(received.offsets, (0..20).collect::<Vec<_>>());
    let expected = tokens(MODEL, ask.prompt, 0, 20);
    assert_eq!(received.tokens.into_values().collect::<Vec<_>>(), expected);
    assert_eq!(received.done, Some(20));
}

#[test]
fn tokens_are_sent_one_by_one() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 20.0.try_into().unwrap());
    let start = Instant::now();
    let received = complete(engine.address(), &CompletionRequest::default(), 1);
    assert_eq!(received.offsets, [0]);
    // The complete answer takes 950 ms at this rate, so the first token did not wait for the rest.
    assert!(start.elapsed().as_millis() < 700, "{:?}", start.elapsed());
}

#[test]
fn resume_sends_exactly_the_missing_tokens() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 100.0.try_into().unwrap());
    let first = complete(engine.address(), &CompletionRequest::default(), 5);
    assert_eq!(first.offsets, [0, 1, 2, 3, 4]);
    let ask = CompletionRequest {
        headers: vec![("X-Resume", "1"), ("X-Offset", "5"), ("X-Attempt", "1")],
        ..CompletionRequest::default()
    };
    let second = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(second.offsets, (5..20).collect::<Vec<_>>());
    assert_eq!(second.done, Some(20));
    wait_for_counter(engine.control_address(), "kv_held_bytes", 0);
}

#[test]
fn replay_elsewhere_starts_after_the_offset() {
    let engine = engine(|_| {});
    let ask = CompletionRequest {
        headers: vec![("X-Offset", "15")],
        ..CompletionRequest::default()
    };
    let received = complete(engine.address(), &ask, usize::MAX);
    let expected = tokens(MODEL, ask.prompt, 15, 20);
    assert_eq!(received.tokens.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn resume_of_an_unknown_stream_was_not_run() {
    let engine = engine(|_| {});
    let ask = CompletionRequest {
        headers: vec![("X-Resume", "1")],
        ..CompletionRequest::default()
    };
    let received = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(received.status, 404);
    insta::assert_snapshot!(received.error.unwrap());
}

#[test]
fn cancel_releases_memory() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 1.0.try_into().unwrap());
    complete(engine.address(), &CompletionRequest::default(), 1);
    let report = get(engine.address(), "/control/load").unwrap().1;
    assert_eq!(report["requests"], json!([request(1)]));
    assert_ne!(report["kv_held_bytes"], json!(0));
    let cancel = json!({"cancel": {"request": request(1)}});
    assert_eq!(order(engine.address(), 1, &cancel).0, 200);
    assert_eq!(order(engine.address(), 1, &cancel).0, 200);
    wait_for_counter(engine.control_address(), "kv_held_bytes", 0);
    wait_for_counter(engine.control_address(), "in_flight_requests", 0);
}

#[test]
fn old_fencing_number_is_refused_where_it_is_checked() {
    let cancel = json!({"cancel": {"request": request(9)}});
    for (checks_fencing, status) in [(true, 409), (false, 200)] {
        let engine = engine(|fields| fields.checks_fencing = checks_fencing);
        assert_eq!(order(engine.address(), 5, &cancel).0, 200);
        let (received_status, body) = order(engine.address(), 4, &cancel);
        assert_eq!(received_status, status, "{body}");
        let ask = CompletionRequest {
            headers: vec![("X-Fencing", "4")],
            ..CompletionRequest::default()
        };
        let received = complete(engine.address(), &ask, usize::MAX);
        assert_eq!(received.done.is_some(), !checks_fencing);
    }
}

#[test]
fn cold_engine_crashes_when_overloaded() {
    let engine = engine(|fields| {
        fields.starts_cold = true;
        fields.cold_bearable_requests = 2;
        fields.overload_bear_ms = Millis::new(50);
        fields.fall_over_ms = Millis::new(100);
        fields.decode_tokens_per_s = 1.0.try_into().unwrap();
    });
    let address = engine.address();
    let streams: Vec<_> = (1..=3)
        .map(|number| {
            thread::spawn(move || {
                let ask = CompletionRequest {
                    number,
                    ..CompletionRequest::default()
                };
                complete(address, &ask, usize::MAX)
            })
        })
        .collect();
    let received: Vec<_> = streams.into_iter().map(|s| s.join().unwrap()).collect();
    assert!(received.iter().all(|stream| stream.done.is_none()));
    wait_for_counter(engine.control_address(), "falls_count", 1);
    wait_for_counter(engine.control_address(), "over_bearable_requests", 1);
    wait_for_counter(engine.control_address(), "kv_held_bytes", 0);
}

#[test]
fn completed_answers_warm_a_cold_engine() {
    let engine = engine(|fields| {
        fields.starts_cold = true;
        fields.cold_bearable_requests = 2;
        fields.warm_step_requests = 2;
    });
    for number in 1..=4 {
        let ask = CompletionRequest {
            number,
            ..CompletionRequest::default()
        };
        assert_eq!(complete(engine.address(), &ask, usize::MAX).done, Some(20));
    }
    wait_for_counter(engine.control_address(), "bearable_requests", 4);
    inject_fault(engine.control_address(), &json!({"fault": "go_cold"}));
    wait_for_counter(engine.control_address(), "bearable_requests", 2);
}

#[test]
fn full_engine_refuses_without_running() {
    let engine = engine(|fields| {
        fields.max_in_flight_requests = 1;
        fields.cold_bearable_requests = 1;
        fields.decode_tokens_per_s = 1.0.try_into().unwrap();
    });
    complete(engine.address(), &CompletionRequest::default(), 1);
    let ask = CompletionRequest {
        number: 2,
        ..CompletionRequest::default()
    };
    let received = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(received.status, 503);
    insta::assert_snapshot!(received.error.unwrap());
}

#[test]
fn short_prompt_with_higher_priority_ends_before_a_long_one() {
    let engine = engine(|fields| fields.prefill_tokens_per_s = 20_000.0.try_into().unwrap());
    let address = engine.address();
    let long = thread::spawn(move || {
        let ask = CompletionRequest {
            prompt: &prompt(40_000),
            headers: vec![("X-Priority", "9")],
            ..CompletionRequest::default()
        };
        complete(address, &ask, usize::MAX);
        Instant::now()
    });
    wait_for_counter(engine.control_address(), "started_requests", 1);
    let ask = CompletionRequest {
        number: 2,
        ..CompletionRequest::default()
    };
    assert_eq!(complete(address, &ask, usize::MAX).done, Some(20));
    let short_done = Instant::now();
    assert!(short_done < long.join().unwrap());
}

#[test]
fn cached_prefix_is_published_and_evicted() {
    let engine = engine(|fields| {
        fields.kv_bytes = KvBytes::new(1_000 * fields.kv_bytes_per_token.get());
    });
    let ask = |number, prompt: &str| {
        let ask = CompletionRequest {
            number,
            prompt,
            headers: vec![("X-Workspace", "welding")],
            ..CompletionRequest::default()
        };
        complete(engine.address(), &ask, usize::MAX)
    };
    let text = prompt(600);
    ask(1, &text);
    let cache = get(engine.address(), "/control/cache?from=0").unwrap().1;
    assert_eq!(cache["changes"].as_array().unwrap().len(), 2);
    ask(2, &text);
    wait_for_counter(engine.control_address(), "cached_tokens", 512);
    ask(3, &text.replace('w', "x"));
    let cache = get(engine.address(), "/control/cache?from=2").unwrap().1;
    let changes = cache["changes"].to_string();
    assert!(changes.contains("evicted"), "{changes}");
    let snapshot = get(engine.address(), "/control/cache").unwrap().1;
    assert_eq!(snapshot["whole"], true);
}

#[test]
fn group_prefills_in_segments_and_releases_all_memory() {
    let small_memory = |fields: &mut persimmon_standin::engine::EngineFields| {
        fields.kv_bytes = KvBytes::new(1_000 * fields.kv_bytes_per_token.get());
    };
    let (first, second) = (engine(small_memory), engine(small_memory));
    let text = prompt(1_500);
    let request_spec = CompletionRequest {
        prompt: &text,
        ..CompletionRequest::default()
    };
    let refused = complete(second.address(), &request_spec, usize::MAX);
    assert_eq!(refused.error.unwrap()["error"]["reason"], "too_long");
    let id = request(1);
    let prefill = json!({"prefill_segment":
        {"request": id, "from_tokens": 0, "to_tokens": 900}});
    assert_eq!(order(first.address(), 1, &prefill).0, 200);
    let import = json!({"import_kv":
        {"request": id, "source": first.address(), "from_tokens": 0, "to_tokens": 900}});
    assert_eq!(order(second.address(), 1, &import).0, 200);
    let received = complete(second.address(), &request_spec, usize::MAX);
    assert_eq!(received.done, Some(20));
    let expected = tokens(MODEL, &text, 0, 20);
    assert_eq!(received.tokens.into_values().collect::<Vec<_>>(), expected);
    order(first.address(), 1, &json!({"cancel": {"request": id}}));
    wait_for_counter(first.control_address(), "kv_held_bytes", 0);
    wait_for_counter(second.control_address(), "kv_held_bytes", 0);
}

#[test]
fn reordered_and_duplicated_tokens_keep_their_offsets() {
    let engine = engine(|_| {});
    let token_faults =
        json!({"fault": "tokens", "reorder": true, "duplicate": true, "delay_ms": 0});
    inject_fault(engine.control_address(), &token_faults);
    let ask = CompletionRequest::default();
    let received = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(received.offsets[..4], [1, 1, 0, 0]);
    let expected = tokens(MODEL, ask.prompt, 0, 20);
    assert_eq!(received.tokens.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn dead_engine_closes_streams_and_restarts_empty() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 10.0.try_into().unwrap());
    let address = engine.address();
    let stream =
        thread::spawn(move || complete(address, &CompletionRequest::default(), usize::MAX));
    wait_for_counter(engine.control_address(), "started_requests", 1);
    let before = get(address, "/control/load").unwrap().1["incarnation"].clone();
    inject_fault(engine.control_address(), &json!({"fault": "die"}));
    assert_eq!(stream.join().unwrap().done, None);
    assert!(get(address, "/control/load").is_none());
    inject_fault(engine.control_address(), &json!({"fault": "revive"}));
    let after = get(address, "/control/load").unwrap().1;
    assert_ne!(after["incarnation"], before);
    assert_eq!(after["in_flight_requests"], 0);
}

#[test]
fn hung_engine_answers_after_the_fault_is_cleared() {
    let engine = engine(|_| {});
    let address = engine.address();
    inject_fault(engine.control_address(), &json!({"fault": "hang"}));
    let stream =
        thread::spawn(move || complete(address, &CompletionRequest::default(), usize::MAX));
    assert!(!answers_within_a_second(address));
    assert!(!stream.is_finished());
    inject_fault(engine.control_address(), &json!({"fault": "clear"}));
    assert_eq!(stream.join().unwrap().done, Some(20));
}

fn answers_within_a_second(address: std::net::SocketAddr) -> bool {
    let call = minreq::get(format!("http://{address}/control/load")).with_timeout(1);
    call.with_header("Connection", "close").send().is_ok()
}

#[test]
fn malformed_calls_are_refused() {
    let engine = engine(|_| {});
    let answers = [
        post(engine.address(), "/v1/completions", &json!({"model": 3})),
        post(engine.address(), "/control/orders", &json!([])),
        get(engine.address(), "/nowhere"),
        post(
            engine.control_address(),
            "/faults",
            &json!({"fault": "rain"}),
        ),
    ];
    insta::assert_debug_snapshot!(answers.map(|a| a.unwrap().0));
}
