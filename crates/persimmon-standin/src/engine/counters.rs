//! What an engine has counted.

use persimmon_core::units::KvBytes;
use serde::Serialize;

/// What an engine has counted.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct EngineCounters {
    pub(crate) started_requests: u64,
    pub(crate) complete_requests: u64,
    pub(crate) cancelled_requests: u64,
    pub(crate) refused_requests: u64,
    pub(crate) fenced_requests: u64,
    pub(crate) falls_count: u64,
    pub(crate) over_bearable_requests: u64,
    pub(crate) most_in_flight_requests: u32,
    pub(crate) in_flight_requests: u32,
    pub(crate) bearable_requests: u32,
    pub(crate) kv_held_bytes: KvBytes,
    pub(crate) cached_blocks: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) cached_tokens: u64,
}
