//! Refusals: the request has not run and never will.

use crate::units::Millis;
use serde::Serialize;

/// Why a request is refused or given up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No catalog is known yet.
    NoCatalog,
    /// The store could not be followed for so long that keys may have been revoked unseen.
    KnowledgeTooOld,
    /// No route for the host and path.
    NoRoute,
    /// No key, or one that no workspace holds.
    WrongKey,
    /// No upstream of the service may get work.
    NoUpstream,
    /// All upstreams are taken, and none is foreseen to be free in time.
    NoCapacity,
    /// The prompt can't be read before the deadline, or fits no engine.
    TooLarge,
    /// The daemon is about to stop.
    Stopping,
    /// The upstreams tried refused it or could not be reached.
    UpstreamsRefused,
    /// The upstream broke off, and the call can't be repeated.
    UpstreamFailed,
    /// The time of the caller or of the route is over.
    TimedOut,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::KnowledgeTooOld => "knowledge_too_old",
            Self::NoRoute => "no_route",
            Self::WrongKey => "wrong_key",
            Self::NoUpstream => "no_upstream",
            Self::NoCapacity => "no_capacity",
            Self::TooLarge => "too_large",
            Self::Stopping => "stopping",
            Self::UpstreamsRefused => "upstreams_refused",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// The last word on a request that is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// When the caller may come back with a chance to be served.
    pub retry_after_ms: Option<Millis>,
}
