//! Answers to callers whose requests are not served.

use crate::units::Millis;
use serde::Serialize;

/// Why a request is refused or abandoned.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No catalog is known yet.
    NoCatalog,
    /// The last contact with the store is so old that keys may have been revoked since.
    KnowledgeTooOld,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    WrongKey,
    /// No upstream of the service is in service.
    NoUpstream,
    /// All upstreams are at capacity, and none is predicted to have room in time.
    NoCapacity,
    /// The prompt can't be prefilled before the deadline, or exceeds the memory of all engines.
    TooLarge,
    /// The daemon is shutting down.
    Stopping,
    /// The upstreams that were tried refused the request or could not be reached.
    UpstreamsRefused,
    /// The upstream failed, and the call can't be retried.
    UpstreamFailed,
    /// The caller's or the route's timeout expired.
    TimedOut,
    /// A fingerprint of the request was in flight when several upstreams ended, and has got no answer since.
    Quarantined,
    /// The daemon's memory budget has no room for the request.
    MemoryFull,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
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
            Self::Quarantined => "quarantined",
            Self::MemoryFull => "memory_full",
        }
    }
}

/// The answer to a request that is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Time after which a retry by the caller has a chance to be served.
    pub retry_after_ms: Option<Millis>,
}
