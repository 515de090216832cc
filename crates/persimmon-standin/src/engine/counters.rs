//! What an engine has counted.

use persimmon_core::units::KvBytes;
use serde::Serialize;

/// What an engine has counted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineCounters {
    /// Streams taken in.
    pub started_requests: u64,
    /// Streams that ended whole.
    pub complete_requests: u64,
    /// Streams that were cancelled.
    pub cancelled_requests: u64,
    /// Streams that were refused.
    pub refused_requests: u64,
    /// Calls with an old fencing number.
    pub fenced_requests: u64,
    /// Times that it fell over.
    pub falls_count: u64,
    /// Streams taken in above what it bore when cold.
    pub over_bearable_requests: u64,
    /// Most streams at a time.
    pub most_in_flight_requests: u32,
    /// Streams now.
    pub in_flight_requests: u32,
    /// Streams that it bears now.
    pub bearable_requests: u32,
    /// KV memory held by streams and segments.
    pub kv_held_bytes: KvBytes,
    /// Blocks in its prefix cache.
    pub cached_blocks: u64,
    /// Tokens prefilled.
    pub prefilled_tokens: u64,
    /// Tokens found in its prefix cache.
    pub cached_tokens: u64,
}
