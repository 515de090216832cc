//! Calls whose requests are being received.

use super::{request_body::BodyError, CallCommand, Hub, RequestHead};
use flume::Receiver;
use persimmon_core::{
    dispatch::{Call, Refusal},
    ids::{CallId, Fingerprint},
    units::{ByteCount, Millis},
};
use tokio::time::Instant;

/// A call whose body is being received. It is removed from the hub unless its commands go to a task.
pub(super) struct OpenCall<'a> {
    hub: &'a Hub,
    pub(super) id: CallId,
    pub(super) commands: Receiver<CallCommand>,
    is_open_elsewhere: bool,
}

impl<'a> OpenCall<'a> {
    /// Opens a call.
    pub(super) fn new(hub: &'a Hub) -> Self {
        let (id, commands) = hub.open();
        Self {
            hub,
            id,
            commands,
            is_open_elsewhere: false,
        }
    }

    /// The commands, for the task of the call, which then removes it.
    pub(super) fn into_commands(mut self) -> Receiver<CallCommand> {
        self.is_open_elsewhere = true;
        self.commands.clone()
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if !self.is_open_elsewhere {
            self.hub.close(self.id);
        }
    }
}

/// How a body ended that was not received.
pub(super) enum BodyEnd {
    /// The control thread refused the request for what its head tells.
    Refused(Refusal),
    /// The memory budget has no room for a body of this size.
    NoRoom(u64),
    /// It is over the limit.
    TooLong,
    /// It broke off.
    Failed(String),
    /// It did not arrive in time.
    TimedOut,
    /// The control thread has ended.
    Stopped,
}

impl From<BodyError> for BodyEnd {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong => Self::TooLong,
            BodyError::Failed(reason) => Self::Failed(reason),
            BodyError::NoRoom(body_bytes) => Self::NoRoom(body_bytes),
        }
    }
}

/// The call of a request, as far as its head tells.
pub(super) fn call_of(
    id: CallId,
    received_at: Instant,
    head: &http::request::Parts,
    request: RequestHead,
    body_bytes: u64,
) -> Call {
    Call {
        id,
        request_id: request.request_id,
        host: request.host,
        path: head.uri.path().to_owned(),
        key: request.key,
        deadline_ms: request.deadline_ms,
        prompt: request.prompt,
        fingerprints: request.fingerprints,
        prefix: request.prefix,
        content: Fingerprint::new(0),
        body_bytes: ByteCount::new(body_bytes),
        age_ms: Millis::new(received_at.elapsed().as_millis() as u64),
    }
}
