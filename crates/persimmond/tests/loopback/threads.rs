//! Daemons of two failure domains as threads, connected by QUIC.

use crate::cluster::{
    client::{call, complete_tokens, page, post, read_response, read_until, send_request, STREAM},
    daemons::{plan_and_confirm, send_command, ThreadCluster},
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

/// Tolerance for answers after a deadline on a busy machine.
const TOLERANCE: Duration = Duration::from_secs(1);

#[test]
fn daemon_of_another_failure_domain_gives_complete_answers() {
    let cluster = ThreadCluster::start();
    let answer = read_response(send_request(
        cluster.callers(1),
        &post("/v1/completions", "", STREAM),
    ));
    let expected: Vec<_> = (0..10).map(|n| format!("t{n}")).collect();
    assert_eq!(complete_tokens(&answer), Some(expected), "{answer}");
    let order = post(
        "/services/orders/cells/7",
        "Idempotency-Key: k1\r\n",
        "start",
    );
    let first = call(cluster.callers(1), &order);
    assert_snapshot!(first, @r#"200 OK {"path":"/cells/7","run":1}"#);
    assert_eq!(
        call(cluster.callers(0), &order),
        first,
        "the same key at another daemon"
    );
    assert_eq!(cluster.upstream.counts().runs_by_key["k1"], 1);
    cluster.stop();
}

#[test]
fn first_token_is_sent_while_the_engine_still_generates() {
    let cluster = ThreadCluster::start();
    cluster.set_token_interval(100);
    let mut reader = send_request(cluster.callers(1), &post("/v1/completions", "", STREAM));
    read_until(&mut reader, "t0");
    assert_eq!(
        cluster.requests_holding_memory_count(),
        1,
        "the answer had already ended"
    );
    assert!(complete_tokens(&read_response(reader)).is_some());
    cluster.stop();
}

#[test]
fn stream_of_a_failed_engine_resumes_without_lost_tokens() {
    let cluster = ThreadCluster::start();
    cluster.set_token_interval(50);
    let mut reader = send_request(cluster.callers(1), &post("/v1/completions", "", STREAM));
    read_until(&mut reader, "t3");
    for engine in [&cluster.upstream, &cluster.second_upstream] {
        if !engine.counts().requests_holding_memory.is_empty() {
            engine.break_streams();
        }
    }
    let answer = read_response(reader);
    let expected: Vec<_> = (4..10).map(|n| format!("t{n}")).collect();
    assert_eq!(complete_tokens(&answer), Some(expected), "{answer}");
    wait("free engine memory", || {
        match cluster.requests_holding_memory_count() {
            0 => Ok(()),
            count => Err(count.to_string()),
        }
    });
    cluster.stop();
}

#[test]
fn deadline_holds_while_engines_hang() {
    let cluster = ThreadCluster::start();
    let engines = [&cluster.upstream, &cluster.second_upstream];
    engines.iter().for_each(|engine| engine.set_hanging(true));
    let timeout = Duration::from_millis(1500);
    let header = format!("X-Request-Timeout-Ms: {}\r\n", timeout.as_millis());
    let calls = [STREAM, COLLECTED, STREAM, COLLECTED].map(|body| {
        let request = post("/v1/completions", &header, body);
        let address = cluster.callers(1);
        thread::spawn(move || {
            let sent = Instant::now();
            (
                read_response(send_request(address, &request)),
                sent.elapsed(),
            )
        })
    });
    for call in calls {
        let (answer, took) = call.join().unwrap();
        assert!(answer.contains("\"deadline_exceeded\""), "{answer}");
        assert!(took < timeout + TOLERANCE, "refused after {took:?}");
    }
    wait("the end of all requests", || {
        let page = page(cluster.callers(1), "/metrics");
        let is_idle = page.contains("\npersimmon_open_requests 0\n");
        let none_overdue = page.contains("\npersimmon_oldest_overdue_seconds 0\n");
        (is_idle && none_overdue).then_some(()).ok_or(page)
    });
    engines.iter().for_each(|engine| engine.set_hanging(false));
    cluster.stop();
}

#[test]
fn concurrent_requests_with_one_key_at_two_daemons_run_once() {
    let cluster = ThreadCluster::start();
    let keys_count = 20;
    for key in 0..keys_count {
        let header = format!("Idempotency-Key: k{key}\r\n");
        let order = post("/services/orders/cells/7", &header, "start");
        let calls = [0, 1, 0, 1].map(|index| {
            let (address, order) = (cluster.callers(index), order.clone());
            thread::spawn(move || call(address, &order))
        });
        let answers = calls.map(|call| call.join().unwrap());
        let first = &answers[0];
        assert!(first.starts_with("200"), "{first}");
        assert!(answers.iter().all(|answer| answer == first), "{answers:?}");
    }
    let runs = cluster.upstream.counts().runs_by_key;
    assert_eq!(runs.len(), keys_count);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    cluster.stop();
}

/// Sends a service request with the given headers: those of its idempotency key, or none.
fn send_order(cluster: &ThreadCluster, index: usize, headers: &str) -> String {
    let request = post("/services/orders/cells/7", headers, "start");
    call(cluster.callers(index), &request)
}

/// Requests a ticket from the first daemon. Returns headers with the ticket as idempotency key, and
/// the key.
fn request_ticket(cluster: &ThreadCluster) -> (String, String) {
    let answer = call(cluster.callers(0), &post("/tickets", "", ""));
    let answer = answer.strip_prefix("200 OK ").expect(&answer);
    let answer: serde_json::Value = serde_json::from_str(answer).unwrap();
    let key = answer["key"].as_str().unwrap().to_owned();
    let headers = format!("Idempotency-Key: {key}\r\nX-Request-Timeout-Ms: 1500\r\n");
    (headers, key)
}

#[test]
fn unavailable_store_fails_only_requests_that_need_it() {
    let cluster = ThreadCluster::start();
    cluster.platform.set_down(true);
    let answer = read_response(send_request(
        cluster.callers(1),
        &post("/v1/completions", "", STREAM),
    ));
    assert!(complete_tokens(&answer).is_some(), "{answer}");
    assert_snapshot!(send_order(&cluster, 0, "Idempotency-Key: own\r\n"));
    assert!(send_order(&cluster, 0, "").starts_with("200"));
    let (headers, key) = request_ticket(&cluster);
    let answer = send_order(&cluster, 1, &headers);
    assert!(answer.starts_with("200"), "{answer}");
    let runs = cluster.upstream.counts().runs_by_key;
    assert_eq!((runs.get("own"), runs.get(&key)), (None, Some(&1)));
    cluster.platform.set_down(false);
    wait("a claimed key", || {
        let answer = send_order(&cluster, 1, "Idempotency-Key: own\r\n");
        match answer.starts_with("200") {
            true => Ok(()),
            false => Err(answer),
        }
    });
    cluster.stop();
}

#[test]
fn duplicate_of_an_executed_ticket_is_not_answered_not_run() {
    let cluster = ThreadCluster::start();
    cluster.platform.set_down(true);
    let (headers, key) = request_ticket(&cluster);
    let first = send_order(&cluster, 1, &headers);
    assert!(first.starts_with("200"), "{first}");
    let duplicates = [0, 1].map(|index| send_order(&cluster, index, &headers));
    assert_eq!(cluster.upstream.counts().runs_by_key.get(&key), Some(&1));
    for duplicate in duplicates {
        assert!(!duplicate.contains("\"not_run\""), "{duplicate}");
    }
    cluster.stop();
}

#[test]
fn invalid_requests_are_refused_with_a_remedy() {
    let cluster = ThreadCluster::start();
    let at = |text: &str| call(cluster.callers(0), text);
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
    assert_snapshot!(page(cluster.callers(0), "/healthz"), @"200 OK ok");
    cluster.stop();
}

#[test]
fn misbehaving_connections_do_not_affect_other_callers() {
    let cluster = ThreadCluster::start_with_settings(|settings| {
        settings["limits"]["io_time_ms"] = 2000.into()
    });
    let address = cluster.callers(0);
    // The body must be large: smaller ones are read before the daemon sees the request.
    let large = post(
        "/v1/completions",
        "",
        &format!("{COLLECTED}{}", " ".repeat(2000)),
    );
    let part = &large[..large.len() - 5];
    drop(send_request(address, part));
    drop(send_request(address, "GET /healthz HT"));
    let garbage = call(address, "\u{0}\u{1}\u{2}\r\n\r\n");
    let mut slow = send_request(address, part);
    for byte in [b' '; 2] {
        thread::sleep(Duration::from_millis(400));
        // Writing fails if the daemon has closed the connection.
        let _ = slow.get_mut().write_all(&[byte]);
    }
    let slow = read_response(slow);
    let slow = slow.lines().last().unwrap_or_default();
    let other = call(address, &post("/v1/completions", "", COLLECTED));
    assert!(other.starts_with("200"), "{other}");
    assert_snapshot!([garbage, slow.to_owned()].join("\n"));
    cluster.stop();
}

#[test]
fn requests_over_the_limit_are_refused_at_once() {
    let cluster = ThreadCluster::start_with_settings(|settings| {
        settings["limits"]["open_max_requests"] = 1.into()
    });
    let address = cluster.callers(0);
    cluster.set_token_interval(100);
    let mut open = send_request(address, &post("/v1/completions", "", STREAM));
    read_until(&mut open, "t0");
    let refused = call(address, &post("/v1/completions", "", COLLECTED));
    assert_snapshot!(refused);
    assert!(complete_tokens(&read_response(open)).is_some());
    cluster.stop();
}

#[test]
fn operator_requests_are_validated() {
    let cluster = ThreadCluster::start();
    let address = cluster.operators(0);
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
    let reply = send_command(address, &OperatorCommand::Status);
    let OperatorReply::Status(status) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(status.members.len(), 2, "{status:?}");
    cluster.stop();
}

#[test]
fn drained_domain_receives_no_new_requests() {
    let cluster = ThreadCluster::start();
    let drain = Intent::DrainDomain("a".parse().unwrap());
    let reply = plan_and_confirm(cluster.operators(1), &drain);
    assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    let refused = |index| {
        let answer = call(
            cluster.callers(index),
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
        let engines = [&cluster.upstream, &cluster.second_upstream];
        engines.map(|engine| engine.counts().streams_count)
    };
    let before = streams_count();
    for index in [0, 1] {
        assert!(
            refused(index).is_ok(),
            "the drained domain serves requests again"
        );
    }
    assert_eq!(streams_count(), before);
    for refusal in refusals {
        assert!(refusal.starts_with("503"), "{refusal}");
        assert!(refusal.contains("\"outcome\":\"not_run\""), "{refusal}");
    }
    cluster.stop();
}

#[test]
fn drained_fleet_refuses_at_once() {
    let cluster = ThreadCluster::start();
    let drain = Intent::DrainDomain("a".parse().unwrap());
    plan_and_confirm(cluster.operators(1), &drain);
    let refused = [0, 1].map(|index| {
        wait("a refusal", || {
            let sent = Instant::now();
            let answer = call(
                cluster.callers(index),
                &post("/v1/completions", "", COLLECTED),
            );
            match answer.starts_with("200") {
                true => Err(answer),
                false => Ok((sent.elapsed(), answer)),
            }
        })
    });
    for (took, answer) in refused {
        assert!(took < TOLERANCE, "refused after {took:?}: {answer}");
    }
    cluster.stop();
}
