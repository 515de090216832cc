//! Daemons of two failure domains as threads, joined by QUIC.

use crate::world::{
    client::{call, page, post, read_until, rest, send, tokens, STREAM},
    daemons::{ask, change, World},
    wait,
};
use insta::assert_snapshot;
use persimmon_core::operator::{Intent, OperatorCommand, OperatorReply};
use std::{
    io::Write,
    thread,
    time::{Duration, Instant},
};

/// A completion that is not streamed.
const COLLECTED: &str = r#"{"model":"m","prompt":"a b","max_tokens":3}"#;

/// Time past a deadline, on a busy computer.
const SLACK: Duration = Duration::from_secs(1);

#[test]
fn answers_come_whole_through_another_failure_domain() {
    let world = World::start();
    let answer = rest(send(world.callers(1), &post("/v1/completions", "", STREAM)));
    let expected: Vec<_> = (0..10).map(|n| format!("t{n}")).collect();
    assert_eq!(tokens(&answer), Some(expected), "{answer}");
    let order = post(
        "/services/orders/cells/7",
        "Idempotency-Key: k1\r\n",
        "start",
    );
    let first = call(world.callers(1), &order);
    assert_snapshot!(first, @r#"200 OK {"path":"/cells/7","run":1}"#);
    assert_eq!(
        call(world.callers(0), &order),
        first,
        "the same key at another daemon"
    );
    assert_eq!(world.upstream.counts().runs_by_key["k1"], 1);
    world.stop();
}

#[test]
fn first_token_leaves_while_the_engine_still_generates() {
    let world = World::start();
    world.pace(100);
    let mut reader = send(world.callers(1), &post("/v1/completions", "", STREAM));
    read_until(&mut reader, "t0");
    assert_eq!(world.held_count(), 1, "the answer was over");
    assert!(tokens(&rest(reader)).is_some());
    world.stop();
}

#[test]
fn engine_that_dies_in_the_middle_costs_no_token() {
    let world = World::start();
    world.pace(50);
    let mut reader = send(world.callers(1), &post("/v1/completions", "", STREAM));
    read_until(&mut reader, "t3");
    for engine in [&world.upstream, &world.second] {
        if !engine.counts().held.is_empty() {
            engine.cut();
        }
    }
    let answer = rest(reader);
    let expected: Vec<_> = (4..10).map(|n| format!("t{n}")).collect();
    assert_eq!(tokens(&answer), Some(expected), "{answer}");
    wait("memory is free", || match world.held_count() {
        0 => Ok(()),
        count => Err(count.to_string()),
    });
    world.stop();
}

#[test]
fn hung_engines_outlast_no_deadline() {
    let world = World::start();
    let engines = [&world.upstream, &world.second];
    engines.iter().for_each(|engine| engine.hang(true));
    let timeout = Duration::from_millis(1500);
    let header = format!("X-Request-Timeout-Ms: {}\r\n", timeout.as_millis());
    let calls = [STREAM, COLLECTED, STREAM, COLLECTED].map(|body| {
        let request = post("/v1/completions", &header, body);
        let address = world.callers(1);
        thread::spawn(move || {
            let sent = Instant::now();
            (rest(send(address, &request)), sent.elapsed())
        })
    });
    for call in calls {
        let (answer, took) = call.join().unwrap();
        assert!(answer.contains("\"deadline_exceeded\""), "{answer}");
        assert!(took < timeout + SLACK, "refused after {took:?}");
    }
    wait("no open request", || {
        let page = page(world.callers(1), "/metrics");
        let is_idle = page.contains("\npersimmon_open_requests 0\n");
        let in_time = page.contains("\npersimmon_oldest_overdue_seconds 0\n");
        (is_idle && in_time).then_some(()).ok_or(page)
    });
    engines.iter().for_each(|engine| engine.hang(false));
    world.stop();
}

#[test]
fn one_key_at_two_daemons_at_once_runs_once() {
    let world = World::start();
    let keys_count = 20;
    for key in 0..keys_count {
        let header = format!("Idempotency-Key: k{key}\r\n");
        let order = post("/services/orders/cells/7", &header, "start");
        let calls = [0, 1, 0, 1].map(|index| {
            let (address, order) = (world.callers(index), order.clone());
            thread::spawn(move || call(address, &order))
        });
        let answers = calls.map(|call| call.join().unwrap());
        let first = &answers[0];
        assert!(first.starts_with("200"), "{first}");
        assert!(answers.iter().all(|answer| answer == first), "{answers:?}");
    }
    let runs = world.upstream.counts().runs_by_key;
    assert_eq!(runs.len(), keys_count);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    world.stop();
}

/// Sends an order under a key, or under none where `headers` is empty.
fn order(world: &World, index: usize, headers: &str) -> String {
    let request = post("/services/orders/cells/7", headers, "start");
    call(world.callers(index), &request)
}

/// Headers with a fresh ticket of the first daemon as key, and that key.
fn ticket(world: &World) -> (String, String) {
    let answer = call(world.callers(0), &post("/tickets", "", ""));
    let answer = answer.strip_prefix("200 OK ").expect(&answer);
    let answer: serde_json::Value = serde_json::from_str(answer).unwrap();
    let key = answer["key"].as_str().unwrap().to_owned();
    let headers = format!("Idempotency-Key: {key}\r\nX-Request-Timeout-Ms: 1500\r\n");
    (headers, key)
}

#[test]
fn store_that_is_down_stops_only_what_needs_it() {
    let world = World::start();
    world.platform.set_down(true);
    let answer = rest(send(world.callers(1), &post("/v1/completions", "", STREAM)));
    assert!(tokens(&answer).is_some(), "{answer}");
    assert_snapshot!(order(&world, 0, "Idempotency-Key: own\r\n"));
    assert!(order(&world, 0, "").starts_with("200"));
    let (headers, key) = ticket(&world);
    let answer = order(&world, 1, &headers);
    assert!(answer.starts_with("200"), "{answer}");
    let runs = world.upstream.counts().runs_by_key;
    assert_eq!((runs.get("own"), runs.get(&key)), (None, Some(&1)));
    world.platform.set_down(false);
    wait("a claimed key", || {
        let answer = order(&world, 1, "Idempotency-Key: own\r\n");
        match answer.starts_with("200") {
            true => Ok(()),
            false => Err(answer),
        }
    });
    world.stop();
}

#[test]
fn duplicate_of_a_ticket_that_ran_is_not_told_not_run() {
    let world = World::start();
    world.platform.set_down(true);
    let (headers, key) = ticket(&world);
    let first = order(&world, 1, &headers);
    assert!(first.starts_with("200"), "{first}");
    let duplicates = [0, 1].map(|index| order(&world, index, &headers));
    assert_eq!(world.upstream.counts().runs_by_key.get(&key), Some(&1));
    for duplicate in duplicates {
        assert!(!duplicate.contains("\"not_run\""), "{duplicate}");
    }
    world.stop();
}

#[test]
fn bad_requests_are_refused_with_a_remedy() {
    let world = World::start();
    let at = |text: &str| call(world.callers(0), text);
    let completion = |body: &str| at(&post("/v1/completions", "", body));
    let other = |text: String, from: &str, to: &str| at(&text.replace(from, to));
    let large = format!(r#"{{"model":"m","prompt":"{}"}}"#, "a ".repeat(4000));
    let answers = [
        completion("{\"model\": "),
        completion("\u{0}\u{1}"),
        completion(r#"{"model":7,"prompt":"a"}"#),
        completion(r#"{"model":"m","prompt":["a"]}"#),
        completion(r#"{"model":"m","prompt":"a","max_tokens":-1}"#),
        completion(r#"{"model":"m","prompt":"a","max_tokens":0}"#),
        completion(r#"{"prompt":"a"}"#),
        completion(r#"{"model":"m"}"#),
        completion(r#"{"model":"nobody","prompt":"a"}"#),
        completion(&large),
        other(post("/v1/completions", "", COLLECTED), "team-1", "nobody"),
        other(
            post("/v1/completions", "", COLLECTED),
            "X-Workspace",
            "X-Other",
        ),
        at(&post(
            "/v1/completions",
            "X-Request-Timeout-Ms: soon\r\n",
            COLLECTED,
        )),
        at(&post(
            "/v1/completions",
            "X-Request-Timeout-Ms: 0\r\n",
            COLLECTED,
        )),
        at(&post("/services/nobody/x", "", "")),
        at(&post("/services/a%20b/x", "", "")),
        at(&post("/v2/completions", "", COLLECTED)),
        other(post("/v1/completions", "", COLLECTED), "POST", "GET"),
    ];
    assert_snapshot!(answers.join("\n"));
    assert_snapshot!(page(world.callers(0), "/healthz"), @"200 OK ok");
    world.stop();
}

#[test]
fn connections_that_misbehave_hurt_nobody_else() {
    let world = World::start_with(|settings| settings["limits"]["io_time_ms"] = 2000.into());
    let address = world.callers(0);
    // Smaller bodies are read before the daemon sees a request.
    let large = post(
        "/v1/completions",
        "",
        &format!("{COLLECTED}{}", " ".repeat(2000)),
    );
    let part = &large[..large.len() - 5];
    drop(send(address, part));
    drop(send(address, "GET /healthz HT"));
    let garbage = call(address, "\u{0}\u{1}\u{2}\r\n\r\n");
    let mut slow = send(address, part);
    for byte in [b' '; 2] {
        thread::sleep(Duration::from_millis(400));
        // The daemon may have hung up.
        let _ = slow.get_mut().write_all(&[byte]);
    }
    let slow = rest(slow);
    let slow = slow.lines().last().unwrap_or_default();
    let other = call(address, &post("/v1/completions", "", COLLECTED));
    assert!(other.starts_with("200"), "{other}");
    assert_snapshot!([garbage, slow.to_owned()].join("\n"));
    world.stop();
}

#[test]
fn requests_over_the_limit_are_refused_at_once() {
    let world = World::start_with(|settings| settings["limits"]["open_max_requests"] = 1.into());
    let address = world.callers(0);
    world.pace(100);
    let mut open = send(address, &post("/v1/completions", "", STREAM));
    read_until(&mut open, "t0");
    let refused = call(address, &post("/v1/completions", "", COLLECTED));
    assert_snapshot!(refused);
    assert!(tokens(&rest(open)).is_some());
    world.stop();
}

#[test]
fn operators_are_checked() {
    let world = World::start();
    let address = world.operators(0);
    let operator = |headers: &str, body: &str| call(address, &post("/operator", headers, body));
    let token = "Authorization: Bearer a-token-for-tests\r\n";
    let named = format!("{token}X-Operator: ayla\r\n");
    let answers = [
        operator("", "\"status\""),
        operator("Authorization: Bearer a-token-for-test\r\n", "\"status\""),
        operator("Authorization: Basic a-token-for-tests\r\n", "\"status\""),
        operator(token, "\"status\""),
        operator(&format!("{token}X-Operator: a b\r\n"), "\"status\""),
        operator(&named, "\"reboot\""),
        operator(&named, "{"),
        call(address, &post("/operators", &named, "\"status\"")),
    ];
    assert_snapshot!(answers.join("\n"));
    let reply = ask(address, &OperatorCommand::Status);
    let OperatorReply::Status(status) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(status.members.len(), 2, "{status:?}");
    world.stop();
}

#[test]
fn drained_domain_gets_no_new_work() {
    let world = World::start();
    let drain = Intent::DrainDomain("a".parse().unwrap());
    let reply = change(world.operators(1), &drain);
    assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    let refused = |index| {
        let answer = call(
            world.callers(index),
            &post(
                "/v1/completions",
                "X-Request-Timeout-Ms: 1500\r\n",
                COLLECTED,
            ),
        );
        match answer.starts_with("200") {
            true => Err(answer),
            false => Ok(answer),
        }
    };
    let refusals = [0, 1].map(|index| wait("a refusal", || refused(index)));
    let streams_count = || {
        let engines = [&world.upstream, &world.second];
        engines.map(|engine| engine.counts().streams_count)
    };
    let before = streams_count();
    for index in [0, 1] {
        assert!(refused(index).is_ok(), "it is served again");
    }
    assert_eq!(streams_count(), before);
    for refusal in refusals {
        assert!(refusal.starts_with("503"), "{refusal}");
        assert!(refusal.contains("\"outcome\":\"not_run\""), "{refusal}");
    }
    world.stop();
}

#[test]
fn drained_fleet_refuses_at_once() {
    let world = World::start();
    let drain = Intent::DrainDomain("a".parse().unwrap());
    change(world.operators(1), &drain);
    let refused = [0, 1].map(|index| {
        wait("a refusal", || {
            let sent = Instant::now();
            let answer = call(
                world.callers(index),
                &post("/v1/completions", "", COLLECTED),
            );
            match answer.starts_with("200") {
                true => Err(answer),
                false => Ok((sent.elapsed(), answer)),
            }
        })
    });
    for (took, answer) in refused {
        assert!(took < SLACK, "refused after {took:?}: {answer}");
    }
    world.stop();
}
