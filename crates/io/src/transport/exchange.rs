//! One transmission of a call to an upstream, and its answer on the way to the caller.

use super::{
    pool::ConnectionLimits,
    reply::{CallerLeft, Reply},
    Dialect, EventStream, ForwardContext, Pool, PoolError, ResponseHead,
};
use bytes::Bytes;
use http::{header, request, response, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use persimmon_core::{
    dispatch::{SendOutcome, SendPlan},
    units::Millis,
};
use std::{future::Future, pin::pin, time::Duration};
use tokio::time::{sleep, Instant};

/// Longest idle time of a connection for a request that can't be repeated: one that the upstream
/// closes at that moment leaves its fate unknown.
const FRESH_IDLE_MS: Millis = Millis::new(400);

/// Least time between two words about the same silence.
const STALL_PAUSE_MIN: Duration = Duration::from_millis(200);

/// Longest answer that is read as a whole before it is passed on.
const WHOLE_MAX_BYTES: usize = 1 << 20;

/// Longest failure that is kept until it is decided whether it is passed on.
const FAILURE_MAX_BYTES: usize = 256 << 10;

/// What a request is sent with.
pub(super) struct Outgoing<'a> {
    pub(super) pool: &'a Pool,
    pub(super) dialect: &'a dyn Dialect,
    pub(super) head: &'a request::Parts,
    pub(super) body: &'a Bytes,
    pub(super) request_id: &'a str,
    pub(super) plan: &'a SendPlan,
    pub(super) sent_at: Instant,
}

/// What the control thread is told while a transmission is under way.
#[derive(Clone, Copy)]
pub(super) struct Signals<'a> {
    /// The first event, or the whole answer, is here.
    pub(super) on_first: &'a dyn Fn(),
    /// The upstream has been silent for as long as the plan says, or a multiple of it: how long.
    pub(super) on_stall: &'a dyn Fn(Millis),
}

/// How a transmission ended, as the task of the call sees it.
pub(super) enum Outcome {
    /// The transmission ended.
    Ended(SendOutcome),
    /// It ended with a failure that can be passed on.
    Failure(SendOutcome, Box<Response<Bytes>>),
    /// The caller left.
    Left,
}

impl From<CallerLeft> for Outcome {
    fn from(_: CallerLeft) -> Self {
        Self::Left
    }
}

impl From<SendOutcome> for Outcome {
    fn from(end: SendOutcome) -> Self {
        Self::Ended(end)
    }
}

impl From<PoolError> for Outcome {
    fn from(error: PoolError) -> Self {
        Self::Ended(match error {
            PoolError::NotSent { reason, .. } => SendOutcome::NotSent { reason },
            PoolError::Exhausted { .. } => SendOutcome::Busy,
            PoolError::Lost { reason, .. } => lost(reason),
        })
    }
}

/// Sends a request and passes its answer on.
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
    let how = ConnectionLimits {
        idle_max_ms: if out.plan.repeatable {
            Millis::new(u64::MAX)
        } else {
            FRESH_IDLE_MS
        },
        connections_max_len: out.plan.connections_max_len,
    };
    let first_limit = out.plan.first_byte_timeout_ms.duration();
    let sent = out.pool.send(out.plan.address, request(out, events), how);
    let (response, connection) = watched(reply, first_limit, signals, sent).await??;
    let (head, body) = response.into_parts();
    let answer = out.dialect.parse_response(&head);
    check(out, &head, &answer)?;
    if !head.status.is_success() {
        let limit = rest_of(out, first_limit);
        let body = whole(reply, body, FAILURE_MAX_BYTES, limit, signals).await?;
        out.pool.release(connection, &head);
        let end = SendOutcome::Failed {
            status: head.status.as_u16(),
            not_run: answer.not_run,
            wrong_upstream: answer.wrong_upstream,
            culprit: answer.culprit,
        };
        let failure = Response::from_parts(end_to_end(&head), body);
        return Err(Outcome::Failure(end, Box::new(failure)));
    }
    if out.plan.streaming {
        stream(out, reply, events, signals, &head, body).await?;
    } else {
        let limit = out.plan.deadline_ms.duration();
        let body = whole(reply, body, WHOLE_MAX_BYTES, limit, signals).await?;
        (signals.on_first)();
        reply.whole(end_to_end(&head), body)?;
    }
    out.pool.release(connection, &head);
    Ok(())
}

