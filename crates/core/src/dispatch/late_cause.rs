//! Why a response was late.

use serde::Serialize;

/// Which target a response missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateCause {
    /// The first event was late.
    FirstEvent,
    /// A gap was too long.
    Gap,
    /// Both.
    Both,
}

impl LateCause {
    /// The cause; none for a response that missed no target.
    pub const fn new(first_event_late: bool, gap_missed: bool) -> Option<Self> {
        match (first_event_late, gap_missed) {
            (true, true) => Some(Self::Both),
            (true, false) => Some(Self::FirstEvent),
            (false, true) => Some(Self::Gap),
            (false, false) => None,
        }
    }

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::Gap => "gap",
            Self::Both => "both",
        }
    }
}
