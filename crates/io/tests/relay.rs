//! Connections to upstreams by way of a peer, over loopback: what the daemon whose own link is lost sees.

mod common;

use bytes::Bytes;
use common::{hanging, node, relaying_node, run, Node, STEP_TIMEOUT};
use http::{Request, Response};
use http_body_util::Full;
use insta::assert_debug_snapshot;
use persimmon_core::{
    dispatch::DispatchEvent,
    fleet::UpstreamIncarnation,
    ids::VmId,
    path::{PathEnd, PathPlan, PathReport, UpstreamPath},
    units::Millis,
};
use persimmon_io::{
    peer::{KeyPairPem, Mesh},
    transport::{
        serve_relay, ByteStream, CallLimits, Connector, Hub, LocalFuture, Pool, PoolError,
        RelayDialer, Target,
    },
};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time::timeout,
};

/// Limits of a call of the daemon itself.
const LIMITS: CallLimits = CallLimits {
    time: STEP_TIMEOUT,
    body_max_bytes: 1 << 20,
};

#[derive(Debug)]
struct MeshRelays(Rc<Mesh>);

impl RelayDialer for MeshRelays {
    fn open<'a>(
        &'a self,
        peer: &'a VmId,
        upstream: &'a UpstreamIncarnation,
    ) -> LocalFuture<'a, Result<Box<dyn ByteStream>, PathEnd>> {
        Box::pin(async move {
            let stream = self.0.open_relay(peer, upstream).await?;
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }
}

/// A daemon, and a peer that passes connections on to one upstream.
struct Fixture {
    pool: Pool,
    reports: Rc<RefCell<Vec<PathReport>>>,
    peer: Node,
    _own: Node,
}

/// Starts the two daemons. The peer's control thread answers each request with `answer`.
async fn fixture(answer: Option<SocketAddr>) -> Fixture {
    let ca = KeyPairPem::new_ca().unwrap();
    let own = node(&ca, "vm-1");
    let (sender, events) = flume::unbounded();
    let hub = Arc::new(Hub::new(sender));
    let relays_hub = Arc::clone(&hub);
    let relays = Rc::new(move |request| {
        spawn_local(serve_relay(Arc::clone(&relays_hub), None, None, request));
    });
    let peer = relaying_node(&ca, "vm-2", relays);
    spawn_local(async move {
        while let Ok(event) = events.recv_async().await {
            if let DispatchEvent::RelayRequested { relay, .. } = event {
                hub.answer_relay(relay, answer);
            }
        }
    });
    own.mesh.update_members(vec![peer.member.clone()]);
    assert!(matches!(own.event().await, DispatchEvent::PeerUp { .. }));
    let reports = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&reports);
    let on_report = Rc::new(move |report| seen.borrow_mut().push(report));
    let dialer = Rc::new(MeshRelays(Rc::clone(&own.mesh)));
    Fixture {
        pool: Pool::new(Connector::new(None, dialer, on_report)),
        reports,
        peer,
        _own: own,
    }
}

/// The upstream as a daemon sees it whose own link leads to `address`.
fn target(address: SocketAddr) -> Target {
    let upstream = UpstreamIncarnation {
        id: "upstream-1".parse().unwrap(),
        started_unix_ms: 7,
    };
    let peer = "vm-2".parse().unwrap();
    let paths = PathPlan {
        paths: vec![UpstreamPath::Direct, UpstreamPath::Relay(peer)],
        stagger_ms: Millis::new(50),
    };
    Target::upstream(address, upstream, paths)
}

/// An address that refuses connections.
fn refusing() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.local_addr().unwrap()
}

/// An upstream that reads a request head, writes `response` and then calls `after`.
async fn upstream<F>(response: &'static [u8], after: F) -> SocketAddr
where
    F: AsyncFn(TcpStream) + 'static,
{
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let after = Rc::new(after);
    spawn_local(async move {
        loop {
            let (mut stream, _) = socket.accept().await.unwrap();
            let after = Rc::clone(&after);
            spawn_local(async move {
                let mut head = [0; 4_096];
                let _ = stream.read(&mut head).await.unwrap();
                stream.write_all(response).await.unwrap();
                after(stream).await;
            });
        }
    });
    address
}

/// Keeps the connection until it is closed.
async fn keep(mut stream: TcpStream) {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|len| len > 0) {}
}

