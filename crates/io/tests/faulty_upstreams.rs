//! Upstreams that send bytes without end, or stop in the middle of a response, over loopback.

#[path = "common/dialect.rs"]
mod dialect;
#[path = "common/transport_fixture.rs"]
mod transport_fixture;

use dialect::TestDialect;
use persimmon_core::{
    dispatch::{DispatchEvent, OrderKind, OrderOutcome, ReserveOrder, SendOutcome},
    path::PathPlan,
    units::{Millis, Tokens},
};
use persimmon_io::transport::{send_order, Hub, Pool};
use socket2::SockRef;
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::oneshot,
    task::spawn_local,
    time::timeout,
};
use transport_fixture::{received, run, upstream, Fixture, STEP_TIMEOUT};

/// Most that an upstream can send of something endless before its connection is closed: the longest response that is
/// held, and what the sockets hold on the way.
const ENDLESS_MAX_BYTES: usize = 6 << 20;

/// Most of an answer to an order: it has a few numbers, and many orders can be open.
const ORDER_ANSWER_MAX_BYTES: usize = 1 << 20;

/// Starts an upstream that answers with `head`, then with `filler` again and again until the connection is
/// closed, with at most 64 KiB in its socket. The receiver then gets the number of bytes that it sent.
async fn endless_upstream(
    head: &'static [u8],
    filler: &'static [u8],
) -> (SocketAddr, oneshot::Receiver<usize>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (closed, sent) = oneshot::channel();
    spawn_local(async move {
        let (mut stream, _) = socket.accept().await.unwrap();
        SockRef::from(&stream)
            .set_send_buffer_size(32 << 10)
            .unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(head).await.unwrap();
        let chunk = filler.repeat(4_096 / filler.len() + 1);
        let mut sent_len = head.len();
        while stream.write_all(&chunk).await.is_ok() {
            sent_len += chunk.len();
        }
        // The test may have ended.
        let _ = closed.send(sent_len);
    });
    (address, sent)
}

/// Whatever an upstream sends without end within a response, little of it is taken (own ends of processes, LOST).
#[test]
fn parts_of_responses_without_end_are_not_kept() {
    let answers: [(&str, &[u8], &[u8], bool); 4] = [
        (
            "trailers",
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ntrailer: x-a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
            b"x-a: a\r\n",
            false,
        ),
        (
            "chunk extension",
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n2;",
            b"a",
            false,
        ),
        (
            "trailers of a stream",
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n0\r\n",
            b"x-a: a\r\n",
            true,
        ),
        (
            "failure in chunks",
            b"HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n",
            b"4\r\naaaa\r\n",
            false,
        ),
    ];
    for (name, head, filler, streaming) in answers {
        run(async {
            let (mut fixture, _caller, call) = Fixture::with_call().await;
            let (upstream, sent) = endless_upstream(head, filler).await;
            fixture.send(call, upstream, streaming);
            let end = fixture.end().await;
            assert!(
                matches!(end, SendOutcome::Lost { stalled: false, .. }),
                "{name}: {end:?}"
            );
            let sent_bytes = timeout(STEP_TIMEOUT, sent).await.unwrap().unwrap();
            assert!(sent_bytes < ENDLESS_MAX_BYTES, "{name}: {sent_bytes}");
        });
    }
}

/// Leading zeros of a chunk's size are not kept, however many come: the call ends with its time, and others are served.
#[test]
fn a_chunk_size_without_end_keeps_no_other_call() {
    run(async {
        let (mut fixture, caller, call) = Fixture::with_call().await;
        let head = b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        let (endless, sent) = endless_upstream(head, b"0").await;
        fixture.send(call, endless, false);
        let other_caller = fixture.caller().await;
        let other_call = fixture.arrived().await;
        let whole: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nwhole"];
        let other = upstream(whole).await;
        fixture.send(other_call, other, false);
        assert_eq!(fixture.end().await, SendOutcome::Delivered);
        assert!(received(other_caller).await.ends_with("whole"));
        fixture.refuse(call);
        assert!(received(caller).await.starts_with("HTTP/1.1 502"));
        timeout(STEP_TIMEOUT, sent).await.unwrap().unwrap();
    });
}

