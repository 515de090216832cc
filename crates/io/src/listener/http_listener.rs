//! An HTTP server on one listening address.

use super::{
    received::{BodyLimits, BodyRefusal, Received, Service},
    Responder,
};
use crate::transport::{
    accept, listen, set_held_caller_options, BodyError, BodyReader, CallerStream, Memory, Place,
    PlacedBody, Places, ResponseBody,
};
use http::{header, request::Parts, HeaderValue, Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use persimmon_core::connections::ConnectionStage;
use std::{
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::watch,
    task::{spawn_blocking, spawn_local, LocalSet},
    time::{sleep, timeout, Instant},
};

/// Threads beside those of the requests that may be open, so that one too many is refused rather than queued.
const SPARE_THREADS_LEN: usize = 8;

/// Connections beside those of the requests that may be open: idle ones, and those whose heads arrive.
const SPARE_CONNECTIONS_LEN: usize = 128;

/// Smallest buffer size that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Longest wait, when the listener is stopped, until responses are written.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a stopped listener looks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Name of the event loop's thread as shown by tools of the operating system.
const THREAD: &str = "http-listener";

/// What a listener takes at most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// Requests that are served at a time. It bounds threads and connections, too.
    pub requests_max_len: usize,
    /// Longest head.
    pub head_max_bytes: usize,
    /// Bytes of bodies that are held at a time.
    pub bodies_max_bytes: usize,
    /// Time within which a head must be complete, and after which a client that reads nothing is disconnected.
    pub io_time: Duration,
}

impl ListenerLimits {
    /// Open connections at a time.
    const fn connections_max_len(&self) -> usize {
        self.requests_max_len + SPARE_CONNECTIONS_LEN
    }
}

/// Receives requests on one event loop, and serves each on a thread.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl HttpListener {
    /// Listens on `address` and passes requests to `service` until the listener is stopped.
    ///
    /// # Errors
    ///
    /// The address can't be used, or no thread can be started.
    pub fn start(
        address: SocketAddr,
        limits: ListenerLimits,
        service: impl Service,
    ) -> io::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(limits.requests_max_len + SPARE_THREADS_LEN)
            .build()?;
        let guard = runtime.enter();
        let socket = listen(address)?;
        drop(guard);
        let address = socket.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let builder = thread::Builder::new().name(THREAD.into());
        let thread = builder.spawn(move || {
            let server = Rc::new(Server::new(limits, service, stopped));
            LocalSet::new().block_on(&runtime, server.run(socket));
            // Threads that still serve a request write to nobody.
            runtime.shutdown_background();
        })?;
        Ok(Self {
            address,
            stop,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// The address that the listener is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests. Open requests continue.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for HttpListener {
    /// Stops the listener, and waits until responses are written.
    fn drop(&mut self) {
        self.stop();
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take() {
            // A panic has been logged by its own thread.
            let _ = thread.join();
        }
    }
}

/// State of the event loop.
struct Server<S> {
    limits: ListenerLimits,
    service: Arc<S>,
    memory: Arc<Memory>,
    places: Rc<Places>,
    stopped: watch::Receiver<bool>,
}

impl<S: Service> Server<S> {
    fn new(limits: ListenerLimits, service: S, stopped: watch::Receiver<bool>) -> Self {
        let connections_len = limits.connections_max_len();
        Self {
            limits,
            service: Arc::new(service),
            memory: Memory::for_listener(connections_len, limits.bodies_max_bytes),
            places: Rc::default(),
            stopped,
        }
    }

    async fn run(self: Rc<Self>, socket: TcpListener) {
        let mut stopped = self.stopped.clone();
        tokio::select! {
            () = Rc::clone(&self).accept(&socket) => {}
            // An error means that the listener is gone.
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
        drop(socket);
        let until = Instant::now() + STOP_TIMEOUT;
        while self.places.len() > 0 && Instant::now() < until {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    async fn accept(self: Rc<Self>, socket: &TcpListener) {
        loop {
            let stream = accept(socket).await;
            while self.places.len() >= self.limits.connections_max_len() {
                if !self.places.make_room().await {
                    break;
                }
            }
            if self.places.len() < self.limits.connections_max_len() {
                let place = self.places.take();
                spawn_local(Rc::clone(&self).connection(stream, place));
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, place: Rc<Place>) {
        if let Err(error) = set_held_caller_options(&stream, self.limits.io_time) {
            log::debug!("connection closed: its socket options can't be set: {error}");
            return;
        }
        let Some(_held) = self.memory.connection() else {
            return;
        };
        let memory = Some(Arc::clone(&self.memory));
        let stream = CallerStream::new(stream, Rc::clone(&place), memory, self.limits.io_time);
        let service = service_fn(|request| self.request(&place, request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.io_time)
            .max_buf_size(self.limits.head_max_bytes.max(BUFFER_MIN_BYTES))
            .auto_date_header(false)
            .title_case_headers(true)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut stopped = self.stopped.clone();
        let ended = tokio::select! {
            biased;
            () = place.evicted() => Ok(()),
            ended = connection.as_mut() => ended,
            _ = stopped.wait_for(|stopped| *stopped) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("a client's connection failed: {error}");
        }
    }

    async fn request(
        &self,
        place: &Rc<Place>,
        request: Request<Incoming>,
    ) -> Result<Response<PlacedBody>, ServerEnded> {
        place.on_request();
        let (head, body) = request.into_parts();
        let mut response = self.respond(place, head, body).await?;
        if self.places.is_wanted() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(PlacedBody::wrap(response, place))
    }

    async fn respond(
        &self,
        place: &Place,
        head: Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, ServerEnded> {
        let open = self.service.open();
        let limits = self.service.admit(&open, &head);
        let max_bytes = limits.as_ref().map_or(0, |limits| limits.max_bytes);
        let mut reader = BodyReader::new(Some(&self.memory), body, max_bytes);
        let limits = match limits {
            Ok(limits) => limits,
            Err(response) => {
                reader.discard();
                return Ok((*response).map(ResponseBody::from));
            }
        };
        if let Err(refusal) = receive(place, &mut reader, limits).await {
            reader.discard();
            let response = self.service.refusal(&open, &head, refusal);
            return Ok(response.map(ResponseBody::from));
        }
        let body = reader.complete().into_bytes();
        let (responder, response) = Responder::new();
        let service = Arc::clone(&self.service);
        spawn_blocking(move || service.serve(open, Received { head, body }, responder));
        response.await.map_err(|_| ServerEnded)
    }
}

async fn receive(
    place: &Place,
    reader: &mut BodyReader,
    limits: BodyLimits,
) -> Result<(), BodyRefusal> {
    let received = async {
        reader.check_stated()?;
        reader.receive_arrived().await?;
        place.set_stage(ConnectionStage::Receiving);
        reader.receive_until(usize::MAX).await
    };
    let received = timeout(limits.within, received).await;
    place.set_stage(ConnectionStage::Working);
    received.map_or(Err(BodyRefusal::TimedOut), |received| {
        received.map_err(|error| match error {
            BodyError::TooLong => BodyRefusal::TooLong,
            BodyError::Failed(_) => BodyRefusal::Truncated,
            BodyError::NoRoom(_) => BodyRefusal::NoRoom,
        })
    })
}

/// A request whose thread ended without an answer. The connection is closed.
#[derive(Clone, Copy, Debug)]
struct ServerEnded;

impl fmt::Display for ServerEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request got no answer: its connection is closed")
    }
}

impl std::error::Error for ServerEnded {}
