//! Classification of responses by content: complete, wrong, cut off, refused and lost.

use persimmon_core::{
    ids::ModelVersion,
    request::{Outcome, RefusalCode},
    units::{Millis, Tokens},
};
use persimmon_load::{
    caller::{CallResult, Caller, CallerSettings, LoadBalancer},
    workload::{Arrival, PromptGenerator, RequestKind},
};
use persimmon_standin::{
    engine::TokenSource,
    http::{respond_status, Listener},
};
use serde_json::{json, Value};
use std::{io::Write, net::SocketAddr};
use tiny_http::Request;

const OUTPUT_TOKENS: u64 = 3;

fn model() -> ModelVersion {
    "advisor@1".parse().unwrap()
}

fn arrival(kind: RequestKind) -> Arrival {
    Arrival {
        number_index: 5,
        at_us: 0,
        workspace: "line-1".parse().unwrap(),
        kind,
    }
}

fn model_request() -> Arrival {
    arrival(RequestKind::Model {
        prompt_tokens: Tokens::new(20),
        output_tokens: Tokens::new(OUTPUT_TOKENS),
        shares_prefix: false,
    })
}

/// The result of a call to a daemon that responds with `serve`.
fn call_result(arrival: &Arrival, serve: impl Fn(Request) + Send + Sync + 'static) -> CallResult {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let daemon = Listener::start(free_port, move |request| match request.url() {
        "/readyz" => respond_status(request, 200, &json!({})),
        _ => serve(request),
    });
    let daemon = daemon.unwrap();
    let settings = CallerSettings {
        model: model(),
        timeout_ms: Millis::from_secs(2),
        rng_seed: 1,
    };
    let caller = Caller {
        settings: &settings,
        balancer: &LoadBalancer::start(vec![daemon.address()]),
        prompt_generator: &PromptGenerator::new(1, Tokens::ZERO),
    };
    caller.call(arrival).1
}

/// Responds with the first `count` expected tokens, then with `last`.
fn respond_stream(mut request: Request, count: u64, last: &str) {
    let mut body = String::new();
    request.as_reader().read_to_string(&mut body).unwrap();
    let body: Value = serde_json::from_str(&body).unwrap();
    let source = TokenSource::new(&model(), body["prompt"].as_str().unwrap());
    let mut text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned();
    for offset in 0..count {
        let space = if offset > 0 { " " } else { "" };
        let chunk = json!({"choices": [{"text": format!("{space}{}", source.token(offset))}]});
        text.push_str(&format!("data: {chunk}\n\n"));
    }
    text.push_str(last);
    request.into_writer().write_all(text.as_bytes()).unwrap();
}

const ERROR_EVENT: &str = "event: error\ndata: {\"error\": {\"code\": \"upstream_failed\", \
                     \"message\": \"gone\", \"outcome\": \"unknown\"}}\n\n";

#[test]
fn complete_responses_are_recognised_by_content() {
    let done = "data: [DONE]\n\n";
    let whole = call_result(&model_request(), move |r| {
        respond_stream(r, OUTPUT_TOKENS, done)
    });
    assert_eq!(whole, CallResult::Whole);
    let short = call_result(&model_request(), move |r| {
        respond_stream(r, OUTPUT_TOKENS - 1, done)
    });
    assert_eq!(short, CallResult::Wrong("2 tokens".into()));
    let unexpected = "data: {\"choices\": [{\"text\": \" tffffffff\"}]}\n\n";
    let wrong = call_result(&model_request(), move |r| respond_stream(r, 1, unexpected));
    assert_eq!(wrong, CallResult::Wrong("token 1".into()));
}

#[test]
fn refusals_are_distinguished_from_cut_off_streams() {
    let refused = call_result(&model_request(), |request| {
        let refusal = json!({"error": {"code": "no_capacity", "message": "later",
            "outcome": "not_run"}});
        respond_status(request, 503, &refusal);
    });
    assert_eq!(
        refused,
        CallResult::Refused(RefusalCode::NoCapacity, Outcome::NotRun)
    );
    let early = call_result(&model_request(), |r| respond_stream(r, 0, ERROR_EVENT));
    let code = RefusalCode::UpstreamFailed;
    assert_eq!(early, CallResult::Refused(code, Outcome::Unknown));
    let late = call_result(&model_request(), |r| respond_stream(r, 1, ERROR_EVENT));
    assert_eq!(late, CallResult::CutOff(code, Outcome::Unknown));
}

#[test]
fn responses_without_end_marker_or_refusal_are_lost() {
    let broken = call_result(&model_request(), |r| respond_stream(r, OUTPUT_TOKENS, ""));
    assert!(matches!(broken, CallResult::Lost(_)), "{broken:?}");
    let bare = call_result(&model_request(), |r| respond_status(r, 500, &json!({})));
    assert!(matches!(bare, CallResult::Lost(_)), "{bare:?}");
}

#[test]
fn a_service_call_that_ran_twice_is_wrong() {
    let call = arrival(RequestKind::Service("orders".parse().unwrap()));
    let answer = |run: u64| {
        call_result(&call, move |request| {
            let key = persimmon_standin::http::header(&request, "Idempotency-Key");
            let body = json!({"key": key.unwrap(), "run": run});
            respond_status(request, 200, &body);
        })
    };
    assert_eq!(answer(1), CallResult::Whole);
    assert!(matches!(answer(2), CallResult::Wrong(_)));
}
