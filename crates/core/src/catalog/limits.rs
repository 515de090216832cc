//! Limits for callers.

use crate::units::Millis;
use serde::{Deserialize, Serialize};

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head_max_bytes: usize,
    /// Maximum size of a request's body.
    pub body_max_bytes: usize,
    /// Time within which the head must arrive.
    pub head_timeout_ms: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: Millis,
}
