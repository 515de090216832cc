//! One transmission of a call to an upstream, and the forwarding of its response to the caller.

use super::{
    body_end::{confirm_whole, framing, stream_content},
    connection_limits::{ConnectionLimits, Traffic},
    event_stream::EventError,
    held_response::{self, HeldResponse},
    memory::Memory,
    pool::PooledConnection,
    reply::{CallerLeft, Reply},
    request_body::RequestBody,
    signals::Signals,
    silence::{wait_reporting_stalls, Patience},
    Dialect, EventStream, ForwardContext, OutgoingBody, Pool, PoolError, ResponseHead, Target,
};
use bytes::Bytes;
use http::{header, request, response, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::{body::Incoming, ext::ReasonPhrase};
use persimmon_core::{
    dispatch::{
        AnswerOrigin, AnswerVerdict, BodyContent, BodyEnd, BodyFraming, Doubt, ResponseClaims,
        SendOutcome, SendPlan, StatedRequest,
    },
    units::Millis,
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Longest idle time of a connection that carries a non-repeatable request. If the upstream closes
/// an idle connection while the request is sent, it is unknown whether the request ran.
const NON_REPEATABLE_IDLE_MAX_MS: Millis = Millis::new(400);

/// Longest non-streamed response, which is read completely before it is forwarded.
const RESPONSE_MAX_BYTES: usize = 1 << 20;

/// Longest body of a failed response, which is kept until the dispatcher decides whether to forward
/// it.
const FAILURE_MAX_BYTES: usize = 256 << 10;

/// Start of a status line.
const VERSION: &[u8] = b"HTTP/1.";

/// Media type of event streams.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// What a transmission needs: the request, its plan and the connections.
pub(super) struct Outgoing<'a> {
    pub(super) pool: &'a Pool,
    pub(super) dialect: &'a dyn Dialect,
    pub(super) memory: Option<&'a Arc<Memory>>,
    pub(super) head: &'a request::Parts,
    pub(super) body: &'a RequestBody,
    pub(super) request_id: &'a str,
    pub(super) plan: &'a SendPlan,
    pub(super) sent_at: Instant,
}

/// How a transmission ended, from the view of the call's task.
pub(super) enum Outcome {
    /// The transmission ended.
    Ended(SendOutcome),
    /// It ended with a failed response, which can be forwarded.
    Failure(SendOutcome, Box<Response<Bytes>>),
    /// The caller disconnected.
    CallerLeft,
}

impl From<CallerLeft> for Outcome {
    fn from(_: CallerLeft) -> Self {
        Self::CallerLeft
    }
}

impl From<SendOutcome> for Outcome {
    fn from(end: SendOutcome) -> Self {
        Self::Ended(end)
    }
}

impl From<EventError> for Outcome {
    fn from(error: EventError) -> Self {
        lost(error.to_string()).into()
    }
}

impl From<PoolError> for Outcome {
    fn from(error: PoolError) -> Self {
        Self::Ended(match error {
            PoolError::NotSent {
                reason,
                timed_out,
                attempts,
                ..
            } => SendOutcome::NotSent {
                reason,
                timed_out,
                attempts,
            },
            PoolError::Exhausted { .. } => SendOutcome::Busy,
            PoolError::Lost { reason, .. } => lost(reason),
        })
    }
}

/// Sends a request and forwards its response.
pub(super) async fn run(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    events: &mut EventStream,
    signals: Signals<'_>,
) -> Outcome {
    match exchange(out, reply, events, signals).await {
        Ok(()) => Outcome::Ended(SendOutcome::Delivered),
        Err(outcome) => outcome,
    }
}

async fn exchange(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    events: &mut EventStream,
    signals: Signals<'_>,
) -> Result<(), Outcome> {
    let first_byte_timeout = out.plan.first_byte_timeout_ms.duration();
    let (response, connection) = send_request(out, reply, events, signals).await?;
    let (head, body) = response.into_parts();
    let parsed = out.dialect.parse_response(&head);
    report_notices(&parsed, signals);
    let claims = claims(out, &connection, &head, &parsed);
    let not_run = match AnswerVerdict::of(&claims) {
        AnswerVerdict::Answer => false,
        AnswerVerdict::Refusal => true,
        AnswerVerdict::Unproven(doubt) => return Err(unproven(&claims, doubt, &parsed).into()),
    };
    report_lifted_limit(out, &claims, &parsed, signals);
    if !head.status.is_success() {
        let limit = time_left(out, first_byte_timeout);
        let body = Opaque::new(&head, body, FAILURE_MAX_BYTES);
        let body = read_body(out, reply, body, limit, signals).await?;
        release(out, connection, &head, &claims);
        let end = SendOutcome::Failed {
            status: claims.status,
            not_run,
            wrong_upstream: not_run && parsed.wrong_upstream,
            culprit: parsed.culprit,
            retry_after_ms: parsed.retry_after_ms,
            origin: claims.origin,
        };
        let failure = Response::from_parts(end_to_end(&head), body);
        return Err(Outcome::Failure(end, Box::new(failure)));
    }
    if out.plan.streaming {
        forward_stream(out, reply, events, signals, &head, body).await?;
    } else {
        let limit = out.plan.deadline_ms.duration();
        let body = Opaque::new(&head, body, RESPONSE_MAX_BYTES);
        let body = read_body(out, reply, body, limit, signals).await?;
        (signals.on_first)();
        reply.full(end_to_end(&head), body)?;
    }
    release(out, connection, &head, &claims);
    Ok(())
}

/// What a response says, and what it is judged by.
fn claims(
    out: &Outgoing<'_>,
    connection: &PooledConnection,
    head: &response::Parts,
    parsed: &ResponseHead,
) -> ResponseClaims {
    ResponseClaims {
        status: head.status.as_u16(),
        origin: AnswerOrigin {
            connection: connection.used,
            stated: parsed.request.stated(out.request_id),
        },
        is_signed: parsed.signed,
        says_not_run: parsed.not_run,
        is_encoded: parsed.encoded,
        is_joined: holds_status_line(head),
    }
}

/// Whether a field or the reason of a response holds a status line: bytes that end within a head came before it.
fn holds_status_line(head: &response::Parts) -> bool {
    let holds = |text: &[u8]| text.windows(VERSION.len()).any(|window| window == VERSION);
    let reason = head.extensions.get::<ReasonPhrase>();
    reason.is_some_and(|reason| holds(reason.as_bytes()))
        || head.headers.values().any(|value| holds(value.as_bytes()))
}

/// The end of a transmission whose response proves nothing. A backoff is kept if a sound upstream may have asked for
/// it.
fn unproven(claims: &ResponseClaims, doubt: Doubt, parsed: &ResponseHead) -> SendOutcome {
    SendOutcome::Unproven {
        status: claims.status,
        doubt,
        origin: claims.origin,
        retry_after_ms: parsed.retry_after_ms.filter(|_| !doubt.shows_fault()),
    }
}

/// Keeps a connection for the next request, if its response named the request. A refusal that names none would be
/// followed by others that prove nothing.
fn release(
    out: &Outgoing<'_>,
    connection: PooledConnection,
    head: &response::Parts,
    claims: &ResponseClaims,
) {
    if claims.origin.stated == StatedRequest::Own {
        out.pool.release(connection, head);
    }
}

/// Sends the request and waits for the head of its response.
async fn send_request(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    events: &EventStream,
    signals: Signals<'_>,
) -> Result<(Response<Incoming>, PooledConnection), Outcome> {
    let patience = Patience::first_byte(out.plan);
    let target = target(out);
    let sent = out.pool.send(
        &target,
        request(out, events),
        connection_limits(out),
        signals.on_path,
    );
    Ok(wait_reporting_stalls(reply, patience, signals, sent).await??)
}

/// The upstream that the request is sent to.
pub(super) fn target(out: &Outgoing<'_>) -> Target {
    Target {
        address: out.plan.address,
        upstream: Some(out.plan.incarnation()),
        request: Some(out.request_id.into()),
        paths: out.plan.paths.clone(),
    }
}

/// Which connections the request may use.
pub(super) fn connection_limits(out: &Outgoing<'_>) -> ConnectionLimits {
    ConnectionLimits {
        traffic: Traffic::Requests,
        idle_max_ms: if out.plan.repeatable {
            Millis::new(u64::MAX)
        } else {
            NON_REPEATABLE_IDLE_MAX_MS
        },
        connections_max_len: out.plan.connections_max_len,
    }
}

/// Reports what the upstream states about itself, in whatever response.
fn report_notices(parsed: &ResponseHead, signals: Signals<'_>) {
    if parsed.is_leaving {
        (signals.on_leaving)(parsed.wrong_upstream);
    }
    if let Some(stated) = parsed.stated_rate_limit() {
        (signals.on_rate_limit)(Some(stated), parsed.wrong_upstream);
    }
}

/// Reports that the upstream states no rate limit any more. Only a response that is certainly its own
/// says so.
fn report_lifted_limit(
    out: &Outgoing<'_>,
    claims: &ResponseClaims,
    parsed: &ResponseHead,
    signals: Signals<'_>,
) {
    let is_own = claims.origin.stated == StatedRequest::Own && !parsed.wrong_upstream;
    if out.plan.is_rate_limited && is_own && parsed.rate_limit.is_none() {
        (signals.on_rate_limit)(None, false);
    }
}

/// Forwards an event stream, complete events only.
async fn forward_stream(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    events: &mut EventStream,
    signals: Signals<'_>,
    head: &response::Parts,
    mut body: Incoming,
) -> Result<(), Outcome> {
    events.check_head(head)?;
    let framing = framing(head, &body);
    let mut patience = Patience::first_byte(out.plan).less(out.sent_at.elapsed());
    let mut first = true;
    let mut held = HeldResponse::begin(out.memory, reply).await?;
    loop {
        let Some(frame) = wait_reporting_stalls(reply, patience, signals, body.frame()).await?
        else {
            break;
        };
        let Ok(data) = frame.map_err(|error| lost(error.to_string()))?.into_data() else {
            continue;
        };
        held.receive(reply, &data).await?;
        let (complete, checked) = events.push(&data);
        let complete = held.send(complete, events.partial_len());
        if !complete.is_empty() {
            events.on_events(Instant::now());
            if first {
                first = false;
                (signals.on_first)();
                patience = Patience::between_events(out.plan);
            }
            events.begin(head);
            forward(out, reply, head, complete).await?;
        }
        checked?;
    }
    let end = BodyEnd {
        framing,
        content: stream_content(
            events,
            framing,
            is_event_stream(head) || reply.is_streaming(),
        ),
    };
    confirm_whole(out, reply, end, signals).await?;
    let rest = events.take_partial();
    if !rest.is_empty() {
        let rest = held.send(rest, 0);
        forward(out, reply, head, rest).await?;
    }
    if !reply.is_streaming() {
        reply.full(end_to_end(head), Bytes::new())?;
    }
    Ok(reply.end().await?)
}

fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE))
}

