//! Upstreams that misbehave after a complete response: they send bytes that belong to no request, or end the
//! connection without a notice.

use super::response_framing::CompleteResponse;
use bytes::Bytes;
use http::{response::Builder, StatusCode};
use persimmon_core::units::Millis;
use persimmon_platform::stub_formats::{
    backoff_head, named_not_run_head, not_run_head, unnamed_answer_head, wrong_upstream_head,
};
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::time::Duration;

/// Longest time after a response, or after the next request, until additional bytes come.
const DELAY_MAX_MS: u64 = 12;

/// Longest run of arbitrary bytes.
const ARBITRARY_MAX_BYTES: u64 = 48;

/// Number of equally likely draws after a response, and the last one that has additional bytes follow.
const DRAWS_LEN: usize = 16;
const LAST_EXTRA_DRAW: usize = 7;

/// Backoff that an additional refusal asks for.
const BACKOFF_MS: Millis = Millis::new(300);

/// Bytes after a complete response that belong to no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraBytes {
    /// A refusal without a request id.
    Refusal,
    /// The same, with a backoff.
    RefusalWithBackoff,
    /// A refusal with the id of the last request.
    RefusalOfLast,
    /// A refusal by another upstream that has the address.
    Misdirected,
    /// A signed success without a request id.
    Success,
    /// A signed failure without a request id.
    Failure,
    /// A failure that says that the request was not run.
    FailureNotRun,
    /// The last response once more.
    LastResponse,
    /// The head of a refusal, which ends within a field.
    CutRefusal,
    /// The start of a refusal's status line.
    CutStatusLine,
    /// An interim response.
    Interim,
    /// An empty line.
    EmptyLine,
    /// Bytes that are no response.
    Arbitrary,
}

/// All kinds of bytes.
pub const EXTRA_BYTES: [ExtraBytes; 13] = [
    ExtraBytes::Refusal,
    ExtraBytes::RefusalWithBackoff,
    ExtraBytes::RefusalOfLast,
    ExtraBytes::Misdirected,
    ExtraBytes::Success,
    ExtraBytes::Failure,
    ExtraBytes::FailureNotRun,
    ExtraBytes::LastResponse,
    ExtraBytes::CutRefusal,
    ExtraBytes::CutStatusLine,
    ExtraBytes::Interim,
    ExtraBytes::EmptyLine,
    ExtraBytes::Arbitrary,
];

/// When additional bytes come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraTime {
    /// With the end of the response.
    AtOnce,
    /// A moment later.
    Later,
    /// When the next request has been received.
    AfterNextRequest,
    /// A moment after that.
    LaterThanNextRequest,
}

/// All times.
const EXTRA_TIMES: [ExtraTime; 4] = [
    ExtraTime::AtOnce,
    ExtraTime::Later,
    ExtraTime::AfterNextRequest,
    ExtraTime::LaterThanNextRequest,
];

/// What an upstream does after a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misbehavior {
    /// Sends bytes that belong to no request.
    Extra(ExtraBytes, ExtraTime),
    /// Sends no more, but receives the next requests and runs them.
    HalfClose,
    /// Resets the connection when it has received the next request.
    ResetAfterNextRequest,
    /// One of all others, or none, drawn anew for each response.
    Drawn(u64),
}

/// What comes after one response.
#[derive(Debug)]
pub(super) enum Aftermath {
    Nothing,
    Extra {
        bytes: Bytes,
        time: ExtraTime,
        delay: Duration,
    },
    HalfClose,
    ResetAfterNextRequest,
}

impl Misbehavior {
    /// The generator of a connection's draws.
    pub(super) fn generator(connection: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(connection)
    }

    /// What comes after a response.
    pub(super) fn aftermath(self, rng: &mut ChaCha8Rng, last: &CompleteResponse) -> Aftermath {
        match self {
            Self::Extra(kind, time) => Aftermath::Extra {
                bytes: kind.bytes(rng, last),
                time,
                delay: Duration::from_millis(rng.next_u64() % DELAY_MAX_MS),
            },
            Self::HalfClose => Aftermath::HalfClose,
            Self::ResetAfterNextRequest => Aftermath::ResetAfterNextRequest,
            Self::Drawn(seed) => match draw(rng, seed) {
                Some(drawn) => drawn.aftermath(rng, last),
                None => Aftermath::Nothing,
            },
        }
    }
}

/// One of all ways to misbehave, most often additional bytes; none for half of the responses.
fn draw(rng: &mut ChaCha8Rng, seed: u64) -> Option<Misbehavior> {
    let [way, kind, time] = [(); 3].map(|()| (rng.next_u64() ^ seed) as usize);
    let kind = EXTRA_BYTES[kind % EXTRA_BYTES.len()];
    let time = EXTRA_TIMES[time % EXTRA_TIMES.len()];
    match way % DRAWS_LEN {
        0 => Some(Misbehavior::HalfClose),
        1 => Some(Misbehavior::ResetAfterNextRequest),
        2..=LAST_EXTRA_DRAW => Some(Misbehavior::Extra(kind, time)),
        _ => None,
    }
}

impl ExtraBytes {
    fn bytes(self, rng: &mut ChaCha8Rng, last: &CompleteResponse) -> Bytes {
        let refusal = || raw_response(not_run_head());
        match self {
            Self::Refusal => refusal(),
            Self::RefusalWithBackoff => raw_response(backoff_head(BACKOFF_MS)),
            Self::RefusalOfLast => match &last.request_id {
                Some(request_id) => raw_response(named_not_run_head(request_id)),
                None => refusal(),
            },
            Self::Misdirected => raw_response(wrong_upstream_head()),
            Self::Success => raw_response(unnamed_answer_head(StatusCode::OK, "signed")),
            Self::Failure => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                raw_response(unnamed_answer_head(status, "failed"))
            }
            Self::FailureNotRun => {
                raw_response(not_run_head().status(StatusCode::INTERNAL_SERVER_ERROR))
            }
            Self::LastResponse => last.bytes.clone(),
            Self::CutRefusal => {
                let whole = refusal();
                let fields = whole.strip_suffix(b"\r\n").unwrap_or(&whole);
                [fields, b"x-cut: "].concat().into()
            }
            Self::CutStatusLine => Bytes::from_static(b"HTTP/1.1 503 "),
            Self::Interim => Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::EmptyLine => Bytes::from_static(b"\r\n"),
            Self::Arbitrary => {
                let len = 1 + rng.next_u64() % ARBITRARY_MAX_BYTES;
                (0..len).map(|_| rng.next_u64() as u8).collect()
            }
        }
    }
}

/// A response without a body, as it is on the wire.
fn raw_response(head: Builder) -> Bytes {
    let Ok(response) = head.body(()) else {
        unreachable!("heads of constant fields");
    };
    let mut raw = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        raw.extend_from_slice(name.as_str().as_bytes());
        raw.extend_from_slice(b": ");
        raw.extend_from_slice(value.as_bytes());
        raw.extend_from_slice(b"\r\n");
    }
    raw.extend_from_slice(b"content-length: 0\r\n\r\n");
    raw.into()
}
