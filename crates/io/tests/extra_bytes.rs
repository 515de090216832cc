//! Bytes after whole responses, which belong to no request, over loopback: no request that runs counts as not run, and
//! no caller gets another answer than its own.

mod common;
#[path = "common/dialect.rs"]
mod dialect;
#[path = "common/transport_fixture.rs"]
mod transport_fixture;

use persimmon_core::dispatch::SendOutcome;
use proptest::{
    collection::vec,
    prelude::*,
    sample::select,
    test_runner::{RngSeed, TestRunner},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};
use transport_fixture::{received, run, Fixture};

/// Generated cases.
const CASES: u32 = 384;

/// Parts of responses. None has the id of the second request: who knows that can answer it.
const FRAGMENTS: &[&[u8]] = &[
    b"HTTP/1.1 503 No\r\n",
    b"HTTP/1.1 503 ",
    b"HTTP/1.1 421 Other\r\n",
    b"HTTP/1.1 421 ",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 500 Failed\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.0 503 No\r\n",
    b"x-not-run: 1\r\n",
    b"x-signed: 1\r\n",
    b"x-id: 7\r\n",
    b"x-id: ",
    b"x-id: \xff\r\n",
    b"x-a: ",
    b"x-a: b\r\n ",
    b"content-length: 0\r\n",
    b"content-length: 5\r\n",
    b"content-length: 70\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: close\r\n",
    b"0\r\n\r\n",
    b"\r\n",
    b"\n",
    b"other",
];

/// Whole responses to the first request.
const FIRST: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nfirst",
    b"HTTP/1.1 503 No\r\nx-id: 7\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 500 No\r\nx-id: 7\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
];

/// Responses to the second request, which has run. The last one never comes.
const SECOND: [&[u8]; 4] = [
    b"HTTP/1.1 200 OK\r\nx-id: 8\r\nx-signed: 1\r\ncontent-length: 6\r\n\r\nsecond",
    b"HTTP/1.1 500 No\r\nx-id: 8\r\nx-signed: 1\r\ncontent-length: 6\r\n\r\nfailed",
    b"HTTP/1.1 504 Late\r\nx-id: 8\r\ncontent-length: 0\r\n\r\n",
    b"",
];

/// When the additional bytes are sent.
#[derive(Clone, Copy, Debug)]
enum When {
    /// With the first response.
    AtOnce,
    /// When the second request has been received, and the second response a moment later.
    Apart,
    /// When the second request has been received, with the second response.
    Together,
}

#[derive(Clone, Debug)]
struct Case {
    first: &'static [u8],
    extra: Vec<u8>,
    when: When,
    second: &'static [u8],
}

fn cases() -> impl Strategy<Value = Case> {
    let fragments = vec(select(FRAGMENTS), 1..9).prop_map(|parts| parts.concat());
    let extra = prop_oneof![8 => fragments, 1 => vec(any::<u8>(), 1..64)];
    let when = select(&[When::AtOnce, When::Apart, When::Together][..]);
    let cases = (select(&FIRST[..]), extra, when, select(&SECOND[..]));
    cases.prop_map(|(first, extra, when, second)| Case {
        first,
        extra,
        when,
        second,
    })
}

/// Starts an upstream that runs the second request and sends additional bytes. Returns its address, and whether that
/// request has run.
async fn upstream(case: Case) -> (SocketAddr, Rc<Cell<bool>>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let has_run = Rc::new(Cell::new(false));
    let ran = Rc::clone(&has_run);
    spawn_local(async move {
        loop {
            let (stream, _) = socket.accept().await.unwrap();
            spawn_local(serve(stream, case.clone(), Rc::clone(&ran)));
        }
    });
    (address, has_run)
}

async fn serve(mut stream: TcpStream, case: Case, has_run: Rc<Cell<bool>>) {
    let mut head = [0; 4_096];
    let mut is_first = true;
    while let Ok(len @ 1..) = stream.read(&mut head).await {
        let is_second = String::from_utf8_lossy(&head[..len]).starts_with("POST /second ");
        let parts: &[&[u8]] = match (is_second, case.when) {
            (false, When::AtOnce) => &[&[case.first, &case.extra[..]].concat()],
            (false, _) => &[case.first],
            (true, When::Apart) if !is_first => &[&case.extra, case.second],
            (true, When::Together) if !is_first => &[&[&case.extra[..], case.second].concat()],
            (true, _) => &[case.second],
        };
        has_run.set(has_run.get() || is_second);
        for part in parts {
            if stream.write_all(part).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
        if is_second {
            return;
        }
        is_first = false;
    }
}

/// Plays a case. Returns how the second request ended, whether it ran, and what its caller got.
async fn play(case: Case) -> (SendOutcome, bool, String) {
    let mut fixture = Fixture::start().await;
    let _first_caller = fixture.caller().await;
    let call = fixture.arrived().await;
    let (address, has_run) = upstream(case).await;
    fixture.send(call, address, false);
    fixture.end().await;
    let request = b"POST /second HTTP/1.1\r\nhost: a\r\nx-id: 8\r\ncontent-length: 2\r\n\r\nhi";
    let caller = fixture.caller_with(request).await;
    let call = fixture.arrived().await;
    fixture.send(call, address, false);
    let end = fixture.end().await;
    let got = if end == SendOutcome::Delivered {
        received(caller).await
    } else {
        String::new()
    };
    (end, has_run.get(), got)
}

/// Guards against requests that run and count as not run because of bytes after a whole response (TWICE, REFUSED), and
/// against such bytes as their answer (MIXED).
#[test]
fn arbitrary_bytes_after_whole_responses_refuse_and_answer_nothing() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(50),
        ..ProptestConfig::default()
    });
    let checked = runner.run(&cases(), |case| {
        let (end, has_run, got) = run_case(case);
        prop_assert!(!has_run || end.may_have_run(), "{end:?}");
        let is_own_failure = matches!(
            end,
            SendOutcome::Failed {
                status: 500 | 504,
                ..
            }
        );
        prop_assert!(
            is_own_failure || !matches!(end, SendOutcome::Failed { .. }),
            "{end:?}"
        );
        prop_assert!(got.is_empty() || got.ends_with("\n\nsecond"), "{got}");
        Ok(())
    });
    checked.unwrap();
}

/// Plays a case in a runtime of its own.
fn run_case(case: Case) -> (SendOutcome, bool, String) {
    let outcome = Rc::new(Cell::new(None));
    let played = Rc::clone(&outcome);
    run(async move { played.set(Some(play(case).await)) });
    outcome.take().unwrap()
}
