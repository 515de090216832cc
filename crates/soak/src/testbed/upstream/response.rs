//! Builds the responses of upstreams.

use crate::testbed::no_answer::NoAnswer;
use bytes::Bytes;
use http::{response::Builder, Response, StatusCode};
use http_body_util::{combinators::BoxBody, BodyExt, Full};

/// Body of a response.
pub(super) type Body = BoxBody<Bytes, NoAnswer>;

/// Builds a response from a head and a body.
pub(super) fn response_with_body(head: Builder, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    head.body(body.boxed())
        .unwrap_or_else(|_| empty_response(StatusCode::BAD_GATEWAY))
}

/// Builds a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}
