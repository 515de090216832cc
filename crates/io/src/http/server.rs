//! HTTP server for callers.

use super::{
    request_reader,
    response::{CompletionStyle, DisconnectWatch, HttpCaller, ResponseHead},
    ticket, CheckedCall, HttpLimits, Payload, RawCall, RequestError,
};
use crate::{
    listener::{DisconnectDetector, HttpListener},
    traffic::{Caller, CallerDisconnected, RequestWorker, TrafficHub},
};
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
use tiny_http::{Method, Request};

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
    open_count: AtomicUsize,
    disconnects: Arc<DisconnectDetector>,
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
            open_count: AtomicUsize::new(0),
            disconnects: Arc::default(),
        };
        let serve = move |request| {
            let _guard = OpenRequestGuard::new(&shared.open_count);
            shared.serve(request);
        };
        let listener = HttpListener::start(address, limits.io_time_ms.duration(), serve)?;
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

/// Counts one open request until it is dropped, also when the thread panics.
struct OpenRequestGuard<'a>(&'a AtomicUsize);

impl<'a> OpenRequestGuard<'a> {
    fn new(open_count: &'a AtomicUsize) -> Self {
        open_count.fetch_add(1, Ordering::Relaxed);
        Self(open_count)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn serve(&self, mut request: Request) {
        let id = self.hub.next_id();
        let raw = self.read(&mut request);
        let head = response_head(id, &request, raw.as_ref().ok());
        let disconnect_watch = request.remote_addr().map(|remote| DisconnectWatch {
            remote: *remote,
            disconnects: Arc::clone(&self.disconnects),
        });
        let mut caller = HttpCaller::new(request.into_writer(), head, disconnect_watch);
        let served = match raw {
            Ok(raw) => self.respond(id, &raw, &mut caller),
            Err(error) => Err(error),
        };
        if let Err(error) = served {
            // A failed write means that the caller has disconnected; nobody is left to refuse.
            let _ = caller.refuse_with_status(error.status(), &error.refusal());
        }
    }

    fn read(&self, request: &mut Request) -> Result<RawCall, RequestError> {
        let max_requests = self.limits.open_max_requests;
        if self.open_count.load(Ordering::Relaxed) > max_requests {
            return Err(RequestError::TooManyRequests { max_requests });
        }
        let mut raw = request_reader::read_head(request, &self.limits)?;
        raw.body = request_reader::read_body(request, &self.limits)?;
        Ok(raw)
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

fn response_head(id: RequestId, request: &Request, raw: Option<&RawCall>) -> ResponseHead {
    let echoed = raw.and_then(|raw| raw.header("X-Request-Id"));
    let echoed = echoed.filter(|text| {
        !text.is_empty()
            && text.len() <= ECHOED_ID_MAX_BYTES
            && text.chars().all(|c| c.is_ascii_graphic())
    });
    ResponseHead {
        request: id,
        echoed_id: echoed.map_or_else(|| id.to_string(), str::to_owned),
        head_only: *request.method() == Method::Head,
        is_chunked: *request.http_version() >= (1, 1),
    }
}
