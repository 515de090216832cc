//! Counters of an engine.

use persimmon_core::units::KvBytes;
use serde::Serialize;

/// Counters of an engine.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineCounters {
    /// Streams that were accepted.
    pub started_requests: u64,
    /// Streams that were completed.
    pub complete_requests: u64,
    /// Streams that were cancelled.
    pub cancelled_requests: u64,
    /// Streams that were refused.
    pub refused_requests: u64,
    /// Calls refused for an outdated fencing number.
    pub fenced_requests: u64,
    /// Crashes from overload while cold.
    pub falls_count: u64,
    /// Streams that were accepted above the capacity while cold.
    pub over_bearable_requests: u64,
    /// Maximum number of concurrent streams so far.
    pub most_in_flight_requests: u32,
    /// Current number of streams.
    pub in_flight_requests: u32,
    /// Current capacity in streams.
    pub bearable_requests: u32,
    /// KV memory held by streams and segments.
    pub kv_held_bytes: KvBytes,
    /// Current number of blocks in the prefix cache.
    pub cached_blocks: u64,
    /// Tokens that were prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}
