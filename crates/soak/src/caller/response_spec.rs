//! The response that a request asks its upstream for. The request's path encodes it, so that callers
//! know the expected answer.

use bytes::Bytes;
use persimmon_core::units::Millis;

/// The response that a request asks its upstream for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ResponseSpec {
    /// Number of events.
    pub(crate) events_len: u64,
    /// Delay before the first event, and between events.
    pub(crate) pause_ms: Millis,
}

impl ResponseSpec {
    /// Path of a request on a route.
    pub(crate) fn path(self, route: &str) -> String {
        format!("/{route}/{}/{}", self.events_len, self.pause_ms.get())
    }

    /// Parses a request's path.
    pub(crate) fn parse(path: &str) -> Option<Self> {
        let mut parts = path.rsplit('/');
        let pause_ms = Millis::new(parts.next()?.parse().ok()?);
        let events_len = parts.next()?.parse().ok()?;
        Some(Self {
            events_len,
            pause_ms,
        })
    }

    /// Event number `index`, from 1.
    pub(crate) fn event(self, request_id: &str, index: u64) -> Bytes {
        format!(
            "id: {index}\ndata: {request_id} {index} of {}\n\n",
            self.events_len
        )
        .into()
    }

    /// Body of a streamed response.
    pub(crate) fn stream_body(self, request_id: &str) -> Bytes {
        let events = (1..=self.events_len).map(|index| self.event(request_id, index));
        events.collect::<Vec<_>>().concat().into()
    }

    /// Body of a response that is not streamed.
    pub(crate) fn plain_body(self, request_id: &str) -> Bytes {
        format!("{request_id} is done\n").into()
    }
}
