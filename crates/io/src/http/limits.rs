//! Limits of the callers' interface.

use persimmon_core::units::{Millis, Tokens};

/// Limits of the callers' interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Largest body.
    pub body_max_bytes: usize,
    /// Largest head: request target and headers.
    pub head_max_bytes: usize,
    /// Most requests at a time.
    pub open_max_requests: usize,
    /// Longest gap between two reads from a caller that sends, and longest write to one that does
    /// not read.
    pub io_time_ms: Millis,
    /// Longest time for a body to arrive.
    pub body_time_ms: Millis,
    /// Time for a whole answer where the caller states none.
    pub default_timeout_ms: Millis,
    /// Longest time that a caller may ask for.
    pub max_timeout_ms: Millis,
    /// Tokens of an answer where the caller states none.
    pub default_output_tokens: Tokens,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 32 << 20,
            head_max_bytes: 16 << 10,
            open_max_requests: 1024,
            io_time_ms: Millis::from_secs(10),
            body_time_ms: Millis::from_secs(30),
            default_timeout_ms: Millis::from_secs(120),
            max_timeout_ms: Millis::from_secs(900),
            default_output_tokens: Tokens::new(256),
        }
    }
}
