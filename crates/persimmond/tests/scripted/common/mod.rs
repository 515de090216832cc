//! A scripted core, a fake upstream and a minimal HTTP client.

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

/// Longest wait of a test for any event.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Core that starts one attempt for each request and ends the request with the attempt's result.
struct ScriptedCore {
    events: Sender<Event>,
}

impl ControlCore for ScriptedCore {
    fn handle(&mut self, _now: Time, event: Event, actions: &mut Vec<Action>) {
        match &event {
            Event::Tick => return,
            Event::Request(spec) => actions.push(Action::StartAttempt(Box::new(plan(spec)))),
            Event::AttemptEnded { attempt, end } => actions.push(Action::EndRequest {
                request: attempt.request,
                end: final_response(end),
            }),
            Event::TicketRequested { request } => actions.push(Action::Ticket {
                request: *request,
                key: "ticket-1".parse().unwrap(),
            }),
            Event::Shutdown => actions.push(Action::Exit),
            _ => {}
        }
        let _ = self.events.send(event);
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

fn final_response(end: &AttemptResult) -> FinalResponse {
    match end {
        AttemptResult::Complete { .. } => FinalResponse::Complete,
        AttemptResult::Failed { error, .. } => {
            let refusal = Refusal::unknown(RefusalCode::UpstreamFailed, error.to_string());
            FinalResponse::Refused(refusal.retry_after(Millis::new(1500)))
        }
    }
}

/// Next item of a fake stream.
pub(crate) type FakeStreamItem = Result<StreamItem, UpstreamError>;

/// Upstream whose streams all return the items sent by the test.
#[derive(Debug)]
struct FakeUpstream {
    items: Receiver<FakeStreamItem>,
}

struct FakeStream(Receiver<FakeStreamItem>);

impl TokenStream for FakeStream {
    fn next_item(&mut self) -> FakeStreamItem {
        self.0
            .recv_timeout(TEST_TIMEOUT)
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

/// Platform that is unavailable.
#[derive(Debug)]
struct UnavailablePlatform;

impl PlatformClient for UnavailablePlatform {
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

/// A daemon with a scripted core, and channels to control and observe it.
pub(crate) struct Harness {
    pub(crate) daemon: DaemonHandle,
    pub(crate) stream_items: Sender<FakeStreamItem>,
    pub(crate) events: Receiver<Event>,
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
        platform: Arc::new(UnavailablePlatform),
        upstream: Arc::new(FakeUpstream {
            items: flume::unbounded().1,
        }),
        telemetry: Arc::new(Telemetry::new().unwrap()),
    }
}

impl Harness {
    pub(crate) fn start() -> Self {
        let (event_sender, events) = flume::unbounded();
        let (stream_items, item_receiver) = flume::unbounded();
        let mut dependencies = fake_dependencies(Box::new(move |_| {
            Box::new(ScriptedCore {
                events: event_sender,
            })
        }));
        dependencies.upstream = Arc::new(FakeUpstream {
            items: item_receiver,
        });
        Self {
            daemon: Daemon::start(settings(), dependencies).unwrap(),
            stream_items,
            events,
        }
    }

    /// Opens a connection and sends a request unchanged.
    pub(crate) fn send(&self, request: &str) -> BufReader<TcpStream> {
        let mut stream = TcpStream::connect(self.daemon.addresses().callers).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        BufReader::new(stream)
    }

    /// Sends a POST request with a workspace and reads the complete response.
    pub(crate) fn post(&self, path: &str, body: &str) -> String {
        read_response(self.send(&post(path, body)))
    }

    /// Body of a page.
    pub(crate) fn get_page(&self, path: &str) -> String {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let answer = read_response(self.send(&request));
        let (_, body) = answer.split_once("\n\n").expect("no body");
        body.trim_end().to_owned()
    }

    pub(crate) fn send_token(&self, offset: u64, text: &str) {
        let token = OutputToken {
            offset_tokens: Tokens::new(offset),
            token: text.to_owned().into(),
        };
        self.stream_items
            .send(Ok(StreamItem::Token(token)))
            .unwrap();
    }

    pub(crate) fn send_done(&self, count: u64) {
        let output_tokens = Tokens::new(count);
        self.stream_items
            .send(Ok(StreamItem::Done { output_tokens }))
            .unwrap();
    }

    /// Waits for the first event for which `select` returns a value.
    pub(crate) fn wait_for_event<T>(&self, select: impl Fn(&Event) -> Option<T>) -> T {
        loop {
            let event = self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .expect("the expected event did not arrive in time");
            if let Some(found) = select(&event) {
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

/// Reads lines up to the first one that contains `wanted`.
pub(crate) fn read_until(reader: &mut BufReader<TcpStream>, wanted: &str) -> String {
    let mut line = String::new();
    while !line.contains(wanted) {
        line.clear();
        let length = reader.read_line(&mut line).unwrap();
        assert!(length > 0, "the response ended before {wanted:?}");
    }
    line
}

/// Reads the complete response and replaces the random request id.
pub(crate) fn read_response(mut reader: BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    reader.read_to_end(&mut bytes).unwrap();
    mask_request_id(&String::from_utf8(bytes).unwrap())
}

fn mask_request_id(text: &str) -> String {
    let mut masked = text.replace('\r', "");
    if let Some(at) = masked.find("X-Persimmon-Request: ") {
        let from = at + "X-Persimmon-Request: ".len();
        let id = masked[from..from + 32].to_owned();
        masked = masked.replace(&id, "ID");
    }
    masked
}
