//! A scripted core, a fake upstream and a bare HTTP client.

use flume::{Receiver, Sender};
use persimmon_core::{
    ids::{AttemptId, AttemptNumber},
    message::Member,
    operator::StatusReport,
    platform::{ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord},
    request::{
        AttemptPlan, AttemptResult, FinalResponse, Priority, Refusal, RefusalCode, RequestSpec,
        StoredResult, UpstreamError,
    },
    units::{Millis, Time, Tokens},
    upstream::{CacheBatch, LoadReport, Order},
    Action, Event,
};
use persimmon_io::{
    link::LocalNetwork,
    platform::PlatformClient,
    settings::{parse, Settings},
    telemetry::Telemetry,
    upstream::{OutputToken, ServiceCall, StreamCall, StreamItem, TokenStream, UpstreamClient},
};
use persimmond::{ControlCore, CoreFactory, Daemon, DaemonHandle, Dependencies};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::Arc,
    time::Duration,
};

/// Longest wait of a test for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Grants each request one attempt and passes its end on.
struct ScriptedCore {
    seen: Sender<Event>,
}

impl ControlCore for ScriptedCore {
    fn handle(&mut self, _now: Time, event: Event, actions: &mut Vec<Action>) {
        match &event {
            Event::Tick => return,
            Event::Request(spec) => actions.push(Action::StartAttempt(Box::new(plan(spec)))),
            Event::AttemptEnded { attempt, end } => actions.push(Action::EndRequest {
                request: attempt.request,
                end: caller_end(end),
            }),
            Event::TicketRequested { request } => actions.push(Action::Ticket {
                request: *request,
                key: "ticket-1".parse().unwrap(),
            }),
            Event::Shutdown => actions.push(Action::Exit),
            _ => {}
        }
        let _ = self.seen.send(event);
    }

    fn next_wakeup(&self) -> Option<Time> {
        None
    }

    fn status(&self) -> Option<StatusReport> {
        None
    }
}

fn plan(spec: &RequestSpec) -> AttemptPlan {
    AttemptPlan {
        attempt: AttemptId {
            request: spec.id,
            number: AttemptNumber::new(0),
        },
        upstream: "engine-1".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        model: None,
        fencing: None,
        offset_tokens: Tokens::ZERO,
        resume: false,
        priority: Priority(0),
        remaining_ms: spec.timeout_ms,
    }
}

fn caller_end(end: &AttemptResult) -> FinalResponse {
    match end {
        AttemptResult::Complete { .. } => FinalResponse::Complete,
        AttemptResult::Failed { error, .. } => {
            let refusal = Refusal::unknown(RefusalCode::UpstreamFailed, error.to_string());
            FinalResponse::Refused(refusal.retry_after(Millis::new(1500)))
        }
    }
}

/// What a fake stream gives next.
pub(crate) type FakeItem = Result<StreamItem, UpstreamError>;

/// An upstream whose streams all give what the test sends.
#[derive(Debug)]
struct FakeUpstream {
    items: Receiver<FakeItem>,
}

struct FakeStream(Receiver<FakeItem>);

impl TokenStream for FakeStream {
    fn next_item(&mut self) -> FakeItem {
        self.0
            .recv_timeout(PATIENCE)
            .unwrap_or(Err(UpstreamError::Timeout))
    }
}

impl UpstreamClient for FakeUpstream {
    fn open_stream(&self, _: &StreamCall) -> Result<Box<dyn TokenStream>, UpstreamError> {
        Ok(Box::new(FakeStream(self.items.clone())))
    }

    fn call_service(&self, call: &ServiceCall) -> Result<StoredResult, UpstreamError> {
        let body = format!("{} {} {}", call.method, call.path, call.body.len());
        Ok(StoredResult {
            status: 201,
            content_type: "text/plain".into(),
            body: body.into(),
        })
    }

    fn order(&self, _: &Order) -> Result<(), UpstreamError> {
        Ok(())
    }

    fn load(&self, _: SocketAddr) -> Result<LoadReport, UpstreamError> {
        Err(UpstreamError::Refused)
    }

    fn cache(&self, _: SocketAddr, _: Option<u64>) -> Result<CacheBatch, UpstreamError> {
        Err(UpstreamError::Refused)
    }
}

/// A platform that is down.
#[derive(Debug)]
struct NoPlatform;

