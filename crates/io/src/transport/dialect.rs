//! The border to the headers that callers and upstreams use.

use bytes::Bytes;
use http::{request, response, HeaderMap, Request, StatusCode};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{Culprit, PromptSize, Refusal, ReserveOrder, SendPlan},
    units::Millis,
};
use std::{fmt, sync::Arc};
use thiserror::Error;

/// What a caller's head says.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id of the request.
    pub request_id: Arc<str>,
    /// Host that it is for.
    pub host: String,
    /// The caller's key.
    pub key: Option<ApiKey>,
    /// How long the caller waits.
    pub deadline_ms: Option<Millis>,
    /// Sizes, where it is for a model.
    pub prompt: Option<PromptSize>,
}

/// Why a head can't be taken.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RequestHeadError {
    /// A header is missing.
    #[error("the request has no {0} header: send one")]
    Missing(&'static str),
    /// A header makes no sense, or comes twice.
    #[error("the request's {0} header makes no sense: see the interface's page")]
    Malformed(&'static str),
}

/// What an upstream's head says.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The request that it answers, where it says so.
    pub request_id: Option<String>,
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it has not run the request.
    pub not_run: bool,
    /// Whether another upstream has the address.
    pub wrong_upstream: bool,
    /// The upstream that it names as the one at fault.
    pub culprit: Option<Culprit>,
    /// Whether the body is not as the upstream's handler wrote it.
    pub encoded: bool,
}

/// What goes to the upstream beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The plan.
    pub plan: &'a SendPlan,
    /// Time left for the answer now.
    pub deadline_ms: Millis,
    /// The last event that the caller has, where another upstream goes on.
    pub last_event_id: Option<&'a str>,
}

/// The headers that callers and upstreams use.
pub trait Dialect: fmt::Debug {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// The head can't be taken.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Headers of the request to an upstream.
    fn upstream_headers(&self, head: &request::Parts, context: &ForwardContext<'_>) -> HeaderMap;

    /// Reads an upstream's head.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// The request that gives an engine an order.
    fn order_request(&self, order: &ReserveOrder) -> Request<Bytes>;

    /// Status and headers of a last word that is not an upstream's answer.
    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);
}

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that concern one connection only, those named by `Connection` included.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(http::header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}
