//! Listens for callers.

use super::{
    accept::accept,
    call_task::{CallTask, Shared},
    pool, Dialect, Hub, Pool, ResponseBody,
};
use bytes::Bytes;
use http::{header, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use persimmon_core::{
    catalog::CallerLimits,
    dispatch::{Call, DispatchEvent},
    units::Millis,
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

/// Longest time for a body to arrive, where the caller gives no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits until a catalog states them.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_max_bytes: 16 << 10,
    body_max_bytes: 4 << 20,
    head_timeout_ms: Millis::new(3_000),
    idle_timeout_ms: Millis::new(15_000),
};

/// Smallest buffer that the HTTP library takes.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Limits of callers, shared with the control thread.
pub type SharedLimits = Arc<Mutex<CallerLimits>>;

/// How far a listener has taken leave of its callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DrainState {
    /// Connections are kept.
    #[default]
    Open,
    /// Each answer is the last one of its connection.
    CloseAfterResponse,
    /// Connections are closed as soon as they are idle.
    CloseIdle,
}

/// Listens for callers.
pub struct CallerListener {
    shared: Rc<Shared>,
    limits: SharedLimits,
    connections_len: Cell<usize>,
    connections_max_len: usize,
    closing: watch::Receiver<DrainState>,
}

impl std::fmt::Debug for CallerListener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerListener").finish_non_exhaustive()
    }
}

impl CallerListener {
    /// A listener that hands requests to the control thread.
    pub fn new(
        hub: Arc<Hub>,
        pool: Rc<Pool>,
        dialect: Rc<dyn Dialect>,
        limits: SharedLimits,
        connections_max_len: usize,
        closing: watch::Receiver<DrainState>,
    ) -> Self {
        Self {
            shared: Rc::new(Shared { hub, pool, dialect }),
            limits,
            connections_len: Cell::new(0),
            connections_max_len,
            closing,
        }
    }

    /// Limits that hold until a catalog states some.
    pub fn default_limits() -> SharedLimits {
        Arc::new(Mutex::new(DEFAULT_LIMITS))
    }

    /// Accepts callers for ever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            if self.connections_len.get() < self.connections_max_len {
                spawn_local(Rc::clone(&self).connection(stream));
            } else {
                log::warn!("connection closed: {} are open", self.connections_max_len);
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = pool::prepare(&stream) {
            log::debug!("connection closed: {error}");
            return;
        }
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
        let mut closing = self.closing.clone();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = closing.wait_for(|closing| *closing == DrainState::CloseIdle) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("caller's connection ended: {error}");
        }
        self.connections_len.set(self.connections_len.get() - 1);
    }

    async fn request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let begun = Instant::now();
        let (head, body) = request.into_parts();
        let mut response = match self.serve(begun, head, body).await {
            Ok(response) => response,
            Err((status, text)) => plain(status, text),
        };
        if *self.closing.borrow() != DrainState::Open {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    async fn serve(
        &self,
        begun: Instant,
        head: http::request::Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, (StatusCode, String)> {
        let bad = |error: &dyn std::fmt::Display| (StatusCode::BAD_REQUEST, error.to_string());
        let call = self
            .shared
            .dialect
            .parse_request(&head)
            .map_err(|error| bad(&error))?;
        let wait = call.deadline_ms.map_or(BODY_TIMEOUT, Millis::duration);
        let body = self.body(body, wait).await?;
        let (id, commands) = self.shared.hub.open();
        let event = DispatchEvent::Arrived(Box::new(Call {
            id,
            request_id: Arc::clone(&call.request_id),
            host: call.host,
            path: head.uri.path().to_owned(),
            key: call.key,
            deadline_ms: call.deadline_ms,
            prompt: call.prompt,
            age_ms: Millis::new(begun.elapsed().as_millis() as u64),
        }));
        let task = CallTask {
            shared: Rc::clone(&self.shared),
            id,
            request_id: call.request_id,
            head,
            body,
            commands,
        };
        let (sender, response) = oneshot::channel();
        self.shared.hub.send_event(event);
        spawn_local(task.run(sender));
        let gone = |_| (StatusCode::BAD_GATEWAY, "the daemon stops".to_owned());
        response.await.map_err(gone)
    }

    async fn body(&self, body: Incoming, wait: Duration) -> Result<Bytes, (StatusCode, String)> {
        let limited = Limited::new(body, self.limits().body_max_bytes);
        match timeout(wait, limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err((
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long".to_owned(),
            )),
            Ok(Err(error)) => Err((StatusCode::BAD_REQUEST, error.to_string())),
            Err(_) => Err((
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive".to_owned(),
            )),
        }
    }

    fn limits(&self) -> CallerLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
