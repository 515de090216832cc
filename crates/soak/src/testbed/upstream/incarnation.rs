//! One incarnation of an upstream: it lasts from a start to the next stop.

use super::{
    grey_failure::GreyFailure,
    response::{empty_response, response_with_body, Body},
    run_guard::RunGuard,
    stream::EventWriter,
};
use crate::{
    caller::ResponseSpec,
    history::{History, Observation},
    testbed::{
        catalog::{PLAIN_SERVERS, PREFILL_TOKENS_PER_MS, SLOTS_LEN},
        no_answer::NoAnswer,
        store::{Store, StoreMode},
    },
};
use bytes::Bytes;
use http::{request, Request, Response, StatusCode, Version};
use http_body_util::{channel::Channel, BodyExt};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    fleet::UpstreamRecord,
    ids::{FailureDomain, IdError, UpstreamId},
    units::{Millis, RequestsPerSecond},
};
use persimmon_platform::stub_formats::{
    answer_head, backoff_head, is_order, mark_leaving, mark_rate_limit, not_run_head,
    parse_upstream_request, registration_row, wrong_upstream_head, UpstreamRequest,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, sleep_until, Instant},
};

/// Requests that an upstream accepts beyond its slots.
const QUEUE_LEN: u32 = 6;

/// One in this many streams has neither a length nor chunks.
const UNFRAMED_EVERY: u64 = 4;

/// Time in which the streams of an upstream that ends write their last bytes.
const CONNECTIONS_END_DELAY: Duration = Duration::from_millis(5);

/// Time for which an upstream that sheds wants no more requests.
const SHED_TIME: Duration = Duration::from_millis(2_500);

/// Mutable state of an incarnation.
#[derive(Debug, Default)]
pub(super) struct IncarnationState {
    pub(super) grey_failure: GreyFailure,
    pub(super) draining: bool,
    /// Whether its answers say that it is about to stop.
    pub(super) leaving: bool,
    /// Until when it wants no more requests from the daemons that it turned away.
    pub(super) sheds_until: Option<Instant>,
    /// The rate that its answers state.
    pub(super) rate_limit: Option<RequestsPerSecond>,
    pub(super) cold_until: Option<Instant>,
    pub(super) tickets: HashMap<String, (u64, Instant)>,
}

/// One incarnation of an upstream: it lasts from a start to the next stop.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: UpstreamId,
    pub(super) domain: FailureDomain,
    pub(super) service: &'static str,
    pub(super) born_unix_ms: u64,
    pub(super) history: History,
    pub(super) in_flight_requests: AtomicU32,
    pub(super) requests_count: AtomicU64,
    pub(super) writes_count: AtomicU64,
    pub(super) state: Mutex<IncarnationState>,
    pub(super) ended: watch::Sender<bool>,
}

/// Creates the incarnation with number `index` of the upstream `name`.
pub(super) fn new_incarnation(
    name: &str,
    index: u64,
    service: &'static str,
    domain: &FailureDomain,
    history: &History,
) -> Result<Arc<Incarnation>, IdError> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    Ok(Arc::new(Incarnation {
        id: format!("{name}-{index}").parse()?,
        domain: domain.clone(),
        service,
        born_unix_ms: unix.map_or(0, |since| since.as_millis() as u64),
        history: history.clone(),
        in_flight_requests: AtomicU32::new(0),
        requests_count: AtomicU64::new(0),
        writes_count: AtomicU64::new(0),
        state: Mutex::default(),
        ended: watch::Sender::new(false),
    }))
}

