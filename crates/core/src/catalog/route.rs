//! Routes from a host and path to services.

use crate::{ids::ServiceName, units::Millis};
use xxhash_rust::xxh3::xxh3_64;

/// What may be repeated, and how the answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another upstream may go on after the last event that the caller has.
        resumable: bool,
        /// Longest pause between events for an answer that is on time.
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

    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming { .. } => "streaming",
        }
    }
}

/// A service that a route leads to, with its share of the route's calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight_ratio: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host it belongs to, in lower case.
    pub host: String,
    /// Start of the paths it takes. Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: Millis,
    /// Time within which an answer is on time. For streams, until the first event.
    pub target_latency_ms: Millis,
    /// Rank of its calls, 0 first.
    pub priority: u8,
    /// Where calls go.
    pub targets: Vec<Target>,
    /// Most upstreams that one call is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The target of one call, drawn by the weights from the call's own id.
    pub fn target(&self, call_id: &str) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight_ratio)).sum();
        let mut drawn = xxh3_64(call_id.as_bytes()).checked_rem(total)?;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight_ratio);
            let hit = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            hit
        })
    }
}
