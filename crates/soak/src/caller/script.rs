//! What a request asks its upstream for, written into its path: callers know the right answer.

use bytes::Bytes;
use persimmon_core::units::Millis;

/// What a request asks its upstream for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Script {
    /// Events of the answer.
    pub(crate) events_len: u64,
    /// Time before each event.
    pub(crate) pause_ms: Millis,
}

impl Script {
    /// The path of a request on a route.
    pub(crate) fn path(self, route: &str) -> String {
        format!("/{route}/{}/{}", self.events_len, self.pause_ms.get())
    }

    /// Reads a path.
    pub(crate) fn read(path: &str) -> Option<Self> {
        let mut parts = path.rsplit('/');
        let pause_ms = Millis::new(parts.next()?.parse().ok()?);
        let events_len = parts.next()?.parse().ok()?;
        Some(Self {
            events_len,
            pause_ms,
        })
    }

    /// One event of the answer, counted from 1.
    pub(crate) fn event(self, tag: &str, index: u64) -> Bytes {
        format!(
            "id: {index}\ndata: {tag} {index} of {}\n\n",
            self.events_len
        )
        .into()
    }

    /// The whole of a streamed answer.
    pub(crate) fn stream(self, tag: &str) -> Bytes {
        let events = (1..=self.events_len).map(|index| self.event(tag, index));
        events.collect::<Vec<_>>().concat().into()
    }

    /// The whole of an answer that is no stream.
    pub(crate) fn whole(self, tag: &str) -> Bytes {
        format!("{tag} is done\n").into()
    }
}
