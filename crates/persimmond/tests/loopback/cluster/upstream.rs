//! A fake upstream that serves as model engine and as plain service.

use super::{answer, body, serve};
use chunked_transfer::Encoder;
use persimmon_core::{
    ids::{FencingNumber, RequestId},
    units::KvBytes,
    upstream::{CacheBatch, LoadReport, OrderKind},
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    thread,
    time::Duration,
};
use tiny_http::Request;

/// The model loaded on each engine.
pub(crate) const MODEL: &str = "m@1";

/// KV memory requests_holding_memory by each request.
const KV_BYTES: KvBytes = KvBytes::new(1 << 20);

/// Interval at which a hanging stream checks whether it may continue.
const HANG_POLL: Duration = Duration::from_millis(5);

/// A fake upstream. It keeps the memory of a stream whose reader has disconnected until it receives a
/// cancel order.
#[derive(Clone)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    token_ms: AtomicU64,
    breaks_count: AtomicU64,
    hangs: AtomicBool,
    counts: Mutex<Counts>,
}

/// Requests received by the upstream.
#[derive(Clone, Default)]
pub(crate) struct Counts {
    pub(crate) requests_holding_memory: BTreeSet<RequestId>,
    pub(crate) streams_count: u64,
    pub(crate) runs_by_key: BTreeMap<String, u64>,
    fencing: Option<FencingNumber>,
}

#[derive(Deserialize)]
struct OrderBody {
    fencing: FencingNumber,
    kind: OrderKind,
}

#[derive(Deserialize)]
struct Completion {
    max_tokens: u64,
}

/// Writer that flushes after each write, because the connection's writer buffers.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush().map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Upstream {
    pub(crate) fn start() -> Self {
        let state = Arc::new(State::default());
        let served = Arc::clone(&state);
        let address = serve(move |request| served.serve(request));
        Self { address, state }
    }

    /// Sets the time between two tokens.
    pub(crate) fn set_token_interval(&self, token_ms: u64) {
        self.state.token_ms.store(token_ms, Ordering::Relaxed);
    }

    /// Sets whether streams hang, that is send no tokens.
    pub(crate) fn set_hanging(&self, hangs: bool) {
        self.state.hangs.store(hangs, Ordering::Relaxed);
    }

    /// Breaks all streams and releases their memory, as a crash of the engine does.
    pub(crate) fn break_streams(&self) {
        self.state.breaks_count.fetch_add(1, Ordering::Relaxed);
        self.state.lock().requests_holding_memory.clear();
    }

    pub(crate) fn counts(&self) -> Counts {
        self.state.lock().clone()
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }

    fn serve(&self, mut request: Request) {
        let body = body(&mut request);
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match path.as_str() {
            "/v1/completions" => self.stream(request, &body),
            "/control/orders" => self.order(request, &body),
            "/control/load" => answer(request, 200, &self.load()),
            "/control/cache" => answer(request, 200, &CacheBatch::default()),
            _ => self.run(request),
        }
    }

    fn load(&self) -> LoadReport {
        let counts = self.lock();
        LoadReport {
            in_flight_requests: counts.requests_holding_memory.len() as u32,
            kv_held_bytes: KvBytes::new(
                counts.requests_holding_memory.len() as u64 * KV_BYTES.get(),
            ),
            requests: counts.requests_holding_memory.clone(),
            models: BTreeMap::from([(MODEL.parse().unwrap(), BTreeSet::new())]),
            fencing: counts.fencing,
            ..LoadReport::default()
        }
    }

    fn order(&self, request: Request, body: &[u8]) {
        let order: OrderBody = serde_json::from_slice(body).unwrap();
        let mut counts = self.lock();
        counts.fencing = counts.fencing.max(Some(order.fencing));
        if let OrderKind::Cancel { request } = order.kind {
            counts.requests_holding_memory.remove(&request);
        }
        drop(counts);
        answer(request, 200, &json!({}));
    }

    fn run(&self, request: Request) {
        let key = header(&request, "Idempotency-Key").unwrap_or_default();
        let run_count = {
            let mut counts = self.lock();
            let run_count = counts.runs_by_key.entry(key).or_default();
            *run_count += 1;
            *run_count
        };
        let url = request.url().to_owned();
        answer(request, 200, &json!({"path": url, "run": run_count}));
    }

    fn stream(&self, request: Request, body: &[u8]) {
        let call: Completion = serde_json::from_slice(body).unwrap();
        let id: RequestId = header(&request, "X-Request-Id").unwrap().parse().unwrap();
        let offset = header(&request, "X-Offset").unwrap().parse().unwrap();
        {
            let mut counts = self.lock();
            counts.streams_count += 1;
            counts.requests_holding_memory.insert(id);
        }
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let breaks_count = self.breaks_count.load(Ordering::Relaxed);
        let mut out = Encoder::with_flush_after_write(Flushing(writer));
        for token in offset..call.max_tokens {
            thread::sleep(Duration::from_millis(self.token_ms.load(Ordering::Relaxed)));
            let data = json!({"token": format!("t{token}"), "offset": token});
            while self.hangs.load(Ordering::Relaxed) {
                thread::sleep(HANG_POLL);
            }
            if self.breaks_count.load(Ordering::Relaxed) != breaks_count {
                return;
            }
            let sent = write!(out, "id: {token}\ndata: {data}\n\n");
            if sent.is_err() || !self.lock().requests_holding_memory.contains(&id) {
                return;
            }
        }
        let data = json!({"done": true, "output_tokens": call.max_tokens});
        if write!(out, "data: {data}\n\n").is_ok() {
            self.lock().requests_holding_memory.remove(&id);
        }
    }
}

fn header(request: &Request, name: &str) -> Option<String> {
    let mut headers = request.headers().iter();
    let found = headers.find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.to_string())
}