async fn call(pool: &Pool, target: &Target) -> Result<Response<Bytes>, PoolError> {
    let request = Request::new(Full::new(Bytes::from_static(b"request")));
    pool.call(target, request, LIMITS).await
}

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

#[test]
fn a_request_goes_by_way_of_a_peer_if_the_own_link_refuses_or_hangs() {
    run(async {
        let address = upstream(COMPLETE, keep).await;
        let fixture = fixture(Some(address)).await;
        let (_socket, _waiting, hanging) = hanging();
        for own in [refusing(), hanging] {
            let answer = call(&fixture.pool, &target(own)).await.unwrap();
            assert_eq!(&answer.body()[..], b"done");
        }
        let reports = fixture.reports.borrow();
        let ends: Vec<Vec<_>> = reports
            .iter()
            .map(|report| report.attempts.0.iter().map(|a| a.end).collect())
            .collect();
        assert_debug_snapshot!(ends, @r"
        [
            [
                Refused,
                Connected,
            ],
            [
                Silent,
                Connected,
            ],
        ]
        ");
    });
}

#[test]
fn the_own_link_is_used_where_it_connects() {
    run(async {
        let address = upstream(COMPLETE, keep).await;
        let fixture = fixture(None).await;
        call(&fixture.pool, &target(address)).await.unwrap();
        assert!(fixture.reports.borrow().is_empty());
    });
}

#[test]
fn a_request_that_no_path_takes_is_not_sent() {
    run(async {
        // A peer that does not pass the connection on, one that is refused too, and none.
        for (answer, relayed) in [
            (None, PathEnd::Unavailable),
            (Some(refusing()), PathEnd::Refused),
        ] {
            let fixture = fixture(answer).await;
            let Err(PoolError::NotSent { attempts, .. }) =
                call(&fixture.pool, &target(refusing())).await
            else {
                panic!("sent");
            };
            let ends: Vec<_> = attempts.0.iter().map(|attempt| attempt.end).collect();
            assert_eq!(ends, [PathEnd::Refused, relayed]);
            assert_eq!(attempts.show_unreachable(), relayed == PathEnd::Refused);
        }
    });
}

/// An answer without a length ends with its connection. One that was reset must not look complete.
#[test]
fn an_answer_that_is_broken_off_behind_a_peer_is_not_complete() {
    const OPEN_END: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nsome";
    run(async {
        let address = upstream(OPEN_END, async |stream: TcpStream| drop(stream)).await;
        let fixture = fixture(Some(address)).await;
        let answer = call(&fixture.pool, &target(refusing())).await.unwrap();
        assert_eq!(&answer.body()[..], b"some");
    });
    run(async {
        let address = upstream(OPEN_END, async |stream: TcpStream| {
            tokio::time::sleep(Duration::from_millis(100)).await;
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        })
        .await;
        let fixture = fixture(Some(address)).await;
        let answer = call(&fixture.pool, &target(refusing())).await;
        assert!(matches!(answer, Err(PoolError::Lost { .. })), "{answer:?}");
    });
}

/// A caller that leaves ends the request at its upstream, also behind a peer.
#[test]
fn an_abandoned_request_ends_at_the_upstream_behind_a_peer() {
    run(async {
        let (closed, was_closed) = flume::bounded(1);
        let address = upstream(
            b"HTTP/1.1 200 OK\r\n\r\n",
            async move |stream: TcpStream| {
                keep(stream).await;
                closed.send(()).unwrap();
            },
        )
        .await;
        let fixture = fixture(Some(address)).await;
        let limit = Duration::from_millis(200);
        let abandoned = timeout(limit, call(&fixture.pool, &target(refusing()))).await;
        assert!(abandoned.is_err());
        let limit = Duration::from_millis(500);
        timeout(limit, was_closed.recv_async())
            .await
            .unwrap()
            .unwrap();
    });
}

#[test]
fn a_request_is_lost_when_its_peer_stops() {
    run(async {
        let address = upstream(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nso", keep).await;
        let fixture = fixture(Some(address)).await;
        let mesh = Rc::clone(&fixture.peer.mesh);
        spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            mesh.close();
        });
        let answer = call(&fixture.pool, &target(refusing())).await;
        assert!(matches!(answer, Err(PoolError::Lost { .. })), "{answer:?}");
    });
}
