//! The upstream and platform clients against servers that answer fixed bytes, break off or refuse.

use insta::assert_snapshot;
use persimmon_core::{
    ids::{AttemptId, AttemptNumber, RequestId},
    platform::{ObjectOp, TableOp},
    request::{AttemptPlan, Priority, UpstreamError},
    units::{Millis, Tokens},
};
use persimmon_io::{
    platform::{HttpPlatform, PlatformClient},
    upstream::{HttpUpstream, ServiceCall, StreamCall, UpstreamClient},
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

const JSON: &str = "Content-Type: application/json\r\nContent-Length: 9999\r\n\r\n";

/// Serves one connection with `answer`, then closes it.
fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        let mut step = [0; 1024];
        // All requests of these tests end with the same word.
        while !request.ends_with(b"word\"}") && !request.ends_with(b"\r\n\r\n") {
            let length = stream.read(&mut step).unwrap();
            request.extend_from_slice(&step[..length]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// An address that refuses connections.
fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn whole(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn plan(address: SocketAddr) -> AttemptPlan {
    AttemptPlan {
        attempt: AttemptId {
            request: RequestId::new(7),
            number: AttemptNumber::new(0),
        },
        upstream: "u-1".parse().unwrap(),
        address,
        model: None,
        fencing: None,
        offset_tokens: Tokens::ZERO,
        resume: false,
        priority: Priority(0),
        remaining_ms: Millis::from_secs(20),
    }
}

fn call_service(address: SocketAddr) -> String {
    let call = ServiceCall {
        plan: plan(address),
        method: "POST".into(),
        path: "/run".into(),
        content_type: None,
        key: None,
        body: "{\"x\": \"word\"}".into(),
    };
    match HttpUpstream.call_service(&call) {
        Ok(result) => format!("{} {:?}", result.status, result.body),
        Err(error) => format!("{error:?} not_run={}", error.proves_not_run()),
    }
}

fn stream(body: &str) -> String {
    let call = StreamCall {
        plan: plan(serve(format!("HTTP/1.1 200 OK\r\n\r\n{body}"))),
        adapter: Some("word".parse().unwrap()),
        prompt: "p".into(),
        max_output_tokens: Tokens::new(2),
    };
    let mut stream = HttpUpstream.open_stream(&call).expect("opens");
    let mut items = Vec::new();
    loop {
        let item = stream.next_item();
        items.push(format!("{item:?}"));
        if item.is_err() || items.len() > 5 {
            return items.join("\n");
        }
    }
}

#[test]
fn only_an_explicit_not_run_proves_it() {
    let not_run = r#"{"error": {"reason": "overloaded", "outcome": "not_run"}}"#;
    let starting = r#"{"error": {"reason": "starting", "outcome": "not_run"}}"#;
    let unknown = r#"{"error": {"reason": "overloaded", "outcome": "unknown"}}"#;
    let fenced = r#"{"error": {"reason": "fenced", "outcome": "not_run"}}"#;
    let answers = [
        whole(200, "ok"),
        whole(404, "none"),
        whole(302, "elsewhere"),
        whole(500, "oops"),
        whole(503, "busy"),
        whole(503, not_run),
        whole(503, starting),
        whole(503, unknown),
        whole(409, fenced),
        String::new(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab".into(),
        format!("HTTP/1.1 503 X\r\n{JSON}{}", &not_run[..30]),
    ];
    let mut seen: Vec<_> = answers.map(|answer| call_service(serve(answer))).into();
    seen.push(call_service(refusing()));
    assert_snapshot!(seen.join("\n"));
}

#[test]
fn redirects_are_not_followed() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    target.set_nonblocking(true).unwrap();
    let location = target.local_addr().unwrap();
    let answer =
        format!("HTTP/1.1 307 X\r\nLocation: http://{location}/\r\nContent-Length: 0\r\n\r\n");
    assert_snapshot!(call_service(serve(answer)), @r#"307 b"""#);
    assert!(target.accept().is_err(), "the call was sent again");
}

#[test]
fn streams_end_with_the_marker_or_an_error() {
    let token = "id: 0\ndata: {\"token\": \"t0\", \"offset\": 0}\n\n";
    let done = "data: {\"done\": true, \"output_tokens\": 1}\n\n";
    let streams = [
        format!("{token}{done}"),
        token.to_owned(),
        format!("{token}data: {{\"tok"),
        "data: {\"token\": 1}\n\n".into(),
    ];
    assert_snapshot!(streams.map(|body| stream(&body)).join("\n--\n"));
}

#[test]
fn platform_tells_lost_answers_from_calls_that_did_nothing() {
    let read = TableOp::Get { key: "word".into() };
    let write = ObjectOp::Put {
        key: "k".into(),
        value: bytes::Bytes::new(),
    };
    let answers = [
        whole(200, "\"done\""),
        whole(200, "nonsense"),
        whole(503, ""),
        whole(400, ""),
        String::new(),
    ];
    let mut seen = Vec::new();
    let mut ask = |address| {
        let platform = HttpPlatform::new(address);
        seen.push(format!("{:?}", platform.object(&write)));
    };
    answers.into_iter().map(serve_any).for_each(&mut ask);
    ask(refusing());
    let lost_read = HttpPlatform::new(serve_any(String::new())).table(&read);
    seen.push(format!("read: {lost_read:?}"));
    assert_snapshot!(seen.join("\n"));
}

/// Serves one connection whatever its request is.
fn serve_any(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let mut length = 0;
        while !request[..length].ends_with(b"}") {
            length += stream.read(&mut request[length..]).unwrap();
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

#[test]
fn load_and_cache_errors_are_typed() {
    let refused = HttpUpstream.load(refusing());
    assert_eq!(refused, Err(UpstreamError::Refused));
    let nonsense = HttpUpstream.cache(serve(whole(200, "{}")), Some(3));
    assert!(
        matches!(nonsense, Err(UpstreamError::Malformed { .. })),
        "{nonsense:?}"
    );
}
