//! Requests as a listener receives them, and what serves them.

use super::Responder;
use bytes::Bytes;
use http::{request::Parts, Response};
use std::time::Duration;

/// A request that was received completely.
#[derive(Debug)]
pub struct Received {
    /// Its head.
    pub head: Parts,
    /// Its body, whose bytes count until the last copy is dropped.
    pub body: Bytes,
}

/// How much of a body is received, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Longest body.
    pub max_bytes: usize,
    /// Time limit for the whole body.
    pub within: Duration,
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyRefusal {
    /// It is longer than the limit.
    TooLong,
    /// It did not arrive in time.
    TimedOut,
    /// It broke off.
    Truncated,
    /// The bodies of other requests leave no room for it.
    NoRoom,
}

/// Serves the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// What a request keeps from its head to its end.
    type Open: Send + 'static;

    /// Begins to serve a request whose head has arrived.
    fn open(&self) -> Self::Open;

    /// Decides by its head whether the body of a request is received; otherwise, the answer. Runs on the event loop and
    /// must not block.
    ///
    /// # Errors
    ///
    /// The answer to a request that is refused.
    fn admit(&self, open: &Self::Open, head: &Parts) -> Result<BodyLimits, Box<Response<Bytes>>>;

    /// The answer to a request whose body was not received.
    fn refusal(&self, open: &Self::Open, head: &Parts, refusal: BodyRefusal) -> Response<Bytes>;

    /// Serves a request, on a thread of its own.
    fn serve(&self, open: Self::Open, request: Received, responder: Responder);
}
