//! Limits of the callers' HTTP interface.

use persimmon_core::units::{Millis, Tokens};

/// Limits of the callers' HTTP interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Bytes of request bodies that are held at a time. Parsing and sending take up to four times as much.
    pub bodies_max_bytes: usize,
    /// Largest request head: target, header names and header values.
    pub head_max_bytes: usize,
    /// Most requests that are open at a time.
    pub open_max_requests: usize,
    /// Socket time-out: the longest wait for more bytes of a caller that is sending, and for a write
    /// to a caller that does not read.
    pub io_time_ms: Millis,
    /// Longest time for a whole body to arrive.
    pub body_time_ms: Millis,
    /// Time-out of a request whose caller sends no `X-Request-Timeout-Ms`.
    pub default_timeout_ms: Millis,
    /// Largest `X-Request-Timeout-Ms` that is accepted.
    pub max_timeout_ms: Millis,
    /// `max_tokens` of a model call that states none.
    pub default_output_tokens: Tokens,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 32 << 20,
            bodies_max_bytes: 32 << 20,
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
