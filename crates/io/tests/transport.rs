//! Callers and upstreams over loopback: what callers see when either side misbehaves.

use bytes::Bytes;
use flume::Receiver;
use http::{request, response, HeaderMap, HeaderValue, Request, StatusCode};
use insta::assert_snapshot;
use persimmon_core::{
    dispatch::{DispatchEvent, Refusal, RefusalReason, ReserveOrder, SendOutcome, SendPlan},
    ids::{CallId, SendId},
    units::Millis,
};
use persimmon_io::transport::{
    CallCommand, CallerListener, Dialect, DrainState, ForwardContext, Hub, Pool, RequestHead,
    RequestHeadError, ResponseHead,
};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::watch,
    task::{spawn_local, LocalSet},
    time::timeout,
};

/// Longest time that any step of a test may take.
const STEP: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct TestDialect;

impl Dialect for TestDialect {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError> {
        let request_id = head
            .headers
            .get("x-id")
            .ok_or(RequestHeadError::Missing("x-id"))?;
        Ok(RequestHead {
            request_id: request_id.to_str().unwrap().into(),
            host: "cells.example".into(),
            key: None,
            deadline_ms: Some(Millis::new(5_000)),
            prompt: None,
        })
    }

    fn upstream_headers(&self, _: &request::Parts, context: &ForwardContext<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(last) = context.last_event_id {
            headers.insert("x-last", HeaderValue::from_str(last).unwrap());
        }
        headers
    }

    fn parse_response(&self, head: &response::Parts) -> ResponseHead {
        let request_id = head
            .headers
            .get("x-id")
            .map(|request_id| request_id.to_str().unwrap().to_owned());
        ResponseHead {
            request_id,
            signed: head.headers.contains_key("x-signed"),
            not_run: head.headers.contains_key("x-not-run"),
            ..ResponseHead::default()
        }
    }

    fn order_request(&self, _: &ReserveOrder) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap) {
        let status = if refusal.may_have_run { 502 } else { 503 };
        (StatusCode::from_u16(status).unwrap(), HeaderMap::new())
    }
}

struct Site {
    hub: Arc<Hub>,
    events: Receiver<DispatchEvent>,
    address: SocketAddr,
    last_send: SendId,
    closing: watch::Sender<DrainState>,
}

impl Site {
    async fn start() -> Self {
        let (sender, events) = flume::unbounded();
        let hub = Arc::new(Hub::new(sender));
        let (closing, closed) = watch::channel(DrainState::Open);
        let listener = CallerListener::new(
            Arc::clone(&hub),
            Rc::new(Pool::default()),
            Rc::new(TestDialect),
            CallerListener::default_limits(),
            100,
            closed,
        );
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        spawn_local(Rc::new(listener).accept(socket));
        Self {
            hub,
            events,
            address,
            last_send: SendId::default(),
            closing,
        }
    }

    /// A site with one caller, whose request has arrived.
    async fn begun() -> (Self, TcpStream, CallId) {
        let site = Self::start().await;
        let caller = site.caller().await;
        let call = site.arrived().await;
        (site, caller, call)
    }

    async fn event(&self) -> DispatchEvent {
        timeout(STEP, self.events.recv_async())
            .await
            .unwrap()
            .unwrap()
    }

    /// A caller's request, as far as the control thread sees it.
    async fn arrived(&self) -> CallId {
        match self.event().await {
            DispatchEvent::Arrived(call) => call.id,
            other => panic!("{other:?}"),
        }
    }

    /// How the transmission under way ends.
    async fn end(&self) -> SendOutcome {
        loop {
            match self.event().await {
                DispatchEvent::Ended { end, .. } => return end,
                DispatchEvent::FirstByte { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    fn send(&mut self, call: CallId, upstream: SocketAddr, streaming: bool) {
        self.last_send = self.last_send.next();
        let plan = SendPlan {
            call,
            send: self.last_send,
            upstream: "upstream-1".parse().unwrap(),
            address: upstream,
            connections_max_len: 10,
            workspace: None,
            deadline_ms: Millis::new(5_000),
            repeatable: true,
            streaming,
            first_byte_timeout_ms: Millis::new(5_000),
            pause_timeout_ms: Millis::new(5_000),
            helpers: Vec::new(),
        };
        self.hub
            .send_command(call, CallCommand::Send(Box::new(plan)));
    }

    fn give_up(&self, call: CallId) {
        let refusal = Refusal {
            reason: RefusalReason::UpstreamFailed,
            may_have_run: true,
            retry_after_ms: None,
        };
        self.hub.send_command(call, CallCommand::Refuse(refusal));
    }

    async fn caller(&self) -> TcpStream {
        let mut caller = TcpStream::connect(self.address).await.unwrap();
        let request = b"POST /x HTTP/1.1\r\nhost: a\r\nx-id: 7\r\ncontent-length: 2\r\n\r\nhi";
        caller.write_all(request).await.unwrap();
        caller
    }
}

/// An upstream that takes one request on each connection and then says what `says` holds.
async fn upstream(says: &'static [&'static [u8]]) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    spawn_local(async move {
        for answer in says {
            let (mut stream, _) = socket.accept().await.unwrap();
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head).await.unwrap();
            stream.write_all(answer).await.unwrap();
        }
    });
    address
}

/// All that a caller gets until its connection ends, or nothing more comes.
async fn all(mut caller: TcpStream) -> String {
    let mut got = Vec::new();
    let mut piece = [0; 4_096];
    while let Ok(Ok(len)) = timeout(Duration::from_millis(300), caller.read(&mut piece)).await {
        if len == 0 {
            got.extend_from_slice(b"(closed)");
            break;
        }
        got.extend_from_slice(&piece[..len]);
    }
    String::from_utf8(got).unwrap().replace("\r\n", "\n")
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn an_answer_is_passed_on_as_it_is() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let says: &[&[u8]] = &[b"HTTP/1.1 201 Created\r\nx-id: 7\r\nx-signed: 1\r\nkeep-alive: timeout=5\r\ncontent-length: 5\r\n\r\nwhole"];
        let upstream = upstream(says).await;
        site.send(call, upstream, false);
        assert_eq!(site.end().await, SendOutcome::Delivered);
        assert_snapshot!(all(caller).await, @"
        HTTP/1.1 201 Created
        x-id: 7
        x-signed: 1
        content-length: 5

        whole
        ");
    });
}

