//! Listens for callers.

use super::{
    answer::{AnswerHead, HttpCaller, ModelStyle, Watch},
    body, ticket, CheckedCall, HttpLimits, Payload, RawCall, RequestError,
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

/// Longest id of a caller that is echoed, in bytes.
const ECHOED_ID_MAX_BYTES: usize = 128;

/// Renders the metrics page.
pub trait MetricsPage: fmt::Debug + Send + Sync {
    /// All metrics in the Prometheus text format.
    fn render(&self) -> String;
}

/// Serves callers.
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
    /// Listens on `address` and serves until it is stopped.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
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
            let _place = Place::take(&shared.open_count);
            shared.serve(request);
        };
        let listener = HttpListener::start(address, limits.io_time_ms.duration(), serve)?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Takes no more requests. Those that are open go on.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

/// A place among the open requests, given back also where the thread panics.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(open_count: &'a AtomicUsize) -> Self {
        open_count.fetch_add(1, Ordering::Relaxed);
        Self(open_count)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn serve(&self, mut request: Request) {
        let id = self.hub.next_id();
        let raw = self.read(&mut request);
        let head = answer_head(id, &request, raw.as_ref().ok());
        let watch = request.remote_addr().map(|remote| Watch {
            remote: *remote,
            disconnects: Arc::clone(&self.disconnects),
        });
        let mut caller = HttpCaller::new(request.into_writer(), head, watch);
        let served = match raw {
            Ok(raw) => self.answer(id, &raw, &mut caller),
            Err(error) => Err(error),
        };
        if let Err(error) = served {
            // A caller that is gone needs no refusal.
            let _ = caller.refuse_with(error.status(), &error.refusal());
        }
    }

    fn read(&self, request: &mut Request) -> Result<RawCall, RequestError> {
        let max_requests = self.limits.open_max_requests;
        if self.open_count.load(Ordering::Relaxed) > max_requests {
            return Err(RequestError::TooManyRequests { max_requests });
        }
        let mut raw = body::head(request, &self.limits)?;
        raw.body = body::body(request, &self.limits)?;
        Ok(raw)
    }

    fn answer(
        &self,
        id: RequestId,
        raw: &RawCall,
        caller: &mut HttpCaller,
    ) -> Result<(), RequestError> {
        // A caller that is gone needs no page.
        let _ = match (raw.method.as_str(), raw.path()) {
            ("GET" | "HEAD", "/healthz") => caller.whole(200, "text/plain", &[], b"ok\n"),
            ("GET" | "HEAD", "/readyz") => self.ready_page(caller),
            ("GET" | "HEAD", "/metrics") => {
                let text = self.metrics_page.render();
                caller.whole(200, "text/plain; version=0.0.4", &[], text.as_bytes())
            }
            ("POST", "/tickets") => ticket::give(&self.hub, id, caller),
            _ => return self.forward(id, raw, caller),
        };
        Ok(())
    }

    fn ready_page(&self, caller: &mut HttpCaller) -> Result<(), CallerDisconnected> {
        let readiness = self.hub.readiness();
        let status = if readiness.ready { 200 } else { 503 };
        let body = json!({"ready": readiness.ready, "notes": readiness.notes}).to_string();
        caller.whole(status, "application/json", &[], body.as_bytes())
    }

    fn forward(
        &self,
        id: RequestId,
        raw: &RawCall,
        caller: &mut HttpCaller,
    ) -> Result<(), RequestError> {
        let call = CheckedCall::try_from((id, raw, &self.limits))?;
        if let Payload::Model(model) = &call.payload {
            caller.set_style(ModelStyle {
                model: model.model.clone(),
                format: model.format,
                stream: model.stream,
            });
        }
        RequestWorker::run(&self.hub, &call, caller as &mut dyn Caller);
        Ok(())
    }
}

fn answer_head(id: RequestId, request: &Request, raw: Option<&RawCall>) -> AnswerHead {
    let echoed = raw.and_then(|raw| raw.header("X-Request-Id"));
    let echoed = echoed.filter(|text| {
        !text.is_empty()
            && text.len() <= ECHOED_ID_MAX_BYTES
            && text.chars().all(|c| c.is_ascii_graphic())
    });
    AnswerHead {
        request: id,
        echoed_id: echoed.map_or_else(|| id.to_string(), str::to_owned),
        head_only: *request.method() == Method::Head,
        chunks: *request.http_version() >= (1, 1),
    }
}