impl Incarnation {
    pub(super) fn lock(&self) -> MutexGuard<'_, IncarnationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn upstream_record(&self, address: SocketAddr) -> UpstreamRecord {
        let state = self.lock();
        let cold = state
            .cold_until
            .map(|deadline| deadline.saturating_duration_since(Instant::now()));
        UpstreamRecord {
            id: self.id.clone(),
            service: self
                .service
                .parse()
                .unwrap_or_else(|_| unreachable!("a constant name")),
            address,
            domain: self.domain.clone(),
            slots_len: SLOTS_LEN,
            draining: state.draining,
            cold_remaining_ms: Millis::new(cold.unwrap_or_default().as_millis() as u64),
            started_unix_ms: self.born_unix_ms,
            writes_count: self.writes_count.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    pub(super) fn register(&self, store: &Store, address: SocketAddr) {
        if store.mode() != StoreMode::Down {
            store.put(registration_row(&self.upstream_record(address)));
        }
    }

    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut ended = self.ended.subscribe();
        loop {
            let accepted = tokio::select! {
                _ = ended.wait_for(|ended| *ended) => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
            let (this, mut ended) = (Arc::clone(&self), self.ended.subscribe());
            tokio::spawn(async move {
                let service = service_fn(|request| Arc::clone(&this).answer(request));
                let connection = http1::Builder::new();
                let served = connection.serve_connection(TokioIo::new(stream), service);
                let has_ended = async {
                    // Fails where the upstream is gone, which has ended then.
                    let _ = ended.wait_for(|ended| *ended).await;
                    sleep(CONNECTIONS_END_DELAY).await;
                };
                tokio::select! {
                    () = has_ended => {}
                    _ = served => {}
                }
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoAnswer> {
        let this = Arc::clone(&self);
        let mut answer = self.answer_request(request).await?;
        let (is_leaving, rate_limit) = {
            let state = this.lock();
            (state.leaving, state.rate_limit)
        };
        if is_leaving {
            mark_leaving(&mut answer);
        }
        if let Some(per_s) = rate_limit {
            mark_rate_limit(&mut answer, per_s);
        }
        Ok(answer)
    }

    async fn answer_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoAnswer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
        if is_order(&head) {
            return Ok(self.handle_order(&body));
        }
        let Some(request) = parse_upstream_request(&head) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        if request
            .expected_upstream
            .as_deref()
            .is_some_and(|id| id != self.id.as_str())
        {
            return Ok(response_with_body(wrong_upstream_head(), Bytes::new()));
        }
        let count = self.requests_count.fetch_add(1, Ordering::Relaxed);
        let grey_failure = self.lock().grey_failure.of_request(count);
        if grey_failure == GreyFailure::Sheds {
            return Ok(self.shed(&request));
        }
        if grey_failure == GreyFailure::Rejects
            || self.in_flight_requests.load(Ordering::Relaxed) >= SLOTS_LEN + QUEUE_LEN
        {
            self.record_rejected(&request);
            return Ok(response_with_body(not_run_head(), Bytes::new()));
        }
        self.run(&head, request, grey_failure).await
    }

    fn record_rejected(&self, request: &UpstreamRequest) {
        self.history.record(Observation::Rejected {
            request_id: request.request_id.as_str().into(),
        });
    }

    /// Turns a request away, and asks for no more until the time is over.
    fn shed(&self, request: &UpstreamRequest) -> Response<Body> {
        self.record_rejected(request);
        let now = Instant::now();
        let until = *self.lock().sheds_until.get_or_insert(now + SHED_TIME);
        let for_ms = Millis::new(until.saturating_duration_since(now).as_millis() as u64);
        self.history.record(Observation::TurnedAway {
            request_id: request.request_id.as_str().into(),
            upstream: self.id.clone(),
            for_ms,
        });
        if for_ms == Millis::ZERO {
            return response_with_body(not_run_head(), Bytes::new());
        }
        response_with_body(backoff_head(for_ms), Bytes::new())
    }

    async fn run(
        self: Arc<Self>,
        head: &request::Parts,
        request: UpstreamRequest,
        grey_failure: GreyFailure,
    ) -> Result<Response<Body>, NoAnswer> {
        let request_id: Arc<str> = request.request_id.as_str().into();
        self.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        let guard = RunGuard {
            incarnation: Arc::clone(&self),
            request_id: Arc::clone(&request_id),
        };
        self.history.record(Observation::RunStarted {
            request_id: Arc::clone(&request_id),
            upstream: self.id.clone(),
            domain: self.domain.clone(),
            deadline_ms: request.deadline_ms,
        });
        let remaining = request
            .deadline_ms
            .unwrap_or(Millis::from_secs(30))
            .duration();
        let deadline = Instant::now() + remaining;
        let Some(response_spec) = ResponseSpec::parse(head.uri.path()) else {
            return Ok(empty_response(StatusCode::NOT_FOUND));
        };
        let prefill_engines_len = request.helpers_len as f64 + 1.0;
        let prefill_ms =
            request.prompt_tokens.get() as f64 / PREFILL_TOKENS_PER_MS / prefill_engines_len;
        let begin = Instant::now()
            + Duration::from_millis(prefill_ms as u64)
            + response_spec.pause_ms.duration();
        if begin > deadline {
            sleep_until(deadline).await;
            let head_late = answer_head(StatusCode::GATEWAY_TIMEOUT, &request_id, "late");
            return Ok(response_with_body(head_late, Bytes::new()));
        }
        sleep_until(begin).await;
        self.reply(
            guard,
            request.last_event_id,
            response_spec,
            grey_failure,
            deadline,
        )
    }

    /// Answers a request after the prefill.
    fn reply(
        &self,
        guard: RunGuard,
        last_event: Option<u64>,
        response_spec: ResponseSpec,
        grey_failure: GreyFailure,
        deadline: Instant,
    ) -> Result<Response<Body>, NoAnswer> {
        let request_id = Arc::clone(&guard.request_id);
        if matches!(grey_failure, GreyFailure::Errors | GreyFailure::Fails) {
            let head_failed = answer_head(StatusCode::INTERNAL_SERVER_ERROR, &request_id, "failed");
            return Ok(response_with_body(
                head_failed,
                Bytes::from_static(b"failed"),
            ));
        }
        if self.lock().rate_limit.is_some() {
            self.history.record(Observation::RateLimitStated {
                request_id: Arc::clone(&request_id),
                upstream: self.id.clone(),
            });
        }
        if self.lock().leaving {
            self.history.record(Observation::LeavingAnswered {
                request_id: Arc::clone(&request_id),
                upstream: self.id.clone(),
            });
        }
        let head_ok = answer_head(StatusCode::OK, &request_id, "signed");
        if self.service == PLAIN_SERVERS {
            if grey_failure == GreyFailure::Truncates {
                return Err(NoAnswer);
            }
            return Ok(response_with_body(
                head_ok,
                response_spec.plain_body(&request_id),
            ));
        }
        let (sender, body) = Channel::<Bytes, NoAnswer>::new(1);
        let is_framed = self.requests_count.load(Ordering::Relaxed) % UNFRAMED_EVERY != 0;
        let head_ok = head_ok.header("content-type", "text/event-stream");
        let stream = EventWriter {
            guard,
            response_spec,
            first_index: last_event.map_or(1, |last| last + 1),
            truncates: grey_failure == GreyFailure::Truncates,
            is_framed,
            deadline,
        };
        tokio::spawn(stream.write(sender));
        let version = if is_framed {
            Version::HTTP_11
        } else {
            Version::HTTP_10
        };
        Ok(head_ok
            .version(version)
            .body(body.boxed())
            .unwrap_or_else(|_| empty_response(StatusCode::BAD_GATEWAY)))
    }
}
