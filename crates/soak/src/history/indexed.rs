//! The observations of a run, indexed by request for the invariant checks.

use super::{BodyCheck, Component, DaemonIndex, Observation};
use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::{Millis, Time},
};
use std::{collections::HashMap, sync::Arc};

/// Time after a fault until the time limits apply again (`stabilityWindowMs` of the sites).
const STABILITY_MS: Millis = Millis::new(3_000);

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRun {
    /// Start of the run.
    pub at: Time,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Failure domain of the upstream.
    pub domain: FailureDomain,
    /// Remaining time that the daemon passed to the upstream.
    pub deadline_ms: Option<Millis>,
    /// End of the run; none while it lasts.
    pub ended_at: Option<Time>,
}

/// A request with its runs and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Time of sending.
    pub at: Time,
    /// Daemon that received the request.
    pub daemon: DaemonIndex,
    /// Whether the request may be repeated.
    pub kind: CallKind,
    /// Name of the route.
    pub route: Arc<str>,
    /// Key of the caller.
    pub key: Arc<str>,
    /// Time that the caller allows for the answer.
    pub deadline_ms: Millis,
    /// Runs at upstreams.
    pub runs: Vec<UpstreamRun>,
    /// When upstreams rejected it without running it.
    pub rejected_at: Vec<Time>,
    /// Status and body check of the answer.
    pub answer: Option<(u16, BodyCheck)>,
    /// When the answer, or the connection, ended.
    pub ended_at: Option<Time>,
    /// When the caller disconnected.
    pub left_at: Option<Time>,
}

impl RequestRecord {
    /// Whether the caller got a complete answer with status 200.
    pub const fn is_served(&self) -> bool {
        matches!(self.answer, Some((200, BodyCheck::Complete)))
    }
}

/// The observations of a run so far, indexed by request for the invariant checks.
#[derive(Debug, Default)]
pub struct IndexedHistory {
    /// Time of indexing.
    pub now: Time,
    /// Requests, in the order of sending.
    pub requests: Vec<RequestRecord>,
    /// All observations that are not about a request or a fault, in the order of time.
    pub events: Vec<(Time, Observation)>,
    by_request_id: HashMap<Arc<str>, usize>,
    faults: Vec<(Component, Time, Option<Time>)>,
}

impl IndexedHistory {
    /// Indexes the observations.
    pub fn new(now: Time, seen: Vec<(Time, Observation)>) -> Self {
        let mut indexed = Self {
            now,
            ..Self::default()
        };
        for (at, observation) in seen {
            indexed.insert(at, observation);
        }
        indexed
    }

    fn insert(&mut self, at: Time, observation: Observation) {
        match observation {
            Observation::RequestSent {
                request_id,
                daemon,
                kind,
                route,
                key,
                deadline_ms,
            } => {
                self.by_request_id
                    .insert(Arc::clone(&request_id), self.requests.len());
                self.requests.push(RequestRecord {
                    request_id,
                    at,
                    daemon,
                    kind,
                    route,
                    key,
                    deadline_ms,
                    runs: Vec::new(),
                    rejected_at: Vec::new(),
                    answer: None,
                    ended_at: None,
                    left_at: None,
                });
            }
            Observation::FaultStarted(component) => self.faults.push((component, at, None)),
            Observation::FaultEnded(component) => {
                let mut open = self.faults.iter_mut().rev();
                if let Some((_, _, end)) =
                    open.find(|(of, _, end)| *of == component && end.is_none())
                {
                    *end = Some(at);
                }
            }
            other => self.insert_progress(at, other),
        }
    }

