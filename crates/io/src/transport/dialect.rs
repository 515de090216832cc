//! The headers that callers and upstreams use, behind a trait.

use bytes::Bytes;
use http::{request, response, HeaderMap, HeaderValue, Request, StatusCode};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{Culprit, PromptSize, Refusal, ReserveOrder, SendPlan, StatedRequest},
    ids::Fingerprint,
    prefix::PromptPrefix,
    units::{Millis, RequestsPerSecond, UnitError},
};
use std::{fmt, sync::Arc};
use thiserror::Error;

/// The fields of a caller's request head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id of the request.
    pub request_id: Arc<str>,
    /// The host that the request names.
    pub host: String,
    /// The caller's API key.
    pub key: Option<ApiKey>,
    /// Time within which the caller expects the response.
    pub deadline_ms: Option<Millis>,
    /// Prompt and output sizes of a model request.
    pub prompt: Option<PromptSize>,
    /// The parts of the prompt that other requests may share, in order.
    pub fingerprints: Vec<Fingerprint>,
    /// The leading parts of the prompt with their tokens.
    pub prefix: PromptPrefix,
    /// What the head says of the prompt.
    pub prompt_fingerprint: Fingerprint,
}

/// Why a request head is rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RequestHeadError {
    /// A required header is missing.
    #[error("the request has no {0} header: send one")]
    Missing(&'static str),
    /// A header can't be parsed or occurs more than once.
    #[error("the request's {0} header makes no sense: see the interface's page")]
    Malformed(&'static str),
}

/// The request that a response names as its own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedRequest {
    /// None.
    #[default]
    None,
    /// The one with this id.
    One(String),
    /// Several, or one whose id can't be read.
    Unclear,
}

impl NamedRequest {
    /// The request that a header names, which may occur once and has text.
    pub fn of(headers: &HeaderMap, name: &str) -> Self {
        let mut values = headers.get_all(name).iter();
        match (values.next().map(HeaderValue::to_str), values.next()) {
            (None, _) => Self::None,
            (Some(Ok(request_id)), None) => Self::One(request_id.to_owned()),
            _ => Self::Unclear,
        }
    }

    /// How it relates to the request that was sent.
    pub(super) fn stated(&self, request_id: &str) -> StatedRequest {
        match self {
            Self::None => StatedRequest::Unstated,
            Self::One(named) if named == request_id => StatedRequest::Own,
            Self::One(_) | Self::Unclear => StatedRequest::Other,
        }
    }
}

/// The fields of an upstream's response head.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The request that the response belongs to, as it states.
    pub request: NamedRequest,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether a different upstream now has this address.
    pub wrong_upstream: bool,
    /// The upstream that the response names as the cause of the failure.
    pub culprit: Option<Culprit>,
    /// Whether the upstream that answers states that it is about to stop.
    pub is_leaving: bool,
    /// Time for which the upstream wants no more requests from this daemon.
    pub retry_after_ms: Option<Millis>,
    /// Requests a second that the upstream takes from all daemons together, or why the value that the
    /// response states is no rate. None if it states no limit.
    pub rate_limit: Option<Result<RequestsPerSecond, UnitError>>,
    /// Whether the body has a content encoding, so that it is not as the upstream's handler wrote
    /// it.
    pub encoded: bool,
}

impl ResponseHead {
    /// The rate limit that the response states. A value that is no rate is logged and ignored.
    pub(super) fn stated_rate_limit(&self) -> Option<RequestsPerSecond> {
        let stated = self.rate_limit.as_ref()?;
        match stated {
            Ok(per_s) => Some(*per_s),
            Err(error) => {
                log::debug!("rate limit of an upstream ignored: {error}");
                None
            }
        }
    }
}

/// What the upstream is sent in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The plan of this transmission.
    pub plan: &'a SendPlan,
    /// Time left for the response.
    pub deadline_ms: Millis,
    /// Id of the last event that the caller received, when a stream is resumed at another upstream.
    pub last_event_id: Option<&'a str>,
}

/// The headers that callers and upstreams use.
pub trait Dialect: fmt::Debug {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the header that is missing, malformed or repeated.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Returns the headers of the request to the upstream.
    fn upstream_headers(&self, head: &request::Parts, context: &ForwardContext<'_>) -> HeaderMap;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the request that gives an engine a reservation order.
    fn order_request(&self, order: &ReserveOrder) -> Request<Bytes>;

    /// Returns status and headers of a response that refuses a request.
    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);
}

/// Hop-by-hop headers, which are valid for one connection only.
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

/// Removes the hop-by-hop headers, including those that `Connection` names.
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
