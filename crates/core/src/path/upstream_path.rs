//! Paths to an upstream, and what connecting on them shows.

use crate::{
    fleet::UpstreamIncarnation,
    ids::VmId,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A path from this daemon to an upstream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamPath {
    /// This daemon's own link.
    Direct,
    /// By way of a peer, which connects to the upstream and passes bytes on.
    Relay(VmId),
}

/// How an attempt to connect ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PathEnd {
    /// The upstream accepted the connection.
    Connected,
    /// The connection was refused or reset.
    Refused,
    /// No answer came in time, or another path was faster.
    Silent,
    /// The relay did not try, or was not reached. That says nothing of the upstream.
    Unavailable,
}

/// An attempt to connect to an upstream on one path.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PathAttempt {
    /// The path.
    pub path: UpstreamPath,
    /// How it ended.
    pub end: PathEnd,
}

/// The attempts to open one connection, in the order in which they began.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct PathAttempts(pub Vec<PathAttempt>);

impl PathAttempts {
    /// How the attempt on the daemon's own link ended, if there was one.
    pub fn direct(&self) -> Option<PathEnd> {
        let attempts = self.0.iter();
        let mut direct = attempts.filter(|attempt| attempt.path == UpstreamPath::Direct);
        direct.next().map(|attempt| attempt.end)
    }

    /// How attempts by way of peers that tried ended.
    fn relayed(&self) -> impl Iterator<Item = PathEnd> + '_ {
        let relays = self.0.iter().filter(|attempt| {
            attempt.path != UpstreamPath::Direct && attempt.end != PathEnd::Unavailable
        });
        relays.map(|attempt| attempt.end)
    }

    /// Peers by way of which no connection was opened.
    pub fn useless_relays(&self) -> impl Iterator<Item = &VmId> {
        let attempts = self.0.iter();
        let failed = attempts.filter(|attempt| attempt.end != PathEnd::Connected);
        failed.filter_map(|attempt| match &attempt.path {
            UpstreamPath::Relay(vm) => Some(vm),
            UpstreamPath::Direct => None,
        })
    }

    /// Whether the upstream accepts connections of a peer, but not of this daemon: its own link is lost.
    pub fn show_lost_link(&self) -> bool {
        let is_failed = self
            .direct()
            .is_some_and(|end| matches!(end, PathEnd::Refused | PathEnd::Silent));
        is_failed && self.relayed().any(|end| end == PathEnd::Connected)
    }

    /// Whether neither this daemon nor a peer that tried can connect to the upstream.
    pub fn show_unreachable(&self) -> bool {
        let is_direct_down = self.direct().is_none_or(|end| end != PathEnd::Connected);
        let mut relayed = self.relayed().peekable();
        is_direct_down && relayed.peek().is_some() && relayed.all(|end| end != PathEnd::Connected)
    }

    /// Whether the upstream's process has ended: its VM refuses connections, also of a peer if one tried.
    pub fn show_ended(&self) -> bool {
        self.direct() == Some(PathEnd::Refused) && self.relayed().all(|end| end == PathEnd::Refused)
    }
}

/// The paths on which to open a connection. The first one that connects is used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPlan {
    /// The paths, the preferred one first.
    pub paths: Vec<UpstreamPath>,
    /// Time after which the next path is tried as well. After a failure it is tried at once.
    pub stagger_ms: Millis,
}

impl PathPlan {
    /// The daemon's own link only.
    pub fn direct() -> Self {
        Self {
            paths: vec![UpstreamPath::Direct],
            stagger_ms: Millis::ZERO,
        }
    }
}

/// A connection that was opened by way of a peer, and the attempts on other paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathReport {
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    /// The request that the connection was opened for, if it was a caller's.
    pub request: Option<Arc<str>>,
    /// The attempts.
    pub attempts: PathAttempts,
}

/// Whether a time has not come yet.
pub(super) fn is_before(now: Time, until: Option<Time>) -> bool {
    until.is_some_and(|until| now < until)
}
