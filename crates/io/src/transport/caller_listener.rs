//! Accepts callers' connections and reads their requests.

use super::{
    accept::accept,
    call_task::{refusal_response, CallTask, Shared},
    memory::{self, Held},
    request_body::{self, BodyError},
    socket, Dialect, Hub, Memory, Pool, RequestHead, ResponseBody,
};
use bytes::Bytes;
use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use persimmon_core::{
    catalog::CallerLimits,
    dispatch::{Call, DispatchEvent, MemoryRefusal, Refusal, RefusalReason},
    ids::Fingerprint,
    units::{ByteCount, Millis},
};
use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    task::spawn_local,
    time::{timeout, Instant},
};

/// Time limit for receiving a request body when the caller states no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits that apply until a catalog is loaded.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_max_bytes: 16 << 10,
    body_max_bytes: 4 << 20,
    head_timeout_ms: Millis::new(3_000),
    idle_timeout_ms: Millis::new(15_000),
};

/// Smallest buffer size that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Limits on callers' requests and connections, set by the control thread.
pub type SharedLimits = Arc<Mutex<CallerLimits>>;

/// State of connection draining in a listener.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DrainState {
    /// Connections are kept alive.
    #[default]
    Open,
    /// Each response carries `Connection: close` and ends its connection.
    CloseAfterResponse,
    /// Connections are also closed as soon as they are idle.
    CloseIdle,
}

/// Accepts callers' connections and starts a task for each request.
pub struct CallerListener {
    shared: Rc<Shared>,
    limits: SharedLimits,
    connections_len: Cell<usize>,
    connections_max_len: usize,
    drain: watch::Receiver<DrainState>,
}

impl std::fmt::Debug for CallerListener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerListener").finish_non_exhaustive()
    }
}