/// Bytes that follow a complete response on a kept connection belong to no request, and are not read on.
#[test]
fn bytes_without_end_after_a_response_are_not_kept() {
    run(async {
        let (mut fixture, caller, call) = Fixture::with_call().await;
        let (upstream, sent) = endless_upstream(
            b"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok",
            b"a",
        )
        .await;
        fixture.send(call, upstream, false);
        assert_eq!(fixture.end().await, SendOutcome::Delivered);
        assert!(received(caller).await.ends_with("ok"));
        let sent_bytes = timeout(STEP_TIMEOUT, sent).await.unwrap().unwrap();
        assert!(sent_bytes < ENDLESS_MAX_BYTES, "{sent_bytes}");
    });
}

/// The answer to an order was read up to 16 MB. As many orders as there are long prompts can be open, so that a few
/// faulty engines could fill the memory of a VM.
#[test]
fn an_answer_without_end_to_an_order_is_not_kept() {
    run(async {
        let (upstream, sent) = endless_upstream(b"HTTP/1.1 200 OK\r\n\r\n", b"a").await;
        order_end(upstream).await;
        let sent_bytes = timeout(STEP_TIMEOUT, sent).await.unwrap().unwrap();
        assert!(sent_bytes < ORDER_ANSWER_MAX_BYTES, "{sent_bytes}");
    });
}

/// How an upstream ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Starts an upstream that writes these bytes in answer to a request, ends the connection, and goes on.
async fn stopping_upstream(written: Vec<u8>, end: End) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = socket.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(&written).await.unwrap();
        if matches!(end, End::Reset) {
            // The bytes before the reset are to be read.
            tokio::time::sleep(Duration::from_millis(5)).await;
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(stream);
        // An upstream whose process has ended refuses connections: then its orderly end proves nothing.
        let mut others = Vec::new();
        while let Ok((other, _)) = socket.accept().await {
            others.push(other);
        }
    });
    address
}

/// What a caller gets where its upstream stops after `len` bytes of a response; none if the transmission is lost.
async fn delivered(response: &[u8], len: usize, end: End, streaming: bool) -> Option<String> {
    let (mut fixture, caller, call) = Fixture::with_call().await;
    let upstream = stopping_upstream(response[..len].to_vec(), end).await;
    fixture.send(call, upstream, streaming);
    match fixture.end().await {
        SendOutcome::Lost { .. } | SendOutcome::NotSent { .. } => None,
        _ => Some(received(caller).await),
    }
}

/// Servers that stopped in the middle of a head were answers with an empty or short body, framed as whole (MIXED, ORDER).
#[test]
fn a_response_that_stops_within_its_head_is_not_delivered() {
    let heads: [(&[u8], bool); 5] = [
        (
            b"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n",
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: 7\r\ntransfer-encoding: chunked\r\n\r\n",
            false,
        ),
        (b"HTTP/1.0 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n", false),
        (
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-type: text/event-stream\r\n\r\n",
            true,
        ),
        (
            b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n",
            false,
        ),
    ];
    for (head, streaming) in heads {
        for len in 0..=head.len() {
            for end in [End::Close, End::Reset] {
                run(async {
                    let got = delivered(head, len, end, streaming).await;
                    assert_eq!(got, None, "{len} bytes, {end:?}");
                });
            }
        }
    }
}

/// A body that stops is whole only where its framing says so: by its length, its last chunk, or the orderly end of a
/// connection that is its only end.
#[test]
fn a_response_that_stops_within_its_body_is_not_delivered() {
    let bodies: [(&[u8], &[u8], bool); 4] = [
        (
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n",
            b"whol",
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"5\r\nwhole\r\n0\r\n\r",
            false,
        ),
        (
            b"HTTP/1.0 200 OK\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n",
            b"whol",
            true,
        ),
        (
            b"HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            b"0\r\n\r",
            true,
        ),
    ];
    for (head, body, streaming) in bodies {
        let response = [head, body].concat();
        for len in head.len()..=response.len() {
            for end in [End::Close, End::Reset] {
                run(async {
                    let got = delivered(&response, len, end, streaming).await;
                    assert_eq!(got, None, "{len} bytes, {end:?}");
                });
            }
        }
    }
    let unframed = b"HTTP/1.1 200 OK\r\nx-signed: 1\r\n\r\nwhole";
    run(async {
        let got = delivered(unframed, unframed.len(), End::Reset, false).await;
        assert_eq!(got, None);
    });
    run(async {
        let got = delivered(unframed, unframed.len(), End::Close, false).await;
        assert!(got.is_some_and(|got| got.ends_with("whole")));
    });
}

