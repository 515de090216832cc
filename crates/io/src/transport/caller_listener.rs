//! Accepts callers' connections and reads their requests.

use super::{
    accept::accept,
    call_task::{refusal_response, CallTask, Shared},
    caller_stream::{CallerStream, SocketRequest, LONG_HEAD_FACTOR, SHORT_HEAD_BYTES},
    memory::{self, Held, HeldSocket, NoRoom},
    open_call::{call_of, BodyEnd, OpenCall},
    placed_body::PlacedBody,
    places::{Place, Places},
    request_body::BodyReader,
    socket, CallCommand, Dialect, Hub, Memory, Pool, ReportLimiter, RequestHead, ResponseBody,
};
use bytes::Bytes;
use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use persimmon_core::{
    catalog::CallerLimits,
    connections::ConnectionStage,
    dispatch::{Call, DispatchEvent, MemoryRefusal, Refusal, RefusalReason},
    ids::Fingerprint,
    units::{ByteCount, Millis},
};
use std::{
    cell::RefCell,
    convert::Infallible,
    io,
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

/// Bytes of a body without a stated length after which its caller's receive buffer grows.
const LARGE_BODY_BYTES: usize = 16 << 10;

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
    places: Rc<Places>,
    connections_max_len: usize,
    drain: watch::Receiver<DrainState>,
    refusals: RefCell<ReportLimiter>,
    turned_away: RefCell<ReportLimiter>,
}

impl std::fmt::Debug for CallerListener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerListener").finish_non_exhaustive()
    }
}

/// A connection that was admitted, with what is held for its buffers.
struct Admitted {
    place: Rc<Place>,
    _held: Option<(Held, HeldSocket)>,
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
            places: Rc::default(),
            connections_max_len,
            drain,
            refusals: RefCell::default(),
            turned_away: RefCell::default(),
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

