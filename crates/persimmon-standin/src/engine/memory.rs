//! KV memory, which streams reserve; cached prefixes use the rest.

use super::cache_log::CacheLog;
use persimmon_core::{
    ids::BlockHash,
    request::BLOCK_TOKENS,
    units::{KvBytes, Time, Tokens},
    upstream::CacheChange,
};
use std::collections::{BTreeMap, HashMap};

/// The KV memory of one engine.
#[derive(Debug)]
pub(crate) struct Memory {
    total: KvBytes,
    block: KvBytes,
    held: KvBytes,
    use_count: u64,
    last_uses: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

impl Memory {
    pub(crate) fn new(total: KvBytes, kv_bytes_per_token: KvBytes) -> Self {
        Self {
            total,
            block: BLOCK_TOKENS.kv_bytes(kv_bytes_per_token),
            held: KvBytes::ZERO,
            use_count: 0,
            last_uses: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    pub(crate) fn total(&self) -> KvBytes {
        self.total
    }

    pub(crate) fn held(&self) -> KvBytes {
        self.held
    }

    /// The cached blocks, least recently used first.
    pub(crate) fn blocks(&self) -> Vec<BlockHash> {
        self.by_use.values().copied().collect()
    }

    /// Returns the number of cached tokens at the start of a prompt, and marks their blocks as used.
    pub(crate) fn cached_tokens(&mut self, blocks: &[BlockHash]) -> Tokens {
        let hits = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count();
        for block in blocks[..hits].iter().rev() {
            self.touch(*block);
        }
        Tokens::new(hits as u64 * BLOCK_TOKENS.get())
    }

    /// Reserves memory for a stream, evicting cached blocks. Returns false if the memory does not
    /// suffice.
    pub(crate) fn reserve(&mut self, kv: KvBytes, now: Time, log: &mut CacheLog) -> bool {
        if self.held + kv > self.total {
            return false;
        }
        self.held += kv;
        self.evict(now, log);
        true
    }

    /// Releases the memory of a stream.
    pub(crate) fn release(&mut self, kv: KvBytes) {
        self.held = self.held.saturating_sub(kv);
    }

    /// Caches the first blocks of a prompt that fit in the free memory.
    pub(crate) fn store(&mut self, blocks: &[BlockHash], now: Time, log: &mut CacheLog) {
        let room = self.total.saturating_sub(self.held).get() / self.block.get().max(1);
        let kept = blocks.len().min(room as usize);
        for block in blocks[..kept].iter().rev() {
            if !self.last_uses.contains_key(block) {
                log.push(now, CacheChange::Stored(*block));
            }
            self.touch(*block);
        }
        self.evict(now, log);
    }

    fn touch(&mut self, block: BlockHash) {
        self.use_count += 1;
        if let Some(before) = self.last_uses.insert(block, self.use_count) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.use_count, block);
    }

    fn evict(&mut self, now: Time, log: &mut CacheLog) {
        let room = self.total.saturating_sub(self.held).get() / self.block.get().max(1);
        while self.by_use.len() as u64 > room {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_uses.remove(&block);
            log.push(now, CacheChange::Evicted(block));
        }
    }
}
