//! Splits a stream of events, so that callers get whole events, each once and in order.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// End of an event.
const END: &[u8] = b"\n\n";

/// Start of the line with an event's id.
const ID: &[u8] = b"id:";

/// Longest event; a stream with a longer one is not passed on.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Why a stream of events can't be passed on.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is too long.
    #[error("an event is longer than {EVENT_MAX_BYTES} bytes: the upstream is broken")]
    TooLong,
    /// Events are missing after a resumption.
    #[error("event {seen} follows event {last}: the upstream left events out")]
    Gap {
        /// The last event passed on.
        last: u64,
        /// The event that came.
        seen: u64,
    },
}

/// Splits the answers of one call, of one upstream after the other, into whole events.
#[derive(Debug, Default)]
pub struct EventStream {
    partial: BytesMut,
    last_id: Option<String>,
    resumed: bool,
}

impl EventStream {
    /// Another upstream goes on: what is left of an event is dropped.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed = self.last_id.is_some();
    }

    /// Id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Takes bytes in and gives the events that are whole and new.
    ///
    /// # Errors
    ///
    /// The stream can't be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(len) = event_len(&self.partial) {
            let event = self.partial.split_to(len);
            if self.take(&event)? {
                whole.unsplit(event);
            }
        }
        if self.partial.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(whole.freeze())
    }

    /// What is left of an event at the end of a stream.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event is new.
    fn take(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        if self.resumed {
            let last = self
                .last_id
                .as_deref()
                .and_then(|last| last.parse::<u64>().ok());
            if let (Some(last), Ok(seen)) = (last, id.parse::<u64>()) {
                if seen <= last {
                    return Ok(false);
                }
                if seen != last + 1 {
                    return Err(EventError::Gap { last, seen });
                }
            }
        }
        self.last_id = Some(id);
        Ok(true)
    }
}

fn event_len(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(END.len()).position(|window| window == END);
    end.map(|end| end + END.len())
}

fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID))?;
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty()).then(|| id.to_owned())
}
