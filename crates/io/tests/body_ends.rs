//! What callers get of a response whose body ends: by its framing, by where it ends, and by what becomes of the upstream.

#[path = "common/dialect.rs"]
mod dialect;
#[path = "common/transport_fixture.rs"]
mod transport_fixture;

use insta::assert_snapshot;
use persimmon_core::dispatch::SendOutcome;
use persimmon_io::transport::CallCommand;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use socket2::SockRef;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_local,
};
use transport_fixture::{received, run, Fixture};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Connection,
    /// A transfer coding that does not mark the end.
    OtherCoding,
    /// HTTP/1.0, whose bodies without a length end with the connection.
    OldVersion,
}

const FRAMINGS: [Framing; 5] = [
    Framing::Length,
    Framing::Chunks,
    Framing::Connection,
    Framing::OtherCoding,
    Framing::OldVersion,
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The upstream closes the connection, and goes on.
    Closed,
    /// The upstream's process is killed: its connections are closed, and new ones refused.
    Killed,
    /// The upstream resets the connection, and goes on.
    Reset,
}

const ENDS: [End; 3] = [End::Closed, End::Killed, End::Reset];

/// A response with a head, of whose body the upstream writes a part.
#[derive(Clone, Debug)]
struct Written {
    framing: Framing,
    content_type: &'static str,
    body: String,
    written_len: usize,
    end: End,
}

impl Written {
    fn stream(framing: Framing, body: &str, written_len: usize, end: End) -> Self {
        Self {
            framing,
            content_type: "text/event-stream",
            body: body.to_owned(),
            written_len,
            end,
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let version = match self.framing {
            Framing::OldVersion => "HTTP/1.0",
            _ => "HTTP/1.1",
        };
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.body.len()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::OtherCoding => "transfer-encoding: identity\r\n".to_owned(),
            Framing::Connection | Framing::OldVersion => String::new(),
        };
        let content_type = self.content_type;
        let head = format!(
            "{version} 200 OK\r\nx-signed: 1\r\ncontent-type: {content_type}\r\n{framing}\r\n"
        );
        let part = &self.body[..self.written_len];
        let is_all = self.written_len == self.body.len();
        let part = match self.framing {
            Framing::Chunks => {
                let chunk = match part.len() {
                    0 => String::new(),
                    len => format!("{len:x}\r\n{part}\r\n"),
                };
                chunk + if is_all { "0\r\n\r\n" } else { "" }
            }
            _ => part.to_owned(),
        };
        (head + &part).into_bytes()
    }
}

/// Starts an upstream that answers one request.
async fn upstream(written: Written) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(&written.bytes()).await.unwrap();
        match written.end {
            End::Closed => {}
            End::Killed => {
                drop(listener);
                return;
            }
            End::Reset => {
                // The bytes before the reset are to be read.
                tokio::time::sleep(Duration::from_millis(5)).await;
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
        }
        drop(stream);
        let mut others = Vec::new();
        while let Ok((other, _)) = listener.accept().await {
            others.push(other);
        }
    });
    address
}

/// Sends a call to upstreams one after the other, until one answers it whole. Returns whether one did, and what the
/// caller gets.
async fn play(answers: Vec<Written>, streaming: bool) -> (bool, String) {
    let mut fixture = Fixture::start().await;
    let request =
        b"POST /x HTTP/1.1\r\nhost: a\r\nx-id: 7\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
    let caller = fixture.caller_with(request).await;
    let call = fixture.arrived().await;
    for answer in answers {
        let upstream = upstream(answer).await;
        fixture.send(call, upstream, streaming);
        match fixture.end().await {
            SendOutcome::Delivered => return (true, received(caller).await),
            SendOutcome::Lost { .. } => {}
            other => panic!("{other:?}"),
        }
    }
    fixture.hub.send_command(call, CallCommand::Abort);
    (false, received(caller).await)
}

/// What becomes of the last of these answers.
fn verdict(answers: Vec<Written>, streaming: bool) -> &'static str {
    let mut verdict = "";
    run(async {
        verdict = match play(answers, streaming).await {
            (true, _) => "whole",
            (false, _) => "broken off",
        };
    });
    verdict
}

fn event(id: usize) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: impl IntoIterator<Item = usize>) -> String {
    ids.into_iter().map(event).collect()
}

/// A table of verdicts: a row for each framing and end, and a column for each body.
fn table(bodies: &[(&str, &str, usize)], before: &[Written], streaming: bool) -> String {
    let names = bodies.iter().map(|(name, ..)| format!("{name:14}"));
    let mut lines = vec![format!("{:24}{}", "", names.collect::<String>())];
    for framing in FRAMINGS {
        for end in ENDS {
            let verdicts = bodies.iter().map(|(_, body, written_len)| {
                let answer = Written::stream(framing, body, *written_len, end);
                let answers = before.iter().cloned().chain([answer]).collect();
                format!("{:14}", verdict(answers, streaming))
            });
            let row = format!("{framing:?}, {end:?}");
            lines.push(format!("{row:24}{}", verdicts.collect::<String>()));
        }
    }
    let lines = lines.iter().map(|line| line.trim_end());
    lines.collect::<Vec<_>>().join("\n")
}

