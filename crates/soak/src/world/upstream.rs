//! Stand-ins for upstreams: engines that stream, and plain servers.

use super::{
    catalog::{DESKS, ENGINES, MEMORY, READ_TOKENS_PER_MS, SLOTS_LEN},
    proxy::Proxy,
    store::{Store, StoreMode},
};
use crate::{
    caller::Script,
    history::{History, Observation},
};
use bytes::Bytes;
use http::{request, Request, Response, StatusCode};
use http_body_util::{
    channel::{Channel, Sender},
    combinators::BoxBody,
    BodyExt, Full,
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    fleet::UpstreamRecord,
    ids::{FailureDomain, IdError, UpstreamId},
    units::{Millis, Tokens},
};
use persimmon_platform::far_side::{
    answered, entry_row, is_order, not_run, order, order_answer, seen, wrong_upstream, Order,
    SeenRequest,
};
use std::{
    collections::HashMap,
    io,
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, sleep_until, timeout, Instant},
};

/// Time between two writes of an upstream's own entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which the entry of an upstream that is gone without a word is removed.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Requests that wait beyond the slots.
const QUEUE_LEN: u32 = 6;

type Body = BoxBody<Bytes, NoAnswer>;

/// One in so many requests fails at a grey upstream.
const GREY_EVERY: u64 = 3;

/// How an upstream fails part of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Grey {
    /// It does not.
    #[default]
    No,
    /// It runs every third one and answers with a failure.
    Fails,
    /// It turns every third one away.
    Sheds,
    /// It breaks every third stream off in the middle, and loses other answers.
    Breaks,
}

#[derive(Debug, Default)]
struct Status {
    grey: Grey,
    draining: bool,
    cold_until: Option<Instant>,
    tickets: HashMap<String, (u64, Instant)>,
}

/// One start of an upstream.
#[derive(Debug)]
struct Incarnation {
    id: UpstreamId,
    domain: FailureDomain,
    service: &'static str,
    born_unix_ms: u64,
    history: History,
    running: AtomicU32,
    served: AtomicU64,
    writes: AtomicU64,
    status: Mutex<Status>,
    ended: watch::Sender<bool>,
}

/// A place at which upstreams start one after the other, at one address.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) proxy: Proxy,
    domain: FailureDomain,
    service: &'static str,
    name: String,
    starts: AtomicU64,
    history: History,
    store: Store,
    now: Mutex<Arc<Incarnation>>,
}

/// Work that an upstream does; noted when it ends, for whatever reason.
struct Work {
    incarnation: Arc<Incarnation>,
    tag: Arc<str>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.incarnation.running.fetch_sub(1, Ordering::Relaxed);
        self.incarnation.history.note(Observation::Rested {
            tag: Arc::clone(&self.tag),
            upstream: self.incarnation.id.clone(),
        });
    }
}

/// The upstream gives no answer: the connection ends.
#[derive(Debug, Error)]
#[error("the upstream gives no answer")]
struct NoAnswer;

/// Writes the events of one answer.
struct EventWriter {
    work: Work,
    script: Script,
    first: u64,
    breaks: bool,
    until: Instant,
}

impl EventWriter {
    async fn write(self, mut sender: Sender<Bytes, NoAnswer>) {
        let mut ended = self.work.incarnation.ended.subscribe();
        let whole = tokio::select! {
            whole = self.events(&mut sender) => whole,
            _ = ended.wait_for(|ended| *ended) => false,
            () = sleep_until(self.until) => false,
        };
        if !whole {
            sender.abort(NoAnswer);
        }
    }

    /// False where it breaks off.
    async fn events(&self, sender: &mut Sender<Bytes, NoAnswer>) -> bool {
        for event in self.first..=self.script.events_len {
            let data = self.script.event(&self.work.tag, event);
            if sender.send_data(data).await.is_err() {
                return false;
            }
            if self.breaks && event > self.script.events_len / 2 {
                return false;
            }
            sleep(self.script.pause).await;
        }
        true
    }
}

impl Upstream {
    /// An upstream that runs and registers itself.
    pub(crate) async fn start(
        index: usize,
        engine: bool,
        domain: FailureDomain,
        history: &History,
        store: &Store,
    ) -> io::Result<Arc<Self>> {
        let proxy = Proxy::start(None).await?;
        let service = if engine { ENGINES } else { DESKS };
        let name = format!("{service}-{index}");
        let first = incarnation(&name, 0, service, &domain, history).map_err(io::Error::other)?;
        let upstream = Arc::new(Self {
            proxy,
            domain,
            service,
            name,
            starts: AtomicU64::new(0),
            history: history.clone(),
            store: store.clone(),
            now: Mutex::new(Arc::clone(&first)),
        });
        upstream.run(first).await?;
        Ok(upstream)
    }

    pub(crate) fn id(&self) -> UpstreamId {
        self.current().id.clone()
    }

    pub(crate) fn set_grey(&self, grey: Grey) {
        self.current().lock().grey = grey;
    }

    /// Turns cold again.
    pub(crate) fn chill(&self, span: Duration) {
        let current = self.current();
        current.lock().cold_until = Some(Instant::now() + span);
        current.write(&self.store, self.proxy.address());
        self.history.note(Observation::Cold {
            upstream: current.id.clone(),
            for_ms: Millis::new(span.as_millis() as u64),
        });
    }

    /// Says that it leaves, serves on for a while, and ends; a new one follows.
    pub(crate) async fn leave(self: Arc<Self>, serve_for: Duration) -> io::Result<()> {
        let current = self.current();
        current.lock().draining = true;
        current.write(&self.store, self.proxy.address());
        self.history.note(Observation::Leaving {
            upstream: current.id.clone(),
        });
        sleep(serve_for).await;
        let (table, key, _) = entry_row(&current.record(self.proxy.address()));
        self.store.remove(table, key);
        self.end(&current);
        self.start_next().await
    }

