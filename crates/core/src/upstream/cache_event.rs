//! Events of an engine's prefix cache. They arrive late, and some can be lost.

use crate::ids::{BlockHash, Incarnation};
use serde::{Deserialize, Serialize};

/// A batch of consecutive cache events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Sequence number of the first change. If it does not follow the previous batch, events were
    /// lost.
    pub first_seq_index: u64,
    /// The changes, in order.
    pub changes: Vec<CacheChange>,
    /// Whether the batch lists the whole cache, as a resync.
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
