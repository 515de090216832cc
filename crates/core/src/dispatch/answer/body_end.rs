//! Decides whether a body that has ended is shown to be whole.
//!
//! The end of a connection also comes from a process that was killed. So it completes a body only if the framing
//! leaves the end to the connection, if what came before it can be the end of such a body, and if the upstream is not
//! known to have ended with it.

use serde::Serialize;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BodyFraming {
    /// Its length, its last chunk, or that there is none. Reaching that is proof.
    Stated,
    /// The end of its connection.
    Connection,
}

/// What the body of one transmission has brought of the caller's response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BodyContent {
    /// Bytes of any kind, not to be split into events.
    Opaque,
    /// An event stream that has ended within an event.
    PartOfEvent,
    /// An event stream without any event that the caller lacked: none, comments only, or events that an earlier
    /// transmission had brought.
    NoNewEvent,
    /// An event stream whose last event is new to the caller, and complete.
    NewEvents,
}

/// What a body shows at its end.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BodyEnd {
    /// What marks the end.
    pub framing: BodyFraming,
    /// What came before it.
    pub content: BodyContent,
}

/// Why a body that has ended is not whole.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenOff {
    /// It ended within an event.
    WithinEvent,
    /// It ended with its connection, before any event that the caller lacked.
    BeforeNewEvent,
    /// It ended with its connection, and its upstream accepts no connections any more.
    UpstreamEnded,
}

impl BrokenOff {
    /// Description in logs and errors.
    pub const fn name(self) -> &'static str {
        match self {
            Self::WithinEvent => "stream ended within an event",
            Self::BeforeNewEvent => "stream ended before its first new event",
            Self::UpstreamEnded => "body ended as its upstream did",
        }
    }
}

/// What the end of a body proves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndVerdict {
    /// The body is whole.
    Whole,
    /// The body is not whole.
    BrokenOff(BrokenOff),
    /// The body is whole unless its upstream has ended, which is to be checked.
    Unconfirmed,
}

impl BodyEnd {
    /// Decides what the end proves.
    pub const fn verdict(self) -> EndVerdict {
        match (self.content, self.framing) {
            (BodyContent::PartOfEvent, _) => EndVerdict::BrokenOff(BrokenOff::WithinEvent),
            (_, BodyFraming::Stated) => EndVerdict::Whole,
            (BodyContent::NoNewEvent, BodyFraming::Connection) => {
                EndVerdict::BrokenOff(BrokenOff::BeforeNewEvent)
            }
            (BodyContent::Opaque | BodyContent::NewEvents, BodyFraming::Connection) => {
                EndVerdict::Unconfirmed
            }
        }
    }
}
