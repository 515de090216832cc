//! A VM, its process and the inputs of the process.

use crate::Node;
use bytes::Bytes;
use persimmon_core::{
    ids::{AttemptId, UpstreamId},
    message::Member,
    request::{StoredResult, UpstreamError},
    units::{Millis, Time, Tokens},
    Event,
};
use std::collections::BTreeMap;

/// An input of a VM's process.
#[derive(Clone, Debug)]
pub(crate) enum Arrival {
    /// The timer of the next tick expired.
    Timer,
    /// An event for the core.
    Event(Event),
    /// A chunk of an engine's answer.
    Chunk {
        attempt: AttemptId,
        offset: Tokens,
        chunk: Bytes,
    },
    /// The finish marker of an engine's answer.
    Finish { attempt: AttemptId, end: Tokens },
    /// The answer of a service.
    Answer {
        attempt: AttemptId,
        result: StoredResult,
    },
    /// An attempt failed.
    Failure {
        attempt: AttemptId,
        error: UpstreamError,
    },
}

/// An attempt whose answer a traffic thread is reading.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRead {
    pub(crate) upstream: UpstreamId,
    /// When progress was last reported to the core.
    pub(crate) progress_sent_at: Option<Time>,
}

/// A VM and the process on it.
#[derive(Debug)]
pub struct Vm {
    /// Identity and current incarnation of its daemon.
    pub member: Member,
    /// The process; `None` while it is dead.
    pub node: Option<Box<dyn Node>>,
    /// Whether the process is paused.
    pub is_paused: bool,
    /// Whether the process reports itself ready.
    pub is_ready: bool,
    /// Whether the process exited by itself.
    pub has_exited: bool,
    /// Number of ticks that the process got.
    pub ticks_count: u64,
    /// When the process resumed after its last pause.
    pub resumed_at: Option<Time>,
    /// When the process last died.
    pub died_at: Option<Time>,
    pub(crate) started: Time,
    pub(crate) timer_at: Option<Time>,
    pub(crate) inbox: Vec<Arrival>,
    pub(crate) active_reads: BTreeMap<AttemptId, ActiveRead>,
}

impl Vm {
    pub(crate) const fn new(member: Member, node: Box<dyn Node>, started: Time) -> Self {
        Self {
            member,
            node: Some(node),
            is_paused: false,
            is_ready: false,
            has_exited: false,
            ticks_count: 0,
            resumed_at: None,
            died_at: None,
            started,
            timer_at: None,
            inbox: Vec::new(),
            active_reads: BTreeMap::new(),
        }
    }

    /// Converts fleet time to the process's clock, which starts at 0.
    pub(crate) const fn local_time(&self, now: Time) -> Time {
        Time::from_us(now.as_us().saturating_sub(self.started.as_us()))
    }

    /// When the process wants its next tick, in fleet time, at the earliest `after` from now.
    pub(crate) fn next_tick_at(&self, now: Time, after: Millis) -> Option<Time> {
        let local = self.node.as_ref()?.next_wakeup()?;
        let at = Time::from_us(local.as_us().saturating_add(self.started.as_us()));
        Some(at.max(now + after))
    }

    /// Whether the process is alive, paused or not.
    pub const fn is_up(&self) -> bool {
        self.node.is_some()
    }
}