impl CallerListener {
    /// Creates a listener that reports requests to the control thread through `hub` and holds at
    /// most `connections_max_len` connections.
    pub fn new(
        hub: Arc<Hub>,
        pool: Rc<Pool>,
        dialect: Rc<dyn Dialect>,
        limits: SharedLimits,
        connections_max_len: usize,
        drain: watch::Receiver<DrainState>,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                hub,
                pool,
                dialect,
                memory: None,
            }),
            limits,
            connections_len: Cell::new(0),
            connections_max_len,
            drain,
        }
    }

    /// Counts what is held for callers against a memory budget.
    pub fn with_memory(mut self, memory: Option<Arc<Memory>>) -> Self {
        self.shared = Rc::new(Shared {
            hub: Arc::clone(&self.shared.hub),
            pool: Rc::clone(&self.shared.pool),
            dialect: Rc::clone(&self.shared.dialect),
            memory,
        });
        self
    }

    /// The limits that apply until a catalog is loaded.
    pub fn default_limits() -> SharedLimits {
        Arc::new(Mutex::new(DEFAULT_LIMITS))
    }

    /// Accepts connections forever. One above the limit is closed at once.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            if self.connections_len.get() < self.connections_max_len {
                spawn_local(Rc::clone(&self).connection(stream));
            } else {
                log::warn!(
                    "connection closed: the limit of {} open connections is reached",
                    self.connections_max_len
                );
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let Some(_held) = self.admit_connection(&stream) else {
            return;
        };
        self.connections_len.set(self.connections_len.get() + 1);
        let limits = self.limits();
        let service = service_fn(|request| self.request(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout_ms.duration())
            .max_buf_size(limits.head_max_bytes.max(BUFFER_MIN_BYTES))
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut drain = self.drain.clone();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = drain.wait_for(|drain| *drain == DrainState::CloseIdle) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("caller's connection failed: {error}");
        }
        self.connections_len.set(self.connections_len.get() - 1);
    }

    /// Sets the options of a caller's socket and holds the buffers of the connection; none if it is to be closed.
    fn admit_connection(&self, stream: &TcpStream) -> Option<Option<Held>> {
        let memory = self.shared.memory.as_ref();
        let options = match memory {
            Some(memory) => socket::set_held_caller_options(stream, memory.unread_timeout()),
            None => socket::set_socket_options(stream),
        };
        if let Err(error) = options {
            log::debug!("connection closed: its socket options can't be set: {error}");
            return None;
        }
        let Some(memory) = memory else {
            return Some(None);
        };
        let held = memory.connection();
        if held.is_none() {
            log::warn!("connection closed: the memory budget has no room for it");
        }
        held.map(Some)
    }

    async fn request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let mut response = match self.serve(received_at, head, body).await {
            Ok(response) => response,
            Err((status, text)) => text_response(status, text),
        };
        if *self.drain.borrow() != DrainState::Open {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    async fn serve(
        &self,
        received_at: Instant,
        head: http::request::Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, (StatusCode, String)> {
        let bad_request =
            |error: &dyn std::fmt::Display| (StatusCode::BAD_REQUEST, error.to_string());
        let request = self
            .shared
            .dialect
            .parse_request(&head)
            .map_err(|error| bad_request(&error))?;
        let time_limit = request.deadline_ms.map_or(BODY_TIMEOUT, Millis::duration);
        let body = match self.read_body(body, time_limit).await {
            Ok(body) => body,
            Err(BodyEnd::Status(status, text)) => return Err((status, text)),
            Err(BodyEnd::NoRoom(body_bytes)) => return Ok(self.refuse(&request, body_bytes)),
        };
        let content = Fingerprint::of_fields(&[
            head.method.as_str().as_bytes(),
            request.host.as_bytes(),
            path_and_query(&head).as_bytes(),
            &request.prompt_fingerprint.get().to_le_bytes(),
            &body,
        ]);
        let (id, commands) = self.shared.hub.open();
        let event = DispatchEvent::Arrived(Box::new(Call {
            id,
            request_id: Arc::clone(&request.request_id),
            host: request.host,
            path: head.uri.path().to_owned(),
            key: request.key,
            deadline_ms: request.deadline_ms,
            prompt: request.prompt,
            fingerprints: request.fingerprints,
            prefix: request.prefix,
            content,
            body_bytes: ByteCount::new(body.len() as u64),
            age_ms: Millis::new(received_at.elapsed().as_millis() as u64),
        }));
        let task = CallTask {
            shared: Rc::clone(&self.shared),
            id,
            request_id: request.request_id,
            head,
            body,
            commands,
        };
        let (sender, response) = oneshot::channel();
        self.shared.hub.send_event(event);
        spawn_local(task.run(sender));
        let stopping = |_| (StatusCode::BAD_GATEWAY, "the daemon stops".to_owned());
        response.await.map_err(stopping)
    }

    async fn read_body(&self, body: Incoming, time_limit: Duration) -> Result<Bytes, BodyEnd> {
        let memory = self.shared.memory.as_ref();
        let received = request_body::receive(memory, body, self.limits().body_max_bytes);
        let (status, text) = match timeout(time_limit, received).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyError::NoRoom(body_bytes))) => return Err(BodyEnd::NoRoom(body_bytes)),
            Ok(Err(BodyError::TooLong)) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long".to_owned(),
            ),
            Ok(Err(BodyError::Failed(error))) => (StatusCode::BAD_REQUEST, error),
            Err(_) => (
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive".to_owned(),
            ),
        };
        Err(BodyEnd::Status(status, text))
    }

    /// Refuses a request for which the memory budget has no room.
    fn refuse(&self, request: &RequestHead, body_bytes: u64) -> Response<ResponseBody> {
        let refusal = Refusal {
            reason: RefusalReason::MemoryFull,
            may_have_run: false,
            retry_after_ms: Some(memory::RETRY_AFTER_MS),
        };
        if let Some(memory) = &self.shared.memory {
            let usage = memory.usage();
            let event = DispatchEvent::MemoryRefused(MemoryRefusal {
                request_id: Arc::clone(&request.request_id),
                body_bytes: ByteCount::new(body_bytes),
                held_bytes: usage.held,
                budget_bytes: usage.budget,
                retry_after_ms: memory::RETRY_AFTER_MS,
            });
            self.shared.hub.send_event(event);
        }
        refusal_response(&*self.shared.dialect, &refusal).map(ResponseBody::from)
    }

    fn limits(&self) -> CallerLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a body ended that was not received.
enum BodyEnd {
    /// With this answer.
    Status(StatusCode, String),
    /// The memory budget has no room for a body of this size.
    NoRoom(u64),
}

fn path_and_query(head: &http::request::Parts) -> &str {
    let target = head.uri.path_and_query();
    target.map_or("", |target| target.as_str())
}

fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
