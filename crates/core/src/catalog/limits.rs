//! Limits of what a caller may send.

use crate::units::Millis;

/// Limits of what a caller may send, and of how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout_ms: Millis,
    /// Longest time that a connection may stay idle.
    pub idle_timeout_ms: Millis,
}
