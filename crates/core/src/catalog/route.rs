//! Routes from a host and path to services.

use crate::{ids::ServiceName, units::Millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Whether a call can be repeated, and how it is answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call must run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another upstream can resume the stream after the last event that the caller
        /// received.
        resumable: bool,
        /// Maximum pause between events for the answer to count as on time.
        pause_target_ms: Millis,
    },
}

impl CallKind {
    /// Whether a call that may have run can be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::Streaming {
                    resumable: true,
                    ..
                }
        )
    }

    /// Name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming { .. } => "streaming",
        }
    }
}

/// A service that receives a share of a route's calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight_ratio: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host, in lower case.
    pub host: String,
    /// Prefix of the paths that it matches. Begins and ends with a slash.
    pub prefix: String,
    /// Kind of its calls.
    pub kind: CallKind,
    /// Time after which a call fails.
    pub timeout_ms: Millis,
    /// Target time to the answer; for streams, to the first event.
    pub target_latency_ms: Millis,
    /// Priority of its calls; 0 is the highest.
    pub priority: u8,
    /// The services that receive its calls.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one call is sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Picks a call's target by weight. The pick is a hash of the call id, so it is the same each
    /// time. `None` if all weights are 0.
    pub fn target(&self, call_id: &str) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight_ratio)).sum();
        let mut remaining = xxh3_64(call_id.as_bytes()).checked_rem(total)?;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight_ratio);
            let chosen = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            chosen
        })
    }
}
