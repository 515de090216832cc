//! Estimate of the prompt prefixes that an engine has cached.

use super::{owner::Owner, timers::Timer};
use crate::{
    action::Action,
    context::Context,
    ids::{BlockHash, Incarnation, UpstreamId},
    prefix::RecentKeys,
    request::ModelCall,
    units::Tokens,
    upstream::{CacheBatch, CacheChange},
};

/// Maximum number of blocks that are tracked for one engine.
const MAX_BLOCKS: usize = 4_096;
/// Factor by which a gap in the cache events reduces the confidence in the estimate.
const GAP_CONFIDENCE_RATIO: f64 = 0.5;

/// The blocks that an engine is estimated to have cached. The oldest are dropped first.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    incarnation: Option<Incarnation>,
    blocks: RecentKeys<BlockHash, ()>,
    next_seq_index: Option<u64>,
    confidence_ratio: f64,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self {
            incarnation: None,
            blocks: RecentKeys::new(MAX_BLOCKS),
            next_seq_index: None,
            confidence_ratio: 1.0,
        }
    }
}

impl PrefixCache {
    /// Estimated number of cached prompt tokens: those of the leading known blocks, times the
    /// confidence.
    pub(super) fn cached_tokens(&self, call: &ModelCall) -> Tokens {
        let blocks = &call.prefix_blocks;
        let known = self.blocks.leading(blocks.iter().copied());
        let (known, all) = (known.count() as f64, blocks.len().max(1) as f64);
        let cached = call.prompt_tokens.get() as f64 * known / all * self.confidence_ratio;
        Tokens::new(cached as u64)
    }

    /// Adds blocks that the engine prefills or has stored.
    pub(super) fn store(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            self.blocks.insert(*block, ());
        }
    }

    /// Discards the estimate, as when the engine has restarted with an empty cache.
    pub(super) fn invalidate(&mut self) {
        *self = Self::default();
    }

    /// Sequence number of the next event to poll for; none to request the whole cache.
    fn next_poll_seq_index(&self) -> Option<u64> {
        self.next_seq_index
    }

    /// Applies a batch of events. After a gap, the confidence is lower and the next poll requests
    /// the whole cache.
    pub(super) fn apply(&mut self, batch: &CacheBatch) {
        if self
            .incarnation
            .is_some_and(|known| known != batch.incarnation)
        {
            self.invalidate();
        }
        self.incarnation = Some(batch.incarnation);
        if batch.is_snapshot {
            self.blocks = RecentKeys::new(MAX_BLOCKS);
            self.confidence_ratio = 1.0;
            self.next_seq_index = Some(batch.first_seq_index);
            batch
                .changes
                .iter()
                .for_each(|change| self.apply_change(*change));
            return;
        }
        let Some(next) = self.next_seq_index else {
            return;
        };
        let known = next.saturating_sub(batch.first_seq_index) as usize;
        let fresh = batch.changes.iter().skip(known);
        fresh.for_each(|change| self.apply_change(*change));
        if batch.first_seq_index > next {
            self.confidence_ratio *= GAP_CONFIDENCE_RATIO;
            self.next_seq_index = None;
        } else {
            let end = batch.first_seq_index + batch.changes.len() as u64;
            self.next_seq_index = Some(next.max(end));
        }
    }

    fn apply_change(&mut self, change: CacheChange) {
        match change {
            CacheChange::Stored(block) => self.store(&[block]),
            CacheChange::Evicted(block) => {
                self.blocks.remove(&block);
            }
        }
    }
}

impl Owner {
    /// Polls an engine for its cache events.
    pub(super) fn poll_cache(&mut self, ctx: &mut Context<'_>, upstream: UpstreamId) {
        let Some(account) = self.accounts.get(&upstream) else {
            return;
        };
        if !account.is_engine() {
            return;
        }
        ctx.act(Action::PollCache {
            upstream: upstream.clone(),
            address: account.config.address,
            from_seq_index: account.cache.next_poll_seq_index(),
        });
        let next = ctx.now + self.settings.cache_poll_ms;
        self.timers.replace(next, Timer::PollCache(upstream));
    }
}
