//! Engines over loopback: whole answers, resume, cancel, fencing, cold starts, groups and faults.

mod common;

use common::{await_counter, complete, engine, fault, get, post, prompt, request, Ask, MODEL};
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
fn whole_answer_comes_by_offsets() {
    let engine = engine(|_| {});
    let ask = Ask::default();
    let heard = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(heard.offsets, (0..20).collect::<Vec<_>>());
    let expected = tokens(MODEL, ask.prompt, 0, 20);
    assert_eq!(heard.tokens.into_values().collect::<Vec<_>>(), expected);
    assert_eq!(heard.done, Some(20));
}

#[test]
fn tokens_leave_one_by_one() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 20.0.try_into().unwrap());
    let start = Instant::now();
    let heard = complete(engine.address(), &Ask::default(), 1);
    assert_eq!(heard.offsets, [0]);
    // The whole answer takes 950 ms at this rate: the first token did not wait for it.
    assert!(start.elapsed().as_millis() < 700, "{:?}", start.elapsed());
}

#[test]
fn resume_gives_exactly_the_missing_tokens() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 100.0.try_into().unwrap());
    let first = complete(engine.address(), &Ask::default(), 5);
    assert_eq!(first.offsets, [0, 1, 2, 3, 4]);
    let ask = Ask {
        headers: vec![("X-Resume", "1"), ("X-Offset", "5"), ("X-Attempt", "1")],
        ..Ask::default()
    };
    let second = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(second.offsets, (5..20).collect::<Vec<_>>());
    assert_eq!(second.done, Some(20));
    await_counter(engine.control_address(), "kv_held_bytes", 0);
}

#[test]
fn replay_elsewhere_starts_after_the_offset() {
    let engine = engine(|_| {});
    let ask = Ask {
        headers: vec![("X-Offset", "15")],
        ..Ask::default()
    };
    let heard = complete(engine.address(), &ask, usize::MAX);
    let expected = tokens(MODEL, ask.prompt, 15, 20);
    assert_eq!(heard.tokens.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn resume_of_an_unknown_stream_was_not_run() {
    let engine = engine(|_| {});
    let ask = Ask {
        headers: vec![("X-Resume", "1")],
        ..Ask::default()
    };
    let heard = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(heard.status, 404);
    insta::assert_snapshot!(heard.error.unwrap());
}

#[test]
fn cancel_returns_memory() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 1.0.try_into().unwrap());
    complete(engine.address(), &Ask::default(), 1);
    let report = get(engine.address(), "/control/load").unwrap().1;
    assert_eq!(report["requests"], json!([request(1)]));
    assert_ne!(report["kv_held_bytes"], json!(0));
    let cancel = json!({"cancel": {"request": request(1)}});
    assert_eq!(order(engine.address(), 1, &cancel).0, 200);
    assert_eq!(order(engine.address(), 1, &cancel).0, 200);
    await_counter(engine.control_address(), "kv_held_bytes", 0);
    await_counter(engine.control_address(), "in_flight_requests", 0);
}

#[test]
fn old_fencing_number_is_refused_where_it_is_checked() {
    let cancel = json!({"cancel": {"request": request(9)}});
    for (checks_fencing, status) in [(true, 409), (false, 200)] {
        let engine = engine(|fields| fields.checks_fencing = checks_fencing);
        assert_eq!(order(engine.address(), 5, &cancel).0, 200);
        let (seen, body) = order(engine.address(), 4, &cancel);
        assert_eq!(seen, status, "{body}");
        let ask = Ask {
            headers: vec![("X-Fencing", "4")],
            ..Ask::default()
        };
        let heard = complete(engine.address(), &ask, usize::MAX);
        assert_eq!(heard.done.is_some(), !checks_fencing);
    }
}

#[test]
fn cold_engine_falls_over_when_overloaded() {
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
                let ask = Ask {
                    number,
                    ..Ask::default()
                };
                complete(address, &ask, usize::MAX)
            })
        })
        .collect();
    let heard: Vec<_> = streams.into_iter().map(|s| s.join().unwrap()).collect();
    assert!(heard.iter().all(|stream| stream.done.is_none()));
    await_counter(engine.control_address(), "falls_count", 1);
    await_counter(engine.control_address(), "over_bearable_requests", 1);
    await_counter(engine.control_address(), "kv_held_bytes", 0);
}

#[test]
fn cold_engine_warms_by_whole_answers() {
    let engine = engine(|fields| {
        fields.starts_cold = true;
        fields.cold_bearable_requests = 2;
        fields.warm_step_requests = 2;
    });
    for number in 1..=4 {
        let ask = Ask {
            number,
            ..Ask::default()
        };
        assert_eq!(complete(engine.address(), &ask, usize::MAX).done, Some(20));
    }
    await_counter(engine.control_address(), "bearable_requests", 4);
    fault(engine.control_address(), &json!({"fault": "go_cold"}));
    await_counter(engine.control_address(), "bearable_requests", 2);
}

