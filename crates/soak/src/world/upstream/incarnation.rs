//! One start of an upstream.

use super::{
    answer::{empty, with, Body},
    grey::Grey,
    stream::EventWriter,
    work::Work,
};
use crate::{
    caller::Script,
    history::{History, Observation},
    world::{
        catalog::{DESKS, READ_TOKENS_PER_MS, SLOTS_LEN},
        no_answer::NoAnswer,
        store::{Store, StoreMode},
    },
};
use bytes::Bytes;
use http::{request, Request, Response, StatusCode};
use http_body_util::{channel::Channel, BodyExt};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    fleet::UpstreamRecord,
    ids::{FailureDomain, IdError, UpstreamId},
    units::Millis,
};
use persimmon_platform::stub_formats::{
    answer_head, is_order, not_run_head, parse_upstream_request, registration_row,
    wrong_upstream_head, UpstreamRequest,
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
    time::{sleep_until, Instant},
};

/// Requests that wait beyond the slots.
const QUEUE_LEN: u32 = 6;

#[derive(Debug, Default)]
pub(super) struct Status {
    pub(super) grey: Grey,
    pub(super) draining: bool,
    pub(super) cold_until: Option<Instant>,
    pub(super) tickets: HashMap<String, (u64, Instant)>,
}

/// One start of an upstream.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: UpstreamId,
    pub(super) domain: FailureDomain,
    pub(super) service: &'static str,
    pub(super) born_unix_ms: u64,
    pub(super) history: History,
    pub(super) running: AtomicU32,
    pub(super) served: AtomicU64,
    pub(super) writes: AtomicU64,
    pub(super) status: Mutex<Status>,
    pub(super) ended: watch::Sender<bool>,
}

/// The next start of an upstream.
pub(super) fn incarnation(
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
        running: AtomicU32::new(0),
        served: AtomicU64::new(0),
        writes: AtomicU64::new(0),
        status: Mutex::default(),
        ended: watch::Sender::new(false),
    }))
}

impl Incarnation {
    pub(super) fn lock(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self, address: SocketAddr) -> UpstreamRecord {
        let status = self.lock();
        let cold = status
            .cold_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        UpstreamRecord {
            id: self.id.clone(),
            service: self
                .service
                .parse()
                .unwrap_or_else(|_| unreachable!("a constant name")),
            address,
            domain: self.domain.clone(),
            slots_len: SLOTS_LEN,
            draining: status.draining,
            cold_remaining_ms: Millis::new(cold.unwrap_or_default().as_millis() as u64),
            started_unix_ms: self.born_unix_ms,
            writes_count: self.writes.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    pub(super) fn write(&self, store: &Store, address: SocketAddr) {
        if store.mode() != StoreMode::Down {
            store.put(registration_row(&self.record(address)));
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
                tokio::select! {
                    _ = ended.wait_for(|ended| *ended) => {}
                    _ = served => {}
                }
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoAnswer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
        if is_order(&head) {
            return Ok(self.on_order(&body));
        }
        let Some(request) = parse_upstream_request(&head) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        if request
            .expected_upstream
            .as_deref()
            .is_some_and(|id| id != self.id.as_str())
        {
            return Ok(with(wrong_upstream_head(), Bytes::new()));
        }
        let count = self.served.fetch_add(1, Ordering::Relaxed);
        let grey = self.lock().grey.of_request(count);
        if grey == Grey::Sheds || self.running.load(Ordering::Relaxed) >= SLOTS_LEN + QUEUE_LEN {
            return Ok(with(not_run_head(), Bytes::new()));
        }
        self.work(&head, request, grey).await
    }

    async fn work(
        self: Arc<Self>,
        head: &request::Parts,
        request: UpstreamRequest,
        grey: Grey,
    ) -> Result<Response<Body>, NoAnswer> {
        let tag: Arc<str> = request.request_id.as_str().into();
        self.running.fetch_add(1, Ordering::Relaxed);
        let work = Work {
            incarnation: Arc::clone(&self),
            tag: Arc::clone(&tag),
        };
        self.history.note(Observation::Ran {
            tag: Arc::clone(&tag),
            upstream: self.id.clone(),
            domain: self.domain.clone(),
            deadline_ms: request.deadline_ms,
        });
        let left = request
            .deadline_ms
            .unwrap_or(Millis::from_secs(30))
            .duration();
        let until = Instant::now() + left;
        let Some(script) = Script::read(head.uri.path()) else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        let readers_len = request.helpers_len as f64 + 1.0;
        let read_ms = request.prompt_tokens.get() as f64 / READ_TOKENS_PER_MS / readers_len;
        let begin =
            Instant::now() + Duration::from_millis(read_ms as u64) + script.pause_ms.duration();
        if begin > until {
            sleep_until(until).await;
            let late = answer_head(StatusCode::GATEWAY_TIMEOUT, &tag, "late");
            return Ok(with(late, Bytes::new()));
        }
        sleep_until(begin).await;
        self.reply(work, request.last_event_id, script, grey, until)
    }

    /// The answer, once the prompt is read.
    fn reply(
        &self,
        work: Work,
        last_event: Option<u64>,
        script: Script,
        grey: Grey,
        until: Instant,
    ) -> Result<Response<Body>, NoAnswer> {
        let tag = Arc::clone(&work.tag);
        if grey == Grey::Fails {
            let failed = answer_head(StatusCode::INTERNAL_SERVER_ERROR, &tag, "failed");
            return Ok(with(failed, Bytes::from_static(b"failed")));
        }
        let signed = answer_head(StatusCode::OK, &tag, "signed");
        if self.service == DESKS {
            if grey == Grey::Breaks {
                return Err(NoAnswer);
            }
            return Ok(with(signed, script.whole(&tag)));
        }
        let (sender, body) = Channel::<Bytes, NoAnswer>::new(1);
        let signed = signed.header("content-type", "text/event-stream");
        let stream = EventWriter {
            work,
            script,
            first_index: last_event.map_or(1, |last| last + 1),
            breaks: grey == Grey::Breaks,
            until,
        };
        tokio::spawn(stream.write(sender));
        Ok(signed
            .body(body.boxed())
            .unwrap_or_else(|_| empty(StatusCode::BAD_GATEWAY)))
    }
}
