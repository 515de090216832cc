//! Observations of a run.

use persimmon_core::{
    catalog::CallKind,
    ids::{FailureDomain, UpstreamId},
    units::{Millis, RequestsPerSecond},
};
use std::sync::Arc;

/// Number of a daemon, from 0.
pub type DaemonIndex = usize;

/// A component of the deployment that faults affect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Component {
    /// The store, for all daemons.
    Store,
    /// The link from one daemon to the store.
    StoreLink(DaemonIndex),
    /// A daemon's own links to all upstreams.
    UpstreamLinks(DaemonIndex),
    /// A daemon's process, or its link to callers.
    Daemon(DaemonIndex),
    /// A daemon's planned stop or its start.
    Restart(DaemonIndex),
    /// An upstream across its restarts, or the link to it.
    Upstream(Arc<str>),
}

impl From<&UpstreamId> for Component {
    /// The component of an upstream id: the id without the number of the incarnation. A link fault
    /// persists when another incarnation starts behind the link.
    fn from(id: &UpstreamId) -> Self {
        let name = id.as_str().rsplit_once('-');
        Self::Upstream(name.map_or(id.as_str(), |(name, _)| name).into())
    }
}

/// How the body that a caller received compares with the expected one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyCheck {
    /// Equal.
    Complete,
    /// A prefix, and the connection reported the missing end.
    Truncated,
    /// Different, or a prefix that the connection reported as complete.
    Wrong,
}

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller is about to send a request.
    RequestSent {
        /// Id of the request.
        request_id: Arc<str>,
        /// The daemon.
        daemon: DaemonIndex,
        /// Whether the request may be repeated.
        kind: CallKind,
        /// Name of the route.
        route: Arc<str>,
        /// The key.
        key: Arc<str>,
        /// Time that the caller allows for the answer.
        deadline_ms: Millis,
    },
    /// An upstream got a request and rejected it without running it.
    Rejected {
        /// Id of the request.
        request_id: Arc<str>,
    },
    /// A caller received an answer, complete or not.
    Answered {
        /// Id of the request.
        request_id: Arc<str>,
        /// HTTP status.
        status: u16,
        /// Check of the body received.
        body: BodyCheck,
    },
    /// A caller's connection ended without an answer.
    ConnectionClosed {
        /// Id of the request.
        request_id: Arc<str>,
    },
    /// A caller disconnected before its answer was complete.
    CallerLeft {
        /// Id of the request.
        request_id: Arc<str>,
    },
    /// An upstream started to run a request.
    RunStarted {
        /// Id of the request.
        request_id: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's failure domain.
        domain: FailureDomain,
        /// Remaining time that the daemon passed to the upstream.
        deadline_ms: Option<Millis>,
    },
    /// A request's run at an upstream ended.
    RunEnded {
        /// Id of the request.
        request_id: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream has written to the store that it drains.
    UpstreamDraining {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The store acknowledged that a failure domain is out of service.
    DomainDrained {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// A failure domain returns to service; recorded before the store has the change.
    DomainReturned {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// The store acknowledged a catalog without a key.
    KeyRevoked {
        /// The key.
        key: Arc<str>,
    },
    /// The store acknowledged a catalog without a route.
    RouteRemoved {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The store acknowledged a catalog with a new key.
    KeyAdded {
        /// The key.
        key: Arc<str>,
    },
    /// The store acknowledged a catalog with a new route.
    RouteAdded {
        /// Name of the route.
        route: Arc<str>,
    },
    /// An upstream answered a request and said that it is about to stop.
    LeavingAnswered {
        /// Id of the request.
        request_id: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream turned a request away.
    TurnedAway {
        /// Id of the request.
        request_id: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
        /// For how long it wants no more requests from the daemon; zero if it does not say.
        for_ms: Millis,
    },
    /// An upstream states another rate in its answers from now on, or none.
    RateLimitChanged {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests a second that it takes from all daemons together.
        per_s: Option<RequestsPerSecond>,
    },
    /// An upstream stated its rate in the answer to a request.
    RateLimitStated {
        /// Id of the request.
        request_id: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The store is about to be restored from an older copy.
    StoreRestored,
    /// An upstream became cold.
    UpstreamCold {
        /// The upstream.
        upstream: UpstreamId,
        /// How long it stays cold.
        for_ms: Millis,
    },
    /// An upstream reserved memory.
    MemoryReserved {
        /// Id of the reservation.
        ticket: Arc<str>,
    },
    /// A memory reservation was released or expired.
    MemoryReleased {
        /// Id of the reservation.
        ticket: Arc<str>,
    },
    /// A daemon was asked to stop.
    DaemonStopping {
        /// The daemon.
        daemon: DaemonIndex,
    },
    /// A daemon's process exited or was ended by a signal.
    DaemonExited {
        /// The daemon.
        daemon: DaemonIndex,
        /// Exit code; none after a signal.
        code: Option<i32>,
    },
    /// A fault of a component started.
    FaultStarted(Component),
    /// The fault is over.
    FaultEnded(Component),
}