    /// Accepts connections forever. For one above the limit, another one that can be spared is closed, or itself.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            match self.admit().await {
                Some(admitted) => {
                    spawn_local(Rc::clone(&self).connection(stream, admitted));
                }
                None => self.report_turned_away(),
            }
        }
    }

    /// Finds a place for a connection, and room for its buffers.
    async fn admit(&self) -> Option<Admitted> {
        loop {
            if let Some(admitted) = self.try_admit() {
                return Some(admitted);
            }
            if !self.places.make_room().await {
                return None;
            }
        }
    }

    fn try_admit(&self) -> Option<Admitted> {
        if self.places.len() >= self.connections_max_len {
            return None;
        }
        let held = match &self.shared.memory {
            Some(memory) => Some(memory.connection()?),
            None => None,
        };
        Some(Admitted {
            place: self.places.take(),
            _held: held,
        })
    }

    fn report_turned_away(&self) {
        if let Some(unreported_count) = self.turned_away.borrow_mut().admit() {
            log::warn!(
                open_len = self.places.len(), unreported_count;
                "connection closed: no room, and all others have work"
            );
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, admitted: Admitted) {
        if let Err(error) = self.set_options(&stream) {
            log::debug!("connection closed: its socket options can't be set: {error}");
            return;
        }
        let place = Rc::clone(&admitted.place);
        let limits = self.limits();
        let stream = CallerStream::new(
            stream,
            Rc::clone(&place),
            self.shared.memory.clone(),
            limits.head_timeout_ms.duration(),
        );
        let service = service_fn(|request| self.request(&place, request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout_ms.duration())
            .max_buf_size(limits.head_max_bytes.max(BUFFER_MIN_BYTES))
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut drain = self.drain.clone();
        let ended = tokio::select! {
            biased;
            () = place.evicted() => Ok(()),
            ended = connection.as_mut() => ended,
            _ = drain.wait_for(|drain| *drain == DrainState::CloseIdle) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("caller's connection failed: {error}");
        }
    }

    fn set_options(&self, stream: &TcpStream) -> io::Result<()> {
        match &self.shared.memory {
            Some(memory) => socket::set_held_caller_options(stream, memory.unread_timeout()),
            None => socket::set_socket_options(stream),
        }
    }

    async fn request(
        &self,
        place: &Rc<Place>,
        request: Request<Incoming>,
    ) -> Result<Response<PlacedBody>, Infallible> {
        place.on_request();
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let mut response = match self.serve(place, received_at, head, body).await {
            Ok(response) => response,
            Err((status, text)) => text_response(status, text),
        };
        if *self.drain.borrow() != DrainState::Open || self.places.is_wanted() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(PlacedBody::wrap(response, place))
    }

    async fn serve(
        &self,
        place: &Place,
        received_at: Instant,
        head: http::request::Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, (StatusCode, String)> {
        let memory = self.shared.memory.as_ref();
        let mut reader = BodyReader::new(memory, body, self.limits().body_max_bytes);
        let request = match self.shared.dialect.parse_request(&head) {
            Ok(request) => request,
            Err(error) => {
                reader.discard();
                return Err((StatusCode::BAD_REQUEST, error.to_string()));
            }
        };
        let Ok(held_head) = self.hold_long_head(&head) else {
            let response = self.refuse(&request, reader.known_bytes());
            reader.discard();
            return Ok(response);
        };
        let call = OpenCall::new(&self.shared.hub);
        let id = call.id;
        let time_limit = request.deadline_ms.map_or(BODY_TIMEOUT, Millis::duration);
        let received = self.receive(place, &call, received_at, (&head, &request), &mut reader);
        let received = timeout(time_limit, received).await;
        match received.unwrap_or(Err(BodyEnd::TimedOut)) {
            Ok(()) => {}
            Err(end) => {
                let response = self.unreceived(&request, end);
                reader.discard();
                return response;
            }
        }
        let body = reader.complete();
        let content = Fingerprint::of_fields_and_body(
            &[
                head.method.as_str().as_bytes(),
                request.host.as_bytes(),
                path_and_query(&head).as_bytes(),
                &request.prompt_fingerprint.get().to_le_bytes(),
            ],
            body.len(),
            body.parts(),
        );
        let request_id = Arc::clone(&request.request_id);
        let arrived = call_of(id, received_at, &head, request, body.len() as u64);
        let event = DispatchEvent::Arrived(Box::new(Call { content, ..arrived }));
        let task = CallTask {
            shared: Rc::clone(&self.shared),
            id,
            request_id,
            head,
            body,
            _held_head: held_head,
            commands: call.into_commands(),
        };
        let (sender, response) = oneshot::channel();
        self.shared.hub.send_event(event);
        spawn_local(task.run(sender));
        let stopping = |_| (StatusCode::BAD_GATEWAY, "the daemon stops".to_owned());
        response.await.map_err(stopping)
    }

    /// Holds what a head takes that is longer than the buffers of its connection.
    fn hold_long_head(&self, head: &http::request::Parts) -> Result<Option<Held>, NoRoom> {
        let fields = head.headers.iter();
        let fields_bytes: usize = fields
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let bytes = path_and_query(head).len() + fields_bytes;
        match &self.shared.memory {
            Some(memory) if bytes > SHORT_HEAD_BYTES => {
                let bytes = ByteCount::new((bytes * LONG_HEAD_FACTOR) as u64);
                memory.long_head(bytes).map(Some).ok_or(NoRoom)
            }
            _ => Ok(None),
        }
    }

    /// Receives a body. What the head tells is decided before more is read than has arrived with it.
    async fn receive(
        &self,
        place: &Place,
        call: &OpenCall<'_>,
        received_at: Instant,
        (head, request): (&http::request::Parts, &RequestHead),
        reader: &mut BodyReader,
    ) -> Result<(), BodyEnd> {
        if self.shared.hub.is_behind() {
            return Err(BodyEnd::NoRoom(reader.known_bytes()));
        }
        reader.check_stated()?;
        reader.receive_arrived().await?;
        if reader.is_complete() {
            return Ok(());
        }
        let stated_bytes = reader.known_bytes();
        let arriving = call_of(call.id, received_at, head, request.clone(), stated_bytes);
        let event = DispatchEvent::HeadArrived(Box::new(arriving));
        self.shared.hub.send_event(event);
        match call.commands.recv_async().await {
            Ok(CallCommand::Receive) => {}
            Ok(CallCommand::Refuse(refusal)) => return Err(BodyEnd::Refused(refusal)),
            Ok(_) | Err(_) => return Err(BodyEnd::Stopped),
        }
        place.set_stage(ConnectionStage::Receiving);
        let memory = self.shared.memory.as_ref();
        if memory.is_some_and(|memory| !memory.admits_request(stated_bytes)) {
            return Err(BodyEnd::NoRoom(stated_bytes));
        }
        if !reader.is_stated_above(socket::RECEIVE_BUFFER_BYTES) {
            reader.receive_until(LARGE_BODY_BYTES).await?;
        }
        if let Some(held) = memory.and_then(Memory::large_receive_buffer) {
            place.request_socket(SocketRequest::Grow(held));
        }
        let received = reader.receive_until(usize::MAX).await;
        place.request_socket(SocketRequest::Shrink);
        place.set_stage(ConnectionStage::Working);
        Ok(received?)
    }

    /// The answer to a request whose body was not received.
    fn unreceived(
        &self,
        request: &RequestHead,
        end: BodyEnd,
    ) -> Result<Response<ResponseBody>, (StatusCode, String)> {
        match end {
            BodyEnd::NoRoom(body_bytes) => Ok(self.refuse(request, body_bytes)),
            BodyEnd::Refused(refusal) => {
                Ok(refusal_response(&*self.shared.dialect, &refusal).map(ResponseBody::from))
            }
            BodyEnd::TooLong => Err((
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long".to_owned(),
            )),
            BodyEnd::Failed(error) => Err((StatusCode::BAD_REQUEST, error)),
            BodyEnd::TimedOut => Err((
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive".to_owned(),
            )),
            BodyEnd::Stopped => Err((StatusCode::BAD_GATEWAY, "the daemon stops".to_owned())),
        }
    }

    /// Refuses a request for which the memory budget has no room.
    fn refuse(&self, request: &RequestHead, body_bytes: u64) -> Response<ResponseBody> {
        let refusal = Refusal {
            reason: RefusalReason::MemoryFull,
            may_have_run: false,
            retry_after_ms: Some(memory::RETRY_AFTER_MS),
        };
        if let (Some(memory), Some(unreported_count)) =
            (&self.shared.memory, self.refusals.borrow_mut().admit())
        {
            let usage = memory.usage();
            let event = DispatchEvent::MemoryRefused(MemoryRefusal {
                request_id: Arc::clone(&request.request_id),
                body_bytes: ByteCount::new(body_bytes),
                held_bytes: usage.held,
                budget_bytes: usage.budget,
                retry_after_ms: memory::RETRY_AFTER_MS,
                unreported_count,
            });
            self.shared.hub.send_event(event);
        }
        refusal_response(&*self.shared.dialect, &refusal).map(ResponseBody::from)
    }

    fn limits(&self) -> CallerLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