/// Bodies without framing that ended before their first event, or after comments only, ended the caller's stream as
/// complete, and so did the end of a killed upstream between two events (ORDER).
#[test]
fn a_first_answer_is_whole_where_its_end_shows_it() {
    let comments = ": wait\n\n";
    let all = events(1..=3);
    let two = events(1..=2);
    let bodies = [
        ("no event", "", 0),
        ("comments", comments, comments.len()),
        ("in an event", &*all, all.len() - 4),
        ("whole events", &*all, all.len()),
        ("cut events", &*all, two.len()),
    ];
    assert_snapshot!(table(&bodies, &[], true));
}

/// A resumed stream without framing whose upstream was killed before its first event ended as complete (ORDER,
/// review/11).
#[test]
fn a_resumed_answer_is_whole_where_its_end_shows_it() {
    let all = events(1..=3);
    let first = Written::stream(Framing::Connection, &all, all.len() - 4, End::Killed);
    let known = events(1..=2);
    let rest = events([3]);
    let bodies = [
        ("no event", "", 0),
        ("comments", ": wait\n\n", 8),
        ("known events", &*known, known.len()),
        ("in an event", &*rest, rest.len() - 4),
        ("new event", &*rest, rest.len()),
        ("cut before it", &*all, known.len()),
    ];
    assert_snapshot!(table(&bodies, &[first], true));
}

/// Part of a plain body without framing whose upstream was killed was passed on as the whole (MIXED).
#[test]
fn a_plain_answer_is_whole_where_its_end_shows_it() {
    let bodies = [
        ("nothing", "", 0),
        ("all", "whole", 5),
        ("a part", "whole", 3),
    ];
    assert_snapshot!(table(&bodies, &[], false));
}

/// An answer of one of the upstreams that a stream goes on with.
#[derive(Clone, Debug)]
struct Answer {
    framing: Framing,
    /// Whether it begins with the first event again, or where the one before broke off.
    repeats: bool,
    /// Where it is cut, as a share of its bytes.
    cut_ratio: f64,
    end: End,
}

const EVENTS_LEN: usize = 4;

fn answer() -> impl Strategy<Value = Answer> {
    let framing = prop::sample::select(&FRAMINGS[..]);
    let cut_ratio = prop_oneof![3 => 0.0..=1.0, 1 => Just(0.0), 1 => Just(1.0)];
    let end = prop_oneof![Just(End::Killed), Just(End::Reset)];
    (framing, any::<bool>(), cut_ratio, end).prop_map(|(framing, repeats, cut_ratio, end)| Answer {
        framing,
        repeats,
        cut_ratio,
        end,
    })
}

/// The answer that an upstream writes, and the number of events that the caller then has. An answer that is not cut is
/// that of an upstream that goes on.
fn written(answer: &Answer, known_len: usize) -> (Written, usize) {
    let from = if answer.repeats { 1 } else { known_len + 1 };
    let body = events(from..=EVENTS_LEN);
    let written_len = (body.len() as f64 * answer.cut_ratio) as usize;
    let end = if written_len == body.len() {
        End::Closed
    } else {
        answer.end
    };
    let whole_len = body[..written_len].matches("\n\n").count();
    let known_len = known_len.max(from + whole_len - 1);
    (
        Written::stream(answer.framing, &body, written_len, end),
        known_len,
    )
}

/// Whatever upstreams write, wherever they are killed or reset, a stream that ends as complete has all events, each once
/// and in order (ORDER).
#[test]
fn a_stream_that_looks_complete_is() {
    let mut runner = TestRunner::new(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    });
    let answers = prop::collection::vec(answer(), 1..4);
    let result = runner.run(&answers, |answers| {
        let mut known_len = 0;
        let answers: Vec<_> = answers
            .iter()
            .map(|answer| {
                let (written, len) = written(answer, known_len);
                known_len = len;
                written
            })
            .collect();
        let mut got = (false, String::new());
        run(async { got = play(answers, true).await });
        let (_, text) = got;
        let pieces: Vec<_> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: piece "))
            .map(|id| id.parse::<usize>().unwrap())
            .collect();
        let looks_complete = text.ends_with("\n0\n\n(closed)");
        let expected: Vec<_> = (1..=pieces.len()).collect();
        prop_assert_eq!(&pieces, &expected);
        prop_assert!(!looks_complete || pieces.len() == EVENTS_LEN, "{}", text);
        Ok(())
    });
    result.unwrap();
}