#[test]
fn full_engine_refuses_without_running() {
    let engine = engine(|fields| {
        fields.max_in_flight_requests = 1;
        fields.cold_bearable_requests = 1;
        fields.decode_tokens_per_s = 1.0.try_into().unwrap();
    });
    complete(engine.address(), &Ask::default(), 1);
    let ask = Ask {
        number: 2,
        ..Ask::default()
    };
    let heard = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(heard.status, 503);
    insta::assert_snapshot!(heard.error.unwrap());
}

#[test]
fn short_prompt_with_priority_passes_a_long_one() {
    let engine = engine(|fields| fields.prefill_tokens_per_s = 20_000.0.try_into().unwrap());
    let address = engine.address();
    let long = thread::spawn(move || {
        let ask = Ask {
            prompt: &prompt(40_000),
            headers: vec![("X-Priority", "9")],
            ..Ask::default()
        };
        complete(address, &ask, usize::MAX);
        Instant::now()
    });
    await_counter(engine.control_address(), "started_requests", 1);
    let ask = Ask {
        number: 2,
        ..Ask::default()
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
        let ask = Ask {
            number,
            prompt,
            headers: vec![("X-Workspace", "welding")],
            ..Ask::default()
        };
        complete(engine.address(), &ask, usize::MAX)
    };
    let text = prompt(600);
    ask(1, &text);
    let cache = get(engine.address(), "/control/cache?from=0").unwrap().1;
    assert_eq!(cache["changes"].as_array().unwrap().len(), 2);
    ask(2, &text);
    await_counter(engine.control_address(), "cached_tokens", 512);
    ask(3, &text.replace('w', "x"));
    let cache = get(engine.address(), "/control/cache?from=2").unwrap().1;
    let changes = cache["changes"].to_string();
    assert!(changes.contains("evicted"), "{changes}");
    let whole = get(engine.address(), "/control/cache").unwrap().1;
    assert_eq!(whole["whole"], true);
}

#[test]
fn group_prefills_in_segments_and_returns_all_memory() {
    let small = |fields: &mut persimmon_standin::engine::EngineFields| {
        fields.kv_bytes = KvBytes::new(1_000 * fields.kv_bytes_per_token.get());
    };
    let (first, second) = (engine(small), engine(small));
    let text = prompt(1_500);
    let alone = Ask {
        prompt: &text,
        ..Ask::default()
    };
    let refused = complete(second.address(), &alone, usize::MAX);
    assert_eq!(refused.error.unwrap()["error"]["reason"], "too_long");
    let id = request(1);
    let prefill = json!({"prefill_segment":
        {"request": id, "from_tokens": 0, "to_tokens": 900}});
    assert_eq!(order(first.address(), 1, &prefill).0, 200);
    let import = json!({"import_kv":
        {"request": id, "source": first.address(), "from_tokens": 0, "to_tokens": 900}});
    assert_eq!(order(second.address(), 1, &import).0, 200);
    let heard = complete(second.address(), &alone, usize::MAX);
    assert_eq!(heard.done, Some(20));
    let expected = tokens(MODEL, &text, 0, 20);
    assert_eq!(heard.tokens.into_values().collect::<Vec<_>>(), expected);
    order(first.address(), 1, &json!({"cancel": {"request": id}}));
    await_counter(first.control_address(), "kv_held_bytes", 0);
    await_counter(second.control_address(), "kv_held_bytes", 0);
}

#[test]
fn disturbed_tokens_keep_their_offsets() {
    let engine = engine(|_| {});
    let disturb = json!({"fault": "tokens", "reorder": true, "duplicate": true, "delay_ms": 0});
    fault(engine.control_address(), &disturb);
    let ask = Ask::default();
    let heard = complete(engine.address(), &ask, usize::MAX);
    assert_eq!(heard.offsets[..4], [1, 1, 0, 0]);
    let expected = tokens(MODEL, ask.prompt, 0, 20);
    assert_eq!(heard.tokens.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn dead_engine_cuts_streams_and_comes_back_empty() {
    let engine = engine(|fields| fields.decode_tokens_per_s = 10.0.try_into().unwrap());
    let address = engine.address();
    let stream = thread::spawn(move || complete(address, &Ask::default(), usize::MAX));
    await_counter(engine.control_address(), "started_requests", 1);
    let before = get(address, "/control/load").unwrap().1["incarnation"].clone();
    fault(engine.control_address(), &json!({"fault": "die"}));
    assert_eq!(stream.join().unwrap().done, None);
    assert!(get(address, "/control/load").is_none());
    fault(engine.control_address(), &json!({"fault": "revive"}));
    let after = get(address, "/control/load").unwrap().1;
    assert_ne!(after["incarnation"], before);
    assert_eq!(after["in_flight_requests"], 0);
}

#[test]
fn hung_engine_answers_after_the_fault_is_cleared() {
    let engine = engine(|_| {});
    let address = engine.address();
    fault(engine.control_address(), &json!({"fault": "hang"}));
    let stream = thread::spawn(move || complete(address, &Ask::default(), usize::MAX));
    assert!(!answers_within_a_second(address));
    assert!(!stream.is_finished());
    fault(engine.control_address(), &json!({"fault": "clear"}));
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
