//! The HTTP implementation of the client for upstreams.
use super::{
    answer_error, transport_error, ServiceCall, SseReader, StreamCall, TokenStream, UpstreamClient,
};
use crate::http_client_util;
use minreq::{Method, Request, Response};
use persimmon_core::{
    ids::FencingNumber,
    request::{AttemptPlan, StoredResult, UpstreamError},
    units::{Millis, Tokens},
    upstream::{CacheBatch, LoadReport, Order, OrderKind},
};
use serde::{de::DeserializeOwned, Serialize};
use std::{io::Read, net::SocketAddr};

/// Timeout of a request for an upstream's state and of a short order, in seconds.
const CONTROL_TIMEOUT_S: u64 = 2;

/// Timeout of an order that takes long to carry out, in seconds.
const LONG_ORDER_TIMEOUT_S: u64 = 300;

/// Largest part of an error body that is read, in bytes.
const ERROR_MAX_BYTES: u64 = 64 * 1024;

/// Calls upstreams over HTTP with `minreq`. Redirects are never followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpUpstream;

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: Tokens,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: FencingNumber,
    kind: &'a OrderKind,
}

impl UpstreamClient for HttpUpstream {
    fn open_stream(&self, call: &StreamCall) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let request = stream_request(call)?;
        let mut answer = request
            .send_lazy()
            .map_err(|error| transport_error(&error))?;
        if http_client_util::is_no_answer(answer.status_code, &answer.reason_phrase) {
            return Err(UpstreamError::Broken);
        }
        if answer.status_code != 200 {
            let mut body = Vec::new();
            let status = answer.status_code;
            // A read error is no proof that the call did not run; the part that was read decides.
            let _ = (&mut answer).take(ERROR_MAX_BYTES).read_to_end(&mut body);
            return Err(answer_error(status, &body));
        }
        Ok(Box::new(SseReader::new(answer)))
    }

    fn call_service(&self, call: &ServiceCall) -> Result<StoredResult, UpstreamError> {
        let method = http_client_util::method(&call.method);
        let mut request = request(method, call.plan.address, &call.path)
            .with_body(call.body.to_vec())
            .with_timeout(timeout_s(call.plan.remaining_ms));
        request = with_attempt(request, &call.plan);
        if let Some(content_type) = &call.content_type {
            request = request.with_header("Content-Type", content_type);
        }
        if let Some(key) = &call.key {
            request = request.with_header("Idempotency-Key", key.as_str());
        }
        let answer = if call.method == "HEAD" {
            send_unchecked(request)?
        } else {
            send(request)?
        };
        let is_error = answer.status_code >= 400;
        if is_error {
            let error = answer_error(answer.status_code, answer.as_bytes());
            if error.proves_not_run() || answer.status_code >= 500 {
                return Err(error);
            }
        }
        Ok(StoredResult {
            status: answer.status_code,
            content_type: answer.header("content-type").unwrap_or_default().into(),
            body: answer.into_bytes().into(),
        })
    }

    fn order(&self, order: &Order) -> Result<(), UpstreamError> {
        let body = OrderBody {
            fencing: order.fencing,
            kind: &order.kind,
        };
        let timeout_s = match order.kind.is_long() {
            true => LONG_ORDER_TIMEOUT_S,
            false => CONTROL_TIMEOUT_S,
        };
        let request = request(Method::Post, order.address, "/control/orders")
            .with_header("Content-Type", "application/json")
            .with_header("X-Fencing", order.fencing.to_string())
            .with_body(json(&body)?)
            .with_timeout(timeout_s);
        check_ok(send(request)?).map(drop)
    }

    fn load(&self, address: SocketAddr) -> Result<LoadReport, UpstreamError> {
        get(address, "/control/load")
    }

    fn cache(
        &self,
        address: SocketAddr,
        from_seq_index: Option<u64>,
    ) -> Result<CacheBatch, UpstreamError> {
        match from_seq_index {
            Some(from) => get(address, &format!("/control/cache?from={from}")),
            None => get(address, "/control/cache"),
        }
    }
}

fn stream_request(call: &StreamCall) -> Result<Request, UpstreamError> {
    let body = CompletionBody {
        model: call.plan.model.as_ref().map_or("", |model| model.as_str()),
        prompt: &call.prompt,
        max_tokens: call.max_output_tokens,
        stream: true,
        adapter: call.adapter.as_ref().map(|adapter| adapter.as_str()),
    };
    let plan = &call.plan;
    let mut request = request(Method::Post, plan.address, "/v1/completions")
        .with_header("Content-Type", "application/json")
        .with_header("X-Offset", plan.offset_tokens.to_string())
        .with_header("X-Priority", plan.priority.0.to_string())
        .with_body(json(&body)?)
        .with_timeout(timeout_s(plan.remaining_ms));
    if plan.resume {
        request = request.with_header("X-Resume", "1");
    }
    Ok(with_attempt(request, plan))
}

fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    Request::new(method, format!("http://{address}{path}")).with_follow_redirects(false)
}

fn with_attempt(request: Request, plan: &AttemptPlan) -> Request {
    let request = request
        .with_header("X-Request-Id", plan.attempt.request.to_string())
        .with_header("X-Attempt", plan.attempt.number.to_string());
    match plan.fencing {
        Some(fencing) => request.with_header("X-Fencing", fencing.to_string()),
        None => request,
    }
}

/// Rounds up, because `minreq` takes whole seconds. The timer of the traffic thread enforces the
/// exact deadline.
fn timeout_s(remaining: Millis) -> u64 {
    remaining.get().div_ceil(1000) + 1
}

fn send(request: Request) -> Result<Response, UpstreamError> {
    let answer = send_unchecked(request)?;
    if http_client_util::is_truncated(&answer) {
        return Err(UpstreamError::Broken);
    }
    Ok(answer)
}

/// Sends a request without checking the response body, for responses that have none.
fn send_unchecked(request: Request) -> Result<Response, UpstreamError> {
    let answer = request.send().map_err(|error| transport_error(&error))?;
    if http_client_util::is_no_answer(answer.status_code, &answer.reason_phrase) {
        return Err(UpstreamError::Broken);
    }
    Ok(answer)
}

fn check_ok(answer: Response) -> Result<Response, UpstreamError> {
    match answer.status_code {
        200..=299 => Ok(answer),
        status => Err(answer_error(status, answer.as_bytes())),
    }
}

fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, UpstreamError> {
    let request = request(Method::Get, address, path).with_timeout(CONTROL_TIMEOUT_S);
    let answer = check_ok(send(request)?)?;
    serde_json::from_slice(answer.as_bytes()).map_err(|error| malformed(&error))
}

fn json<T: Serialize>(body: &T) -> Result<Vec<u8>, UpstreamError> {
    serde_json::to_vec(body).map_err(|error| malformed(&error))
}

fn malformed(error: &serde_json::Error) -> UpstreamError {
    UpstreamError::Malformed {
        reason: error.to_string(),
    }
}
