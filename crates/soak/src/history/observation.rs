//! One thing that was seen.

use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::Millis,
};
use std::sync::Arc;

/// A daemon, counted from 0.
pub type DaemonIndex = usize;

/// A part of the deployment that faults disturb.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// The store, for all.
    Store,
    /// The store, for one daemon.
    StoreOf(DaemonIndex),
    /// A daemon's process, or its link to callers.
    Daemon(DaemonIndex),
    /// A daemon that stops as planned, or starts.
    Restart(DaemonIndex),
    /// A place at which upstreams start one after the other, or the link to it.
    Upstream(Arc<str>),
}

impl From<&UpstreamId> for Part {
    /// The place of an upstream: its id without the number of its start. A link that is disturbed stays
    /// so when another upstream starts behind it.
    fn from(id: &UpstreamId) -> Self {
        let place = id.as_str().rsplit_once('-');
        Self::Upstream(place.map_or(id.as_str(), |(place, _)| place).into())
    }
}

/// What a caller got as the content of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// All of it.
    Whole,
    /// Its start; the end is missing, and the connection says so.
    Cut,
    /// Something else, or the start of it with an end that looks whole.
    Wrong,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller sent a request, whole.
    Asked {
        /// Its id.
        tag: Arc<str>,
        /// The daemon.
        daemon: DaemonIndex,
        /// What may be repeated.
        kind: CallKind,
        /// The route, by its name.
        route: Arc<str>,
        /// The key.
        key: Arc<str>,
        /// How long the caller waits.
        deadline_ms: Millis,
    },
    /// A caller got an answer.
    Answered {
        /// Its id.
        tag: Arc<str>,
        /// The status.
        status: u16,
        /// What it got.
        content: Content,
    },
    /// A caller's connection ended without an answer.
    Closed {
        /// Its id.
        tag: Arc<str>,
    },
    /// A caller left before its answer was whole.
    Left {
        /// Its id.
        tag: Arc<str>,
    },
    /// An upstream began to work on a request.
    Ran {
        /// Its id.
        tag: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's failure domain.
        domain: FailureDomain,
        /// The time that the upstream was given.
        deadline_ms: Option<Millis>,
    },
    /// An upstream's work on a request ended.
    Rested {
        /// Its id.
        tag: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The store acknowledged that an upstream is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The store acknowledged that a failure domain is out of service.
    DomainOut {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// It is back.
    DomainBack {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// The store acknowledged a catalog without a key.
    KeyGone {
        /// The key.
        key: Arc<str>,
    },
    /// The store acknowledged a catalog without a route.
    RouteGone {
        /// The route, by its name.
        route: Arc<str>,
    },
    /// The store acknowledged a catalog with a new key.
    KeyNew {
        /// The key.
        key: Arc<str>,
    },
    /// The store acknowledged a catalog with a new route.
    RouteNew {
        /// The route, by its name.
        route: Arc<str>,
    },
    /// An upstream is cold from now on.
    Cold {
        /// The upstream.
        upstream: UpstreamId,
        /// For how long.
        for_ms: Millis,
    },
    /// An upstream set memory aside.
    Held {
        /// The reservation.
        ticket: Arc<str>,
    },
    /// It is given back, or its lease is over.
    Freed {
        /// The reservation.
        ticket: Arc<str>,
    },
    /// A daemon was asked to stop.
    Stopping {
        /// The daemon.
        daemon: DaemonIndex,
    },
    /// A daemon's process ended by itself or by a signal.
    Ended {
        /// The daemon.
        daemon: DaemonIndex,
        /// Its exit code; none after a signal.
        code: Option<i32>,
    },
    /// A fault begins.
    Disturbed(Part),
    /// It is over.
    Calm(Part),
}
