//! Generates request ids.

use persimmon_core::ids::RequestId;
use std::{
    hash::{BuildHasher, RandomState},
    sync::atomic::{AtomicU64, Ordering},
};

/// Generates request ids that are unique across daemons: a keyed hash of a counter, with a 128-bit
/// key from the operating system.
#[derive(Debug, Default)]
pub struct IdSource {
    high: RandomState,
    low: RandomState,
    last_index: AtomicU64,
}

impl IdSource {
    /// Generates a new id.
    pub fn next_id(&self) -> RequestId {
        let index = self.last_index.fetch_add(1, Ordering::Relaxed);
        let high = u128::from(self.high.hash_one((index, "high")));
        let low = u128::from(self.low.hash_one((index, "low")));
        RequestId::new(high << 64 | low)
    }
}
