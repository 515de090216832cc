//! Cache events that an engine publishes, delayed and with gaps.

use persimmon_core::{
    ids::{BlockHash, Incarnation},
    units::{Millis, Time},
    upstream::{CacheBatch, CacheChange},
};
use std::collections::VecDeque;

/// Maximum number of events that are kept.
const MAX_EVENTS_LEN: usize = 100_000;
/// Maximum number of changes in one answer.
const MAX_CHANGES_LEN: usize = 4_096;

/// The events of one engine's prefix cache.
#[derive(Debug)]
pub(crate) struct CacheLog {
    lag_ms: Millis,
    gap_every_count: u64,
    next_seq_index: u64,
    events: VecDeque<(u64, Time, CacheChange)>,
}

impl CacheLog {
    pub(crate) fn new(lag_ms: Millis, gap_every_count: u64) -> Self {
        Self {
            lag_ms,
            gap_every_count,
            next_seq_index: 0,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, now: Time, change: CacheChange) {
        let seq = self.next_seq_index;
        self.next_seq_index += 1;
        let lost = self.gap_every_count > 0 && (seq + 1) % self.gap_every_count == 0;
        if lost {
            return;
        }
        self.events.push_back((seq, now, change));
        if self.events.len() > MAX_EVENTS_LEN {
            self.events.pop_front();
        }
    }

    /// Returns the consecutive visible events from `from_seq_index` on, up to the next gap.
    pub(crate) fn since(
        &self,
        now: Time,
        from_seq_index: u64,
        incarnation: Incarnation,
    ) -> CacheBatch {
        let start = self
            .events
            .partition_point(|(seq, ..)| *seq < from_seq_index);
        let visible = self
            .events
            .range(start..)
            .take_while(|(_, at, _)| *at + self.lag_ms <= now);
        let mut batch = CacheBatch {
            incarnation,
            first_seq_index: from_seq_index,
            ..CacheBatch::default()
        };
        for (seq, _, change) in visible.take(MAX_CHANGES_LEN) {
            if batch.changes.is_empty() {
                batch.first_seq_index = *seq;
            } else if *seq != batch.first_seq_index + batch.changes.len() as u64 {
                break;
            }
            batch.changes.push(*change);
        }
        batch
    }

    /// Returns a snapshot of the cache for a resync. Later events start at `first_seq_index`.
    pub(crate) fn snapshot(&self, blocks: Vec<BlockHash>, incarnation: Incarnation) -> CacheBatch {
        CacheBatch {
            incarnation,
            first_seq_index: self.next_seq_index,
            changes: blocks.into_iter().map(CacheChange::Stored).collect(),
            is_snapshot: true,
        }
    }
}