/// A head with a status that no server may answer with is no answer, on a new connection and on a kept one, to a call, a
/// stream and an order (MIXED).
#[test]
fn a_status_that_is_none_is_no_answer() {
    for status in ["000", "099", "0", "20", "2000", "1000"] {
        let odd =
            format!("HTTP/1.1 {status} X\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok").leak();
        let whole = "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok";
        for streaming in [false, true] {
            run(async {
                let got = delivered(odd.as_bytes(), odd.len(), End::Close, streaming).await;
                assert_eq!(got, None, "{status}");
            });
        }
        run(async {
            let (mut fixture, _caller, call) = Fixture::with_call().await;
            let kept = keeping_upstream([whole, odd]).await;
            fixture.send(call, kept, false);
            assert_eq!(fixture.end().await, SendOutcome::Delivered);
            let next = b"POST /x HTTP/1.1\r\nhost: a\r\nx-id: 8\r\ncontent-length: 2\r\n\r\nhi";
            let _next_caller = fixture.caller_with(next).await;
            let call = fixture.arrived().await;
            fixture.send(call, kept, false);
            let end = fixture.end().await;
            assert!(matches!(end, SendOutcome::Lost { .. }), "{status}: {end:?}");
        });
        run(async {
            let engine = stopping_upstream(odd.as_bytes().to_vec(), End::Close).await;
            let end = order_end(engine).await;
            assert_eq!(end, OrderOutcome::Lost, "{status}");
        });
    }
}

/// Starts an upstream that answers two requests on one connection.
async fn keeping_upstream(responses: [&'static str; 2]) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = socket.accept().await.unwrap();
        let mut request = [0; 4_096];
        for response in responses {
            let _ = stream.read(&mut request).await.unwrap();
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Sends an order for memory, and returns how it ended.
async fn order_end(engine: SocketAddr) -> OrderOutcome {
    let (sender, events) = flume::unbounded();
    let order = ReserveOrder {
        ticket: "t".into(),
        upstream: "upstream-1".parse().unwrap(),
        started_unix_ms: 7,
        address: engine,
        paths: PathPlan::direct(),
        kind: OrderKind::Reserve {
            tokens: Tokens::new(1),
            hold_ms: Millis::new(1_000),
        },
    };
    let hub = Arc::new(Hub::new(sender));
    spawn_local(send_order(
        Rc::new(Pool::default()),
        Rc::new(TestDialect),
        hub,
        order,
    ));
    match timeout(STEP_TIMEOUT, events.recv_async()).await {
        Ok(Ok(DispatchEvent::OrderEnded { end, .. })) => end,
        other => panic!("{other:?}"),
    }
}

/// An upstream answers a long upload at once, without a length, and resets the connection: what came is not complete
/// (MIXED).
#[test]
fn an_answer_that_is_reset_during_an_upload_is_not_delivered() {
    const BODY_LEN: usize = 1 << 20;
    let request =
        format!("POST /run HTTP/1.1\r\nhost: a\r\nx-id: 7\r\ncontent-length: {BODY_LEN}\r\n\r\n");
    let request = [request.into_bytes(), vec![b'x'; BODY_LEN]].concat();
    let heads = [
        "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signed: 1\r\n\r\n",
        "HTTP/1.0 200 OK\r\nx-id: 7\r\nx-signed: 1\r\n\r\n",
    ];
    for (head, read_len) in heads
        .into_iter()
        .flat_map(|head| [(head, 1), (head, 200_000)])
    {
        for reset_ms in [0, 5, 20, 60] {
            run(async {
                let mut fixture = Fixture::start().await;
                let _caller = fixture.caller_with(&request).await;
                let call = fixture.arrived().await;
                let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = socket.local_addr().unwrap();
                spawn_local(async move {
                    let (mut stream, _) = socket.accept().await.unwrap();
                    let mut read = vec![0; read_len];
                    stream.read_exact(&mut read).await.unwrap();
                    // The gateway may have gone.
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(b"part of the body").await;
                    tokio::time::sleep(Duration::from_millis(reset_ms)).await;
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                });
                fixture.send(call, address, false);
                let end = fixture.end().await;
                assert!(
                    matches!(end, SendOutcome::Lost { .. }),
                    "{head:?}, {read_len} bytes, {reset_ms} ms: {end:?}"
                );
            });
        }
    }
}