#[test]
fn an_answer_that_stops_short_is_no_answer() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let says: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nwho"];
        let upstream = upstream(says).await;
        site.send(call, upstream, false);
        assert!(matches!(site.end().await, SendOutcome::Lost { .. }));
        site.give_up(call);
        assert_snapshot!(all(caller).await, @"
        HTTP/1.1 502 Bad Gateway
        content-type: text/plain
        content-length: 16

        upstream_failed
        ");
    });
}

#[test]
fn an_answer_to_another_request_or_without_signature_is_no_answer() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let says: &[&[u8]] = &[
            b"HTTP/1.1 200 OK\r\nx-id: 6\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nno",
            b"HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 2\r\n\r\nno",
            b"what is this\r\n\r\n",
        ];
        let upstream = upstream(says).await;
        for _ in says {
            site.send(call, upstream, false);
            assert!(matches!(site.end().await, SendOutcome::Lost { .. }));
        }
        site.give_up(call);
        assert!(all(caller).await.starts_with("HTTP/1.1 502"));
    });
}

#[test]
fn a_caller_who_leaves_is_noticed_and_its_request_is_cut() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        site.send(call, socket.local_addr().unwrap(), false);
        let (mut sent, _) = socket.accept().await.unwrap();
        let mut head = [0; 4_096];
        let _ = sent.read(&mut head).await.unwrap();
        drop(caller);
        assert!(
            matches!(site.event().await, DispatchEvent::CallerLeft { call: left } if left == call)
        );
        let closed = timeout(STEP, sent.read(&mut head)).await.unwrap();
        assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    });
}

#[test]
fn a_stream_that_breaks_off_is_resumed_with_each_event_once() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let first: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n1c\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n"];
        let second: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nx-signed: 2\r\ntransfer-encoding: chunked\r\n\r\n2d\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"];
        let (first, second) = (upstream(first).await, upstream(second).await);
        site.send(call, first, true);
        assert!(matches!(site.end().await, SendOutcome::Lost { .. }));
        site.send(call, second, true);
        assert_eq!(site.end().await, SendOutcome::Delivered);
        assert_snapshot!(all(caller).await, @"
        HTTP/1.1 200 OK
        x-signed: 1
        transfer-encoding: chunked

        F
        id: 1
        data: a


        1E
        id: 2
        data: b

        id: 3
        data: c


        0
        ");
    });
}

#[test]
fn a_stream_that_can_not_go_on_does_not_look_whole() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let says: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\nda"];
        let upstream = upstream(says).await;
        site.send(call, upstream, true);
        assert!(matches!(site.end().await, SendOutcome::Lost { .. }));
        site.hub.send_command(call, CallCommand::Abort);
        assert_snapshot!(all(caller).await, @"
        HTTP/1.1 200 OK
        x-signed: 1
        transfer-encoding: chunked

        F
        id: 1
        data: a


        (closed)
        ");
    });
}

/// Whatever ends the task of a stream that has begun, only its last event makes it look whole.
#[test]
fn a_failure_after_the_first_event_does_not_end_a_stream() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        let first: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\n\r\nid: 1\ndata: a\n\nid:"];
        let second: &[&[u8]] =
            &[b"HTTP/1.1 500 Oops\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nno"];
        let (first, second) = (upstream(first).await, upstream(second).await);
        site.send(call, first, true);
        assert!(matches!(site.end().await, SendOutcome::Lost { .. }));
        site.send(call, second, true);
        assert!(matches!(site.end().await, SendOutcome::Failed { .. }));
        site.hub.send_command(call, CallCommand::PassFailure);
        let got = all(caller).await;
        assert!(got.contains("data: a") && !got.contains("\n0\n"), "{got}");
    });
}

/// Seen on a recorded day: callers went on using connections of a daemon that stopped, and were
/// refused there.
#[test]
fn answers_after_a_request_to_stop_are_the_last_of_their_connections() {
    run(async {
        let (mut site, caller, call) = Site::begun().await;
        site.closing.send_replace(DrainState::CloseAfterResponse);
        let says: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok"];
        let upstream = upstream(says).await;
        site.send(call, upstream, false);
        assert_snapshot!(all(caller).await, @"
        HTTP/1.1 200 OK
        x-signed: 1
        connection: close
        content-length: 2

        ok(closed)
        ");
    });
}

#[test]
fn an_upstream_that_can_not_be_reached_got_nothing() {
    run(async {
        let (mut site, _caller, call) = Site::begun().await;
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        drop(socket);
        site.send(call, address, false);
        assert!(matches!(site.end().await, SendOutcome::NotSent { .. }));
    });
}
