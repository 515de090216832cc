//! HTTP server for callers.

use super::{
    check, request_reader,
    response::{CompletionStyle, HttpCaller, ResponseHead},
    ticket, CheckedCall, HttpLimits, Payload, RawCall, RequestError,
};
use crate::{
    listener::{
        BodyLimits, BodyRefusal, HttpListener, ListenerLimits, Received, Responder, Service,
    },
    traffic::{Caller, CallerDisconnected, RequestWorker, TrafficHub},
};
use bytes::Bytes;
use http::{request::Parts, Response};
use persimmon_core::ids::RequestId;
use serde_json::json;
use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

/// Longest `X-Request-Id` of a caller that is echoed.
const ECHOED_ID_MAX_BYTES: usize = 128;

/// Renders the metrics page.
pub trait MetricsPage: fmt::Debug + Send + Sync {
    /// All metrics in the Prometheus text format.
    fn render(&self) -> String;
}

/// HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: HttpListener,
}

struct Shared {
    hub: Arc<TrafficHub>,
    limits: HttpLimits,
    metrics_page: Arc<dyn MetricsPage>,
    open_count: Arc<AtomicUsize>,
}

impl CallerServer {
    /// Binds `address` and serves until [`stop`](Self::stop) is called.
    ///
    /// # Errors
    ///
    /// `address` can't be bound.
    pub fn start(
        address: SocketAddr,
        limits: HttpLimits,
        hub: Arc<TrafficHub>,
        metrics_page: Arc<dyn MetricsPage>,
    ) -> io::Result<Self> {
        let shared = Shared {
            hub,
            limits,
            metrics_page,
            open_count: Arc::default(),
        };
        let limits = ListenerLimits {
            requests_max_len: limits.open_max_requests,
            head_max_bytes: limits.head_max_bytes,
            bodies_max_bytes: limits.bodies_max_bytes,
            io_time: limits.io_time_ms.duration(),
        };
        let listener = HttpListener::start(address, limits, shared)?;
        Ok(Self { listener })
    }

    /// The address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts no more requests. Open requests continue.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

/// One open request, which counts until it is dropped, also when its thread panics.
#[derive(Debug)]
struct OpenRequest {
    id: RequestId,
    open_count: Arc<AtomicUsize>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Service for Shared {
    type Open = OpenRequest;

    fn open(&self) -> OpenRequest {
        self.open_count.fetch_add(1, Ordering::Relaxed);
        OpenRequest {
            id: self.hub.next_id(),
            open_count: Arc::clone(&self.open_count),
        }
    }

    fn admit(&self, open: &OpenRequest, head: &Parts) -> Result<BodyLimits, Box<Response<Bytes>>> {
        let checked = self.check_head(head);
        checked.map_err(|error| Box::new(response_head(open.id, head).refusal(&error)))
    }

    fn refusal(&self, open: &OpenRequest, head: &Parts, refusal: BodyRefusal) -> Response<Bytes> {
        let max_bytes = self.limits.body_max_bytes;
        let error = match refusal {
            BodyRefusal::TooLong => RequestError::BodyTooLarge { max_bytes },
            BodyRefusal::TimedOut => RequestError::BodyTimeout {
                within: self.limits.body_time_ms,
            },
            BodyRefusal::Truncated => RequestError::BodyTruncated,
            BodyRefusal::NoRoom => RequestError::NoRoomForBody {
                max_bytes: self.limits.bodies_max_bytes,
            },
        };
        response_head(open.id, head).refusal(&error)
    }

    fn serve(&self, open: OpenRequest, request: Received, responder: Responder) {
        let Received { head, body } = request;
        let mut caller = HttpCaller::new(responder, response_head(open.id, &head));
        let raw = request_reader::read_head(&head, &self.limits);
        let served = raw.and_then(|raw| {
            let raw = RawCall { body, ..raw };
            self.respond(open.id, &raw, &mut caller)
        });
        if let Err(error) = served {
            // A failed write means that the caller has disconnected; nobody is left to refuse.
            let _ = caller.refuse_with_status(error.status(), &error.refusal());
        }
    }
}

impl Shared {
    /// Checks what the head of a request tells.
    fn check_head(&self, head: &Parts) -> Result<BodyLimits, RequestError> {
        let max_requests = self.limits.open_max_requests;
        if self.open_count.load(Ordering::Relaxed) > max_requests {
            return Err(RequestError::TooManyRequests { max_requests });
        }
        let raw = request_reader::read_head(head, &self.limits)?;
        if !is_own_page(&raw) {
            check::head(&raw, &self.limits)?;
        }
        Ok(BodyLimits {
            max_bytes: self.limits.body_max_bytes,
            within: self.limits.body_time_ms.duration(),
        })
    }

    /// Serves the daemon's own pages and tickets; other requests go to the core.
    fn respond(
        &self,
        id: RequestId,
        raw: &RawCall,
        caller: &mut HttpCaller,
    ) -> Result<(), RequestError> {
        // A failed write means that the caller has disconnected; the page is not needed any more.
        let _ = match (raw.method.as_str(), raw.path()) {
            ("GET" | "HEAD", "/healthz") => caller.send_response(200, "text/plain", &[], b"ok\n"),
            ("GET" | "HEAD", "/readyz") => self.send_readiness(caller),
            ("GET" | "HEAD", "/metrics") => {
                let text = self.metrics_page.render();
                caller.send_response(200, "text/plain; version=0.0.4", &[], text.as_bytes())
            }
            ("POST", "/tickets") => ticket::issue(&self.hub, id, caller),
            _ => return self.run_call(id, raw, caller),
        };
        Ok(())
    }

    fn send_readiness(&self, caller: &mut HttpCaller) -> Result<(), CallerDisconnected> {
        let readiness = self.hub.readiness();
        let status = if readiness.ready { 200 } else { 503 };
        let body = json!({"ready": readiness.ready, "notes": readiness.notes}).to_string();
        caller.send_response(status, "application/json", &[], body.as_bytes())
    }

    /// Checks the request and runs it to its end on this thread.
    fn run_call(
        &self,
        id: RequestId,
        raw: &RawCall,
        caller: &mut HttpCaller,
    ) -> Result<(), RequestError> {
        let call = CheckedCall::try_from((id, raw, &self.limits))?;
        if let Payload::Model(model) = &call.payload {
            caller.set_style(CompletionStyle {
                model: model.model.clone(),
                format: model.format,
                stream: model.stream,
            });
        }
        RequestWorker::run(&self.hub, &call, caller as &mut dyn Caller);
        Ok(())
    }
}

/// Whether the daemon itself answers a request.
fn is_own_page(raw: &RawCall) -> bool {
    matches!(
        (raw.method.as_str(), raw.path()),
        ("GET" | "HEAD", "/healthz" | "/readyz" | "/metrics") | ("POST", "/tickets")
    )
}

fn response_head(id: RequestId, head: &Parts) -> ResponseHead {
    let echoed = head.headers.get("X-Request-Id");
    let echoed = echoed.and_then(|value| value.to_str().ok());
    let echoed = echoed.filter(|text| {
        !text.is_empty()
            && text.len() <= ECHOED_ID_MAX_BYTES
            && text.chars().all(|c| c.is_ascii_graphic())
    });
    ResponseHead {
        request: id,
        echoed_id: echoed.map_or_else(|| id.to_string(), str::to_owned),
    }
}