/// Passes a stream of events on, whole events only.
async fn stream(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    events: &mut EventStream,
    signals: Signals<'_>,
    head: &response::Parts,
    mut body: Incoming,
) -> Result<(), Outcome> {
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let mut limit = rest_of(out, out.plan.first_byte_timeout_ms.duration());
    let mut first = true;
    loop {
        let Some(frame) = watched(reply, limit, signals, body.frame()).await? else {
            break;
        };
        let Ok(data) = frame.map_err(|error| lost(error.to_string()))?.into_data() else {
            continue;
        };
        let whole = events
            .push(&data)
            .map_err(|error| lost(error.to_string()))?;
        if whole.is_empty() {
            continue;
        }
        if first {
            first = false;
            (signals.on_first)();
            limit = out.plan.pause_timeout_ms.duration();
        }
        pass(reply, head, whole).await?;
    }
    let rest = events.rest();
    if !rest.is_empty() {
        if !framed {
            return Err(lost("the stream ended in the middle of an event").into());
        }
        pass(reply, head, rest).await?;
    }
    if !reply.has_begun() {
        reply.whole(end_to_end(head), Bytes::new())?;
    }
    Ok(reply.end().await?)
}

async fn pass(reply: &mut Reply, head: &response::Parts, chunk: Bytes) -> Result<(), Outcome> {
    if !reply.has_begun() {
        reply.begin(end_to_end(head))?;
    }
    Ok(reply.chunk(chunk).await?)
}

/// Whether an answer belongs to the request and is the upstream's own.
fn check(
    out: &Outgoing<'_>,
    head: &response::Parts,
    answer: &ResponseHead,
) -> Result<(), SendOutcome> {
    if answer
        .request_id
        .as_deref()
        .is_some_and(|request_id| request_id != out.request_id)
    {
        return Err(lost("the answer belongs to another request"));
    }
    if head.status.is_success() && !answer.signed {
        return Err(lost("the answer has no signature"));
    }
    if answer.encoded {
        return Err(lost("the answer is encoded"));
    }
    Ok(())
}

async fn whole(
    reply: &mut Reply,
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
    signals: Signals<'_>,
) -> Result<Bytes, Outcome> {
    let collected = Limited::new(body, max_bytes).collect();
    let collected = watched(reply, limit, signals, collected).await?;
    let collected = collected.map_err(|error| lost(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Waits for `future`, or until the caller leaves. Says each time that another `limit` is over.
async fn watched<F: Future>(
    reply: &mut Reply,
    limit: Duration,
    signals: Signals<'_>,
    future: F,
) -> Result<F::Output, CallerLeft> {
    let begun = Instant::now();
    let mut future = pin!(future);
    loop {
        tokio::select! {
            biased;
            () = reply.closed() => return Err(CallerLeft),
            output = future.as_mut() => return Ok(output),
            () = sleep(limit.max(STALL_PAUSE_MIN)) => {
                (signals.on_stall)(Millis::new(begun.elapsed().as_millis() as u64));
            }
        }
    }
}

fn request(out: &Outgoing<'_>, events: &EventStream) -> Request<Full<Bytes>> {
    let spent_ms = Millis::new(out.sent_at.elapsed().as_millis() as u64);
    let headers = out.dialect.upstream_headers(
        out.head,
        &ForwardContext {
            plan: out.plan,
            deadline_ms: out.plan.deadline_ms.saturating_sub(spent_ms),
            last_event_id: events.last_id(),
        },
    );
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.head.method.clone();
    *request.uri_mut() = origin_form(&out.head.uri);
    *request.headers_mut() = headers;
    request
}

/// Path and query, as an upstream expects them.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

/// The head without headers that concern one connection only.
fn end_to_end(head: &response::Parts) -> response::Parts {
    let (mut parts, ()) = Response::new(()).into_parts();
    parts.status = head.status;
    parts.headers = head.headers.clone();
    super::dialect::remove_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts
}

fn rest_of(out: &Outgoing<'_>, limit: Duration) -> Duration {
    limit.saturating_sub(out.sent_at.elapsed())
}

fn lost(reason: impl Into<String>) -> SendOutcome {
    SendOutcome::Lost {
        reason: reason.into(),
        stalled: false,
    }
}