/// Forwards a chunk, after the head if that is not sent yet.
async fn forward(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    head: &response::Parts,
    chunk: Bytes,
) -> Result<(), Outcome> {
    if !reply.is_streaming() {
        reply.begin(end_to_end(head), out.memory.is_some())?;
    }
    Ok(reply.chunk(chunk).await?)
}

/// A body that is read completely before it is forwarded.
struct Opaque {
    framing: BodyFraming,
    body: Incoming,
    max_bytes: usize,
}

impl Opaque {
    fn new(head: &response::Parts, body: Incoming, max_bytes: usize) -> Self {
        Self {
            framing: framing(head, &body),
            body,
            max_bytes,
        }
    }
}

async fn read_body(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    body: Opaque,
    limit: Duration,
    signals: Signals<'_>,
) -> Result<Bytes, Outcome> {
    let end = BodyEnd {
        framing: body.framing,
        content: BodyContent::Opaque,
    };
    let collected = held_response::collect(out.memory, body.body, body.max_bytes);
    let patience = Patience::unchecked(limit);
    let collected = wait_reporting_stalls(reply, patience, signals, collected).await?;
    let collected = collected.map_err(lost)?;
    confirm_whole(out, reply, end, signals).await?;
    Ok(collected)
}

fn request(out: &Outgoing<'_>, events: &EventStream) -> Request<OutgoingBody> {
    let elapsed_ms = Millis::new(out.sent_at.elapsed().as_millis() as u64);
    let headers = out.dialect.upstream_headers(
        out.head,
        &ForwardContext {
            plan: out.plan,
            deadline_ms: out.plan.deadline_ms.saturating_sub(elapsed_ms),
            last_event_id: events.last_id(),
        },
    );
    let mut request = Request::new(OutgoingBody::from(out.body.clone()));
    *request.method_mut() = out.head.method.clone();
    *request.uri_mut() = origin_form(&out.head.uri);
    *request.headers_mut() = headers;
    request
}

/// The origin form of a URI: path and query only, as a request to a server has it.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

/// A copy of the head without hop-by-hop headers and `Content-Length`.
fn end_to_end(head: &response::Parts) -> response::Parts {
    let (mut parts, ()) = Response::new(()).into_parts();
    parts.status = head.status;
    parts.headers = head.headers.clone();
    super::dialect::remove_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts
}

/// What is left of `limit` since the request was sent.
fn time_left(out: &Outgoing<'_>, limit: Duration) -> Duration {
    limit.saturating_sub(out.sent_at.elapsed())
}

/// The end of a transmission whose answer did not arrive whole.
pub(super) fn lost(reason: impl Into<String>) -> SendOutcome {
    SendOutcome::Lost {
        reason: reason.into(),
        stalled: false,
    }
}