    /// Applies observations about a sent request to its record; keeps all others as events.
    fn insert_progress(&mut self, at: Time, observation: Observation) {
        match observation {
            Observation::Answered {
                request_id,
                status,
                body,
            } => self.update_request(&request_id, |request| {
                request.answer = Some((status, body));
                request.ended_at = Some(at);
            }),
            Observation::ConnectionClosed { request_id } => {
                self.update_request(&request_id, |request| request.ended_at = Some(at))
            }
            Observation::CallerLeft { request_id } => {
                self.update_request(&request_id, |request| request.left_at = Some(at))
            }
            Observation::RunStarted {
                request_id,
                upstream,
                domain,
                deadline_ms,
            } => self.update_request(&request_id, |request| {
                request.runs.push(UpstreamRun {
                    at,
                    upstream,
                    domain,
                    deadline_ms,
                    ended_at: None,
                });
            }),
            Observation::Rejected { request_id } => {
                self.update_request(&request_id, |request| request.rejected_at.push(at));
            }
            Observation::RunEnded {
                request_id,
                upstream,
            } => self.update_request(&request_id, |request| {
                let mut open = request.runs.iter_mut().rev();
                let run = open.find(|run| run.upstream == upstream && run.ended_at.is_none());
                if let Some(run) = run {
                    run.ended_at = Some(at);
                }
            }),
            other => self.events.push((at, other)),
        }
    }

    fn update_request(&mut self, request_id: &str, change: impl FnOnce(&mut RequestRecord)) {
        let index = self.by_request_id.get(request_id).copied();
        if let Some(request) = index.and_then(|index| self.requests.get_mut(index)) {
            change(request);
        }
    }

    /// Whether a component was free of faults in a period and for `STABILITY_MS` before it.
    pub fn fault_free(&self, component: &Component, from: Time, to: Time) -> bool {
        let from = from - STABILITY_MS;
        let overlaps = |(of, start, end): &(Component, Time, Option<Time>)| {
            of == component && *start <= to && end.is_none_or(|end| end >= from)
        };
        !self.faults.iter().any(overlaps)
    }

    /// Whether a daemon's process and its access to the store were free of faults in a period.
    pub fn daemon_fault_free(&self, daemon: DaemonIndex, from: Time, to: Time) -> bool {
        self.process_fault_free(daemon, from, to)
            && self.fault_free(&Component::StoreLink(daemon), from, to)
            && self.fault_free(&Component::Store, from, to)
    }

    /// Whether a daemon's process ran without faults in a period.
    pub fn process_fault_free(&self, daemon: DaemonIndex, from: Time, to: Time) -> bool {
        self.fault_free(&Component::Daemon(daemon), from, to)
            && self.fault_free(&Component::Restart(daemon), from, to)
    }

    /// Whether a daemon's links to upstreams were neither lost nor restored in a period and `STABILITY_MS` before.
    pub fn links_steady(&self, daemon: DaemonIndex, from: Time, to: Time) -> bool {
        let from = from - STABILITY_MS;
        let is_within = |at: Time| at >= from && at <= to;
        let component = Component::UpstreamLinks(daemon);
        let mut faults = self.faults.iter().filter(|(of, _, _)| *of == component);
        faults.all(|(_, start, end)| !is_within(*start) && !end.is_some_and(is_within))
    }

    /// Whether a daemon had no links to upstreams in a period and `STABILITY_MS` before it.
    pub fn links_lost(&self, daemon: DaemonIndex, from: Time, to: Time) -> bool {
        let component = Component::UpstreamLinks(daemon);
        let covers = |(of, start, end): &(Component, Time, Option<Time>)| {
            *of == component && *start + STABILITY_MS <= from && end.is_none_or(|end| end >= to)
        };
        self.faults.iter().any(covers)
    }

    /// The request with an id.
    pub fn request(&self, request_id: &str) -> Option<&RequestRecord> {
        self.requests.get(*self.by_request_id.get(request_id)?)
    }

    /// End of the last fault; none while a fault lasts.
    pub fn fault_free_since(&self) -> Option<Time> {
        let ends = self.faults.iter().map(|(_, _, end)| *end);
        let last = ends.collect::<Option<Vec<_>>>()?.into_iter().max();
        Some(last.unwrap_or(Time::START))
    }
}
