//! A VM and what is on its way to it.

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

/// Something that reaches a VM's process.
#[derive(Clone, Debug)]
pub(crate) enum Arrival {
    /// A timer.
    Timer,
    /// An event of the core.
    Event(Event),
    /// A piece of an engine's answer.
    Chunk {
        attempt: AttemptId,
        offset: Tokens,
        chunk: Bytes,
    },
    /// An engine's finish marker.
    Finish { attempt: AttemptId, end: Tokens },
    /// A service's answer.
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

/// An attempt that a traffic thread reads.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRead {
    pub(crate) upstream: UpstreamId,
    /// When progress was last told to the core.
    pub(crate) progress_sent_at: Option<Time>,
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its daemon's present run.
    pub member: Member,
    /// The process, absent while it is dead.
    pub node: Option<Box<dyn Node>>,
    /// Whether the process is paused.
    pub is_paused: bool,
    /// Whether it says that it is ready.
    pub is_ready: bool,
    /// Whether it ended by itself.
    pub has_exited: bool,
    /// Ticks so far.
    pub ticks_count: u64,
    /// When the process went on after its last pause.
    pub resumed_at: Option<Time>,
    /// When it died last.
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

    /// The fleet's time on this process's clock.
    pub(crate) const fn local_time(&self, now: Time) -> Time {
        Time::from_us(now.as_us().saturating_sub(self.started.as_us()))
    }

    /// When the process wants its next tick, on the fleet's clock.
    pub(crate) fn next_tick_at(&self, now: Time, after: Millis) -> Option<Time> {
        let local = self.node.as_ref()?.next_wakeup()?;
        let at = Time::from_us(local.as_us().saturating_add(self.started.as_us()));
        Some(at.max(now + after))
    }

    /// Whether the process is there, paused or not.
    pub const fn is_up(&self) -> bool {
        self.node.is_some()
    }
}