    /// Ends without a word; a new one follows, and the old entry lapses.
    pub(crate) async fn crash(self: Arc<Self>, away_for: Duration) -> io::Result<()> {
        let current = self.current();
        self.end(&current);
        let (table, key, _) = entry_row(&current.record(self.proxy.address()));
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(LAPSE).await;
            store.remove(table, key);
        });
        sleep(away_for).await;
        self.start_next().await
    }

    fn end(&self, current: &Incarnation) {
        self.proxy.lead_to(None);
        current.ended.send_replace(true);
    }

    async fn start_next(&self) -> io::Result<()> {
        let index = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let next = incarnation(&self.name, index, self.service, &self.domain, &self.history);
        let next = next.map_err(io::Error::other)?;
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&next);
        self.run(next).await
    }

    async fn run(&self, incarnation: Arc<Incarnation>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.lead_to(Some(listener.local_addr()?));
        tokio::spawn(Arc::clone(&incarnation).accept(listener));
        let (store, address) = (self.store.clone(), self.proxy.address());
        tokio::spawn(async move {
            let mut ended = incarnation.ended.subscribe();
            while !*ended.borrow() {
                incarnation.write(&store, address);
                // The sender lives as long as the incarnation.
                let _ = timeout(HEARTBEAT, ended.changed()).await;
            }
        });
        Ok(())
    }

    fn current(&self) -> Arc<Incarnation> {
        Arc::clone(&self.now.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn incarnation(
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
    fn lock(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, address: std::net::SocketAddr) -> UpstreamRecord {
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
            born_unix_ms: self.born_unix_ms,
            writes_count: self.writes.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    fn write(&self, store: &Store, address: std::net::SocketAddr) {
        if store.mode() != StoreMode::Down {
            store.put(entry_row(&self.record(address)));
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
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
        let Some(request) = seen(&head) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        if request
            .expected_upstream
            .as_deref()
            .is_some_and(|id| id != self.id.as_str())
        {
            return Ok(with(wrong_upstream(), Bytes::new()));
        }
        let count = self.served.fetch_add(1, Ordering::Relaxed);
        let grey = match self.lock().grey {
            grey if count % GREY_EVERY == 0 => grey,
            _ => Grey::No,
        };
        if grey == Grey::Sheds || self.running.load(Ordering::Relaxed) >= SLOTS_LEN + QUEUE_LEN {
            return Ok(with(not_run(), Bytes::new()));
        }
        self.work(&head, request, grey).await
    }

    async fn work(
        self: Arc<Self>,
        head: &request::Parts,
        request: SeenRequest,
        grey: Grey,
    ) -> Result<Response<Body>, NoAnswer> {
        let tag: Arc<str> = request.tag.as_str().into();
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
        let begin = Instant::now() + Duration::from_millis(read_ms as u64) + script.pause;
        if begin > until {
            sleep_until(until).await;
            let late = answered(StatusCode::GATEWAY_TIMEOUT, &tag, "late");
            return Ok(with(late, Bytes::new()));
        }
        sleep_until(begin).await;
        if grey == Grey::Fails {
            let failed = answered(StatusCode::INTERNAL_SERVER_ERROR, &tag, "failed");
            return Ok(with(failed, Bytes::from_static(b"failed")));
        }
        let signed = answered(StatusCode::OK, &tag, "signed");
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
            first: request.last_event.map_or(1, |last| last + 1),
            breaks: grey == Grey::Breaks,
            until,
        };
        tokio::spawn(stream.write(sender));
        Ok(signed
            .body(body.boxed())
            .unwrap_or_else(|_| empty(StatusCode::BAD_GATEWAY)))
    }

    fn on_order(self: &Arc<Self>, body: &[u8]) -> Response<Body> {
        match order(body) {
            Ok(Order::Reserve {
                ticket,
                tokens,
                hold_ms,
            }) => self.hold(ticket, tokens, Duration::from_millis(hold_ms)),
            Ok(Order::Release { ticket }) => {
                self.free(&ticket);
                with(Response::builder(), order_answer(MEMORY))
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }

    fn hold(self: &Arc<Self>, ticket: String, tokens: u64, hold: Duration) -> Response<Body> {
        let mut status = self.lock();
        let others = status.tickets.iter().filter(|(other, _)| **other != ticket);
        let taken: u64 = others.map(|(_, (tokens, _))| *tokens).sum();
        if taken + tokens > MEMORY.get() {
            return empty(StatusCode::CONFLICT);
        }
        let until = Instant::now() + hold;
        status.tickets.insert(ticket.clone(), (tokens, until));
        drop(status);
        self.history.note(Observation::Held {
            ticket: ticket.as_str().into(),
        });
        let this = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(until).await;
            let known = this.lock().tickets.get(&ticket).copied();
            if known.is_some_and(|(_, until)| until <= Instant::now()) {
                this.free(&ticket);
            }
        });
        let free = Tokens::new(MEMORY.get() - taken - tokens);
        with(Response::builder(), order_answer(free))
    }

    fn free(&self, ticket: &str) {
        if self.lock().tickets.remove(ticket).is_some() {
            self.history.note(Observation::Freed {
                ticket: ticket.into(),
            });
        }
    }
}

fn with(head: http::response::Builder, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    head.body(body.boxed())
        .unwrap_or_else(|_| empty(StatusCode::BAD_GATEWAY))
}

fn empty(status: StatusCode) -> Response<Body> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}