impl PlatformClient for NoPlatform {
    fn table(&self, _: &TableOp) -> Result<TableAnswer, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    fn object(&self, _: &ObjectOp) -> Result<TableAnswer, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

/// A daemon with a scripted core.
pub(crate) struct Bench {
    pub(crate) daemon: DaemonHandle,
    pub(crate) items: Sender<FakeItem>,
    pub(crate) seen: Receiver<Event>,
}

pub(crate) fn settings() -> Settings {
    let text = include_bytes!("settings.json");
    parse(Path::new("settings.json"), text).unwrap()
}

/// Dependencies of a daemon without peers, platform and upstreams.
pub(crate) fn fake_dependencies(core_factory: CoreFactory) -> Dependencies {
    let network = LocalNetwork::default();
    Dependencies {
        core_factory,
        link_factory: Box::new(move |vm, incarnation, inbox| {
            let member = Member {
                vm: vm.clone(),
                incarnation,
                domain: "taichung-a".parse().unwrap(),
                peer_address: "127.0.0.1:7000".parse().unwrap(),
            };
            Ok(Arc::new(network.join(&member, inbox)))
        }),
        platform: Arc::new(NoPlatform),
        upstream: Arc::new(FakeUpstream {
            items: flume::unbounded().1,
        }),
        telemetry: Arc::new(Telemetry::new().unwrap()),
    }
}

impl Bench {
    pub(crate) fn start() -> Self {
        let (seen_sender, seen) = flume::unbounded();
        let (items, item_receiver) = flume::unbounded();
        let mut dependencies = fake_dependencies(Box::new(move |_| {
            Box::new(ScriptedCore { seen: seen_sender })
        }));
        dependencies.upstream = Arc::new(FakeUpstream {
            items: item_receiver,
        });
        Self {
            daemon: Daemon::start(settings(), dependencies).unwrap(),
            items,
            seen,
        }
    }

    /// Opens a connection and sends a request as it stands.
    pub(crate) fn send(&self, request: &str) -> BufReader<TcpStream> {
        let mut stream = TcpStream::connect(self.daemon.addresses().callers).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        BufReader::new(stream)
    }

    /// Sends a POST with a workspace and reads the whole answer.
    pub(crate) fn post(&self, path: &str, body: &str) -> String {
        whole(self.send(&post(path, body)))
    }

    /// The body of a page.
    pub(crate) fn page(&self, path: &str) -> String {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let answer = whole(self.send(&request));
        let (_, body) = answer.split_once("\n\n").expect("no body");
        body.trim_end().to_owned()
    }

    pub(crate) fn token(&self, offset: u64, text: &str) {
        let piece = OutputToken {
            offset_tokens: Tokens::new(offset),
            token: text.to_owned().into(),
        };
        self.items.send(Ok(StreamItem::Token(piece))).unwrap();
    }

    pub(crate) fn done(&self, count: u64) {
        let output_tokens = Tokens::new(count);
        self.items
            .send(Ok(StreamItem::Done { output_tokens }))
            .unwrap();
    }

    /// Waits for the first event that `wanted` takes.
    pub(crate) fn wait<T>(&self, wanted: impl Fn(&Event) -> Option<T>) -> T {
        loop {
            let event = self
                .seen
                .recv_timeout(PATIENCE)
                .expect("no such event in time");
            if let Some(found) = wanted(&event) {
                return found;
            }
        }
    }

    pub(crate) fn stop(self) {
        self.daemon.stop();
        assert!(self.daemon.join(), "the control thread panicked");
    }
}

pub(crate) fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Workspace: team-1\r\n\
         X-Request-Id: my-id\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads lines up to one that contains `wanted`.
pub(crate) fn read_until(reader: &mut BufReader<TcpStream>, wanted: &str) -> String {
    let mut line = String::new();
    while !line.contains(wanted) {
        line.clear();
        let length = reader.read_line(&mut line).unwrap();
        assert!(length > 0, "the answer ended before {wanted:?}");
    }
    line
}

/// Reads the whole answer, with the daemon's random ids replaced.
pub(crate) fn whole(mut reader: BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    reader.read_to_end(&mut bytes).unwrap();
    mask(&String::from_utf8(bytes).unwrap())
}

fn mask(text: &str) -> String {
    let mut masked = text.replace('\r', "");
    if let Some(at) = masked.find("X-Persimmon-Request: ") {
        let from = at + "X-Persimmon-Request: ".len();
        let id = masked[from..from + 32].to_owned();
        masked = masked.replace(&id, "ID");
    }
    masked
}
