//! The observations, arranged for the promises.

use super::{Content, DaemonIndex, Observation, Part};
use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::{Millis, Time},
};
use std::{collections::HashMap, sync::Arc};

/// Time without faults after which bounds hold again (`stabilityWindowMs` of the users' sites).
const STABILITY_MS: Millis = Millis::new(3_000);

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Ran {
    /// When it began.
    pub at: Time,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The time that the upstream was given.
    pub deadline_ms: Option<Millis>,
    /// When it ended.
    pub ended_at: Option<Time>,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub tag: Arc<str>,
    /// When it was sent.
    pub at: Time,
    /// The daemon.
    pub daemon: DaemonIndex,
    /// What may be repeated.
    pub kind: CallKind,
    /// The route.
    pub route: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// How long the caller waits.
    pub deadline_ms: Millis,
    /// Its runs.
    pub runs: Vec<Ran>,
    /// Status and content of the answer.
    pub answer: Option<(u16, Content)>,
    /// When the answer, or the connection, ended.
    pub ended_at: Option<Time>,
    /// When the caller left.
    pub left_at: Option<Time>,
}

impl Asked {
    /// Whether the caller got the whole answer.
    pub const fn is_served(&self) -> bool {
        matches!(self.answer, Some((200, Content::Whole)))
    }
}

/// The observations of a run so far, arranged for the promises.
#[derive(Debug, Default)]
pub struct Book {
    /// When it was arranged.
    pub now: Time,
    /// Requests, by when they were sent.
    pub asked: Vec<Asked>,
    /// All else, by time.
    pub events: Vec<(Time, Observation)>,
    by_tag: HashMap<Arc<str>, usize>,
    faults: Vec<(Part, Time, Option<Time>)>,
}

impl Book {
    /// Arranges observations.
    pub fn new(now: Time, seen: Vec<(Time, Observation)>) -> Self {
        let mut book = Self {
            now,
            ..Self::default()
        };
        for (at, observation) in seen {
            book.take(at, observation);
        }
        book
    }

    fn take(&mut self, at: Time, observation: Observation) {
        match observation {
            Observation::Asked {
                tag,
                daemon,
                kind,
                route,
                key,
                deadline_ms,
            } => {
                self.by_tag.insert(Arc::clone(&tag), self.asked.len());
                self.asked.push(Asked {
                    tag,
                    at,
                    daemon,
                    kind,
                    route,
                    key,
                    deadline_ms,
                    runs: Vec::new(),
                    answer: None,
                    ended_at: None,
                    left_at: None,
                });
            }
            Observation::Disturbed(part) => self.faults.push((part, at, None)),
            Observation::Calm(part) => {
                let mut open = self.faults.iter_mut().rev();
                if let Some((_, _, end)) = open.find(|(of, _, end)| *of == part && end.is_none()) {
                    *end = Some(at);
                }
            }
            other => self.take_progress(at, other),
        }
    }

    /// What became of a request; all else is kept as it is.
    fn take_progress(&mut self, at: Time, observation: Observation) {
        match observation {
            Observation::Answered {
                tag,
                status,
                content,
            } => self.with(&tag, |asked| {
                asked.answer = Some((status, content));
                asked.ended_at = Some(at);
            }),
            Observation::Closed { tag } => self.with(&tag, |asked| asked.ended_at = Some(at)),
            Observation::Left { tag } => self.with(&tag, |asked| asked.left_at = Some(at)),
            Observation::Ran {
                tag,
                upstream,
                domain,
                deadline_ms,
            } => self.with(&tag, |asked| {
                asked.runs.push(Ran {
                    at,
                    upstream,
                    domain,
                    deadline_ms,
                    ended_at: None,
                });
            }),
            Observation::Rested { tag, upstream } => self.with(&tag, |asked| {
                let mut open = asked.runs.iter_mut().rev();
                let run = open.find(|run| run.upstream == upstream && run.ended_at.is_none());
                if let Some(run) = run {
                    run.ended_at = Some(at);
                }
            }),
            other => self.events.push((at, other)),
        }
    }

    fn with(&mut self, tag: &str, change: impl FnOnce(&mut Asked)) {
        let index = self.by_tag.get(tag).copied();
        if let Some(asked) = index.and_then(|index| self.asked.get_mut(index)) {
            change(asked);
        }
    }

    /// Whether a part was free of faults from a moment to another, and for a while before.
    pub fn calm(&self, part: &Part, from: Time, to: Time) -> bool {
        let from = from - STABILITY_MS;
        let disturbs = |(of, start, end): &(Part, Time, Option<Time>)| {
            of == part && *start <= to && end.is_none_or(|end| end >= from)
        };
        !self.faults.iter().any(disturbs)
    }

    /// Whether a daemon ran and reached the store from a moment to another.
    pub fn in_touch(&self, daemon: DaemonIndex, from: Time, to: Time) -> bool {
        let parts = [
            Part::Daemon(daemon),
            Part::Restart(daemon),
            Part::StoreOf(daemon),
            Part::Store,
        ];
        parts.iter().all(|part| self.calm(part, from, to))
    }

    /// Since when there has been no fault; none while there is one.
    pub fn calm_since(&self) -> Option<Time> {
        let ends = self.faults.iter().map(|(_, _, end)| *end);
        let last = ends.collect::<Option<Vec<_>>>()?.into_iter().max();
        Some(last.unwrap_or(Time::START))
    }
}
