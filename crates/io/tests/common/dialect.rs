//! Header conventions of tests.

use bytes::Bytes;
use http::{request, response, HeaderMap, HeaderValue, Request, StatusCode};
use persimmon_core::{
    dispatch::{Refusal, ReserveOrder},
    ids::Fingerprint,
    units::Millis,
};
use persimmon_io::transport::{
    Dialect, ForwardContext, NamedRequest, RequestHead, RequestHeadError, ResponseHead,
};

#[derive(Debug)]
pub(crate) struct TestDialect;

impl Dialect for TestDialect {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError> {
        let request_id = head
            .headers
            .get("x-id")
            .ok_or(RequestHeadError::Missing("x-id"))?;
        Ok(RequestHead {
            request_id: request_id.to_str().unwrap().into(),
            host: "cells.example".into(),
            key: None,
            deadline_ms: Some(Millis::new(5_000)),
            prompt: None,
            fingerprints: Vec::new(),
            prefix: Default::default(),
            prompt_fingerprint: Fingerprint::default(),
        })
    }

    fn upstream_headers(&self, _: &request::Parts, context: &ForwardContext<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(last) = context.last_event_id {
            headers.insert("x-last", HeaderValue::from_str(last).unwrap());
        }
        headers
    }

    fn parse_response(&self, head: &response::Parts) -> ResponseHead {
        ResponseHead {
            request: NamedRequest::of(&head.headers, "x-id"),
            signed: head.headers.contains_key("x-signed"),
            not_run: head.headers.contains_key("x-not-run"),
            wrong_upstream: head.status == StatusCode::MISDIRECTED_REQUEST,
            is_leaving: head.headers.contains_key("x-leaving"),
            retry_after_ms: head
                .headers
                .get("x-after")
                .map(|after_ms| Millis::new(after_ms.to_str().unwrap().parse().unwrap())),
            rate_limit: head
                .headers
                .get("x-limit")
                .map(|per_s| per_s.to_str().unwrap().parse()),
            ..ResponseHead::default()
        }
    }

    fn order_request(&self, _: &ReserveOrder) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap) {
        let status = if refusal.may_have_run { 502 } else { 503 };
        (StatusCode::from_u16(status).unwrap(), HeaderMap::new())
    }
}
