//! Events of an engine's prefix cache, which come late and with gaps.

use crate::ids::{BlockHash, Incarnation};
use serde::{Deserialize, Serialize};

/// A run of cache events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// The engine's process.
    pub incarnation: Incarnation,
    /// Sequence number of the first change; a jump from the last one is a gap.
    pub first_seq_index: u64,
    /// The changes, in order.
    pub changes: Vec<CacheChange>,
    /// Whether this is the whole cache: a resync.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
}

/// One change of a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// A block was stored.
    Stored(BlockHash),
    /// A block was evicted.
    Evicted(BlockHash),
}
