//! Splits a server-sent event stream, so that callers get complete events, each once and in order.

use bytes::{Bytes, BytesMut};
use http::{header, response, HeaderValue, StatusCode};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Separator that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the line with an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Prefix of a comment.
const COMMENT_PREFIX: &[u8] = b":";

/// Longest event that is accepted; a stream with a longer one fails.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Why an event stream can't be forwarded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is longer than the limit.
    #[error("event exceeds {EVENT_MAX_BYTES} bytes")]
    TooLong,
    /// An event of a stream whose events have ids has none, so its place in the stream is unknown.
    #[error("event without an id follows event {last}: it may be an error of the upstream")]
    NoId {
        /// Id of the last event that was forwarded.
        last: u64,
    },
    /// The stream can't be resumed, because its events have no ids.
    #[error("the events that were forwarded have no ids: the stream can't be resumed")]
    NotResumable,
    /// The response that is to continue the stream is of another kind than the one that began it.
    #[error("the response with status {status} does not continue the stream: it may be an error of the upstream")]
    OtherKind {
        /// Its HTTP status.
        status: u16,
    },
    /// Events are missing after the stream was resumed.
    #[error("gap in the resumed stream: event {received} follows event {last}")]
    Gap {
        /// Id of the last event that was forwarded.
        last: u64,
        /// Id of the event that was received.
        received: u64,
    },
}

/// What the responses that make up one stream have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
struct StreamKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl From<&response::Parts> for StreamKind {
    fn from(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        }
    }
}

/// Splits the response bodies of one call, which successive upstreams may continue, into events.
#[derive(Debug, Default)]
pub struct EventStream {
    /// The kind of the response that the caller is getting; none if nothing of one was forwarded.
    kind: Option<StreamKind>,
    partial: BytesMut,
    last_id: Option<String>,
    resumed: bool,
    /// Whether the present response has brought an event that the caller lacked.
    has_new_event: bool,
    last_event_at: Option<Instant>,
    longest_gap: Option<Duration>,
}

impl EventStream {
    /// Prepares for a response from another upstream. An incomplete event is discarded.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed = self.last_id.is_some();
        self.has_new_event = false;
    }

    /// Records that the caller gets the response with this head.
    pub fn begin(&mut self, head: &response::Parts) {
        self.kind.get_or_insert_with(|| head.into());
    }

    /// Checks that a response can continue what was forwarded, if anything was.
    ///
    /// # Errors
    ///
    /// It is of another kind than the response that began the stream, or the place to go on from is unknown.
    pub fn check_head(&self, head: &response::Parts) -> Result<(), EventError> {
        let Some(kind) = &self.kind else {
            return Ok(());
        };
        if *kind != StreamKind::from(head) {
            let status = head.status.as_u16();
            return Err(EventError::OtherKind { status });
        }
        if self.last_id.is_none() {
            return Err(EventError::NotResumable);
        }
        Ok(())
    }

    /// Records that complete events were received at `now`.
    pub fn on_events(&mut self, now: Instant) {
        if let Some(last_at) = self.last_event_at.replace(now) {
            let gap = now.saturating_duration_since(last_at);
            self.longest_gap = self.longest_gap.max(Some(gap));
        }
    }

    /// Longest time between two receipts of events; none if there was only one.
    pub const fn longest_gap(&self) -> Option<Duration> {
        self.longest_gap
    }

    /// Id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Adds received bytes and returns the events that are now complete and were not forwarded
    /// before. The events before an error come with it: where the stream is resumed, they count as forwarded.
    pub fn push(&mut self, bytes: &[u8]) -> (Bytes, Result<(), EventError>) {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        let checked = self.split_events(&mut complete);
        (complete.freeze(), checked)
    }

    fn split_events(&mut self, complete: &mut BytesMut) -> Result<(), EventError> {
        while let Some(len) = event_len(&self.partial) {
            let event = self.partial.split_to(len);
            if self.is_new(&event)? {
                complete.unsplit(event);
            }
        }
        if self.partial.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// Whether the present response has brought an event that the caller lacked. Comments are none.
    pub const fn has_new_event(&self) -> bool {
        self.has_new_event
    }

    /// Bytes of the incomplete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Takes the incomplete event that is left at the end of a stream.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event has not been forwarded yet. Records the id of a new one.
    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let last = self
            .last_id
            .as_deref()
            .and_then(|last| last.parse::<u64>().ok());
        let Some(id) = event_id(event) else {
            let is_event = !is_comment(event);
            if let (Some(last), true) = (last, is_event) {
                return Err(EventError::NoId { last });
            }
            self.has_new_event |= is_event;
            return Ok(true);
        };
        if self.resumed {
            if let (Some(last), Ok(received)) = (last, id.parse::<u64>()) {
                if received <= last {
                    return Ok(false);
                }
                if received != last + 1 {
                    return Err(EventError::Gap { last, received });
                }
            }
        }
        self.last_id = Some(id);
        self.has_new_event = true;
        Ok(true)
    }
}

fn event_len(bytes: &[u8]) -> Option<usize> {
    let end = bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END);
    end.map(|end| end + EVENT_END.len())
}

/// Whether an event consists of comments, which upstreams send to keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(COMMENT_PREFIX))
}

fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_PREFIX))?;
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty()).then(|| id.to_owned())
}
