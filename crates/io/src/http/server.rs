//! Listens for callers.

use super::{
    answer::{AnswerHead, HttpCaller, ModelStyle},
    body, CheckedCall, HttpLimits, Payload, RawCall, RequestError,
};
use crate::traffic::{Caller, TrafficHub, Worker};
use persimmon_core::ids::RequestId;
use serde_json::json;
use std::{
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
};
use tiny_http::{Method, Request, Server};

/// Longest id of a caller that is echoed, in bytes.
const ECHOED_ID_MAX_BYTES: usize = 128;

/// Renders the metrics page.
pub trait Pages: fmt::Debug + Send + Sync {
    /// The metrics in Prometheus text form.
    fn metrics(&self) -> String;
}

/// Serves callers.
pub struct CallerServer {
    address: SocketAddr,
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl fmt::Debug for CallerServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

struct Shared {
    hub: Arc<TrafficHub>,
    limits: HttpLimits,
    pages: Arc<dyn Pages>,
    open_count: AtomicUsize,
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
        pages: Arc<dyn Pages>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let stopped = Arc::new(AtomicBool::new(false));
        let shared = Arc::new(Shared {
            hub,
            limits,
            pages,
            open_count: AtomicUsize::new(0),
        });
        let accept = {
            let (server, stopped) = (Arc::clone(&server), Arc::clone(&stopped));
            move || accept(&server, &stopped, &shared)
        };
        Ok(Self {
            address,
            server,
            stopped,
            acceptor: Some(thread::spawn(accept)),
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more requests. Those that are open go on.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor has already been printed.
            let _ = acceptor.join();
        }
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept(server: &Server, stopped: &AtomicBool, shared: &Arc<Shared>) {
    while !stopped.load(Ordering::Relaxed) {
        let Ok(request) = server.recv() else {
            continue;
        };
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            let _place = Place::take(&shared.open_count);
            shared.serve(request);
        });
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
        let mut caller = HttpCaller::new(request.into_writer(), head);
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
            return Err(RequestError::TooMany { max_requests });
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
                let text = self.pages.metrics();
                caller.whole(200, "text/plain; version=0.0.4", &[], text.as_bytes())
            }
            _ => return self.forward(id, raw, caller),
        };
        Ok(())
    }

    fn ready_page(&self, caller: &mut HttpCaller) -> Result<(), crate::traffic::CallerClosed> {
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
                form: model.form,
                stream: model.stream,
            });
        }
        Worker::run(&self.hub, &call, caller as &mut dyn Caller);
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
