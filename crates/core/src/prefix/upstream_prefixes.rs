//! The prompt parts that one process of an upstream holds.

use super::{PrefixPart, PrefixRetention, RecentKeys};
use crate::{
    ids::BlockHash,
    units::{Millis, Time, Tokens},
};

/// Maximum number of parts that are tracked for one upstream; about 60 KB.
const PARTS_MAX_LEN: usize = 512;

/// A part that an upstream holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldPart {
    pub(super) tokens: Tokens,
    /// Number of requests in flight that use it.
    pub(super) users_len: u32,
    pub(super) used_at: Time,
}

impl HeldPart {
    const fn is_kept(&self) -> bool {
        self.users_len == 0
    }

    /// Probability that the part is still held: certain while a request uses it, then falling to zero over the
    /// time that upstreams keep parts.
    pub(super) fn held_ratio(&self, now: Time, retention: Option<PrefixRetention>) -> f64 {
        if !self.is_kept() {
            return 1.0;
        }
        retention.map_or(0.0, |retention| {
            let age_ratio = now.since(self.used_at).get() as f64 / retention.keep_ms.get() as f64;
            (1.0 - age_ratio).max(0.0)
        })
    }
}

/// The parts that one process of an upstream holds, and the tokens of those that no request uses.
#[derive(Clone, Debug)]
pub(super) struct UpstreamPrefixes {
    pub(super) started_unix_ms: u64,
    pub(super) parts: RecentKeys<BlockHash, HeldPart>,
    pub(super) kept_tokens: Tokens,
}

impl UpstreamPrefixes {
    pub(super) const fn new(started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            parts: RecentKeys::new(PARTS_MAX_LEN),
            kept_tokens: Tokens::ZERO,
        }
    }

    /// Records that a request uses parts.
    pub(super) fn acquire(&mut self, now: Time, parts: &[PrefixPart]) {
        for part in parts {
            self.update(now, part, |held| {
                held.users_len = held.users_len.saturating_add(1)
            });
        }
    }

    /// Records that a request no longer uses parts.
    pub(super) fn release(&mut self, now: Time, parts: &[PrefixPart]) {
        for part in parts {
            self.update(now, part, |held| {
                held.users_len = held.users_len.saturating_sub(1)
            });
        }
    }

    /// Records that parts were used at an earlier time, if nothing later is known of them.
    pub(super) fn keep(&mut self, used_at: Time, parts: &[PrefixPart]) {
        for part in parts {
            let known = self.parts.get(&part.end);
            if known.is_none_or(|known| known.used_at < used_at) {
                self.update(used_at, part, |_| {});
            }
        }
    }

    fn update(&mut self, used_at: Time, part: &PrefixPart, change: impl Fn(&mut HeldPart)) {
        let mut held = match self.parts.get(&part.end) {
            Some(known) => *known,
            None => {
                if self.parts.is_full() {
                    self.drop_oldest_kept();
                }
                HeldPart {
                    tokens: part.tokens,
                    users_len: 0,
                    used_at,
                }
            }
        };
        let known_kept = self.parts.get(&part.end).is_some_and(HeldPart::is_kept);
        change(&mut held);
        held.used_at = used_at;
        if known_kept {
            self.kept_tokens = self.kept_tokens.saturating_sub(held.tokens);
        }
        if held.is_kept() {
            self.kept_tokens += held.tokens;
        }
        self.parts.insert(part.end, held);
    }

    /// Drops the parts that no request uses and that are too old or too many. Returns the tokens dropped.
    pub(super) fn shrink(&mut self, now: Time, keep_ms: Millis, keep_tokens: Tokens) -> Tokens {
        let before = self.kept_tokens;
        while self.drop_kept_where(|part| now.since(part.used_at) >= keep_ms) {}
        while self.kept_tokens > keep_tokens && self.drop_oldest_kept() {}
        before.saturating_sub(self.kept_tokens)
    }

    /// Drops the parts that no request uses and whose last use was at `until` or before. Returns the tokens.
    pub(super) fn drop_kept_until(&mut self, until: Time) -> Tokens {
        let before = self.kept_tokens;
        while self.drop_kept_where(|part| part.used_at <= until) {}
        before.saturating_sub(self.kept_tokens)
    }

    fn drop_oldest_kept(&mut self) -> bool {
        self.drop_kept_where(|_| true)
    }

    /// Drops the part that has been kept for longest if it matches.
    fn drop_kept_where(&mut self, matches: impl Fn(&HeldPart) -> bool) -> bool {
        let oldest = self.parts.oldest(HeldPart::is_kept);
        let matching = oldest.filter(|(_, part)| matches(part));
        let Some(end) = matching.map(|(end, _)| end) else {
            return false;
        };
        if let Some(dropped) = self.parts.remove(&end) {
            self.kept_tokens = self.kept_tokens.saturating_sub(dropped.tokens);
        }
        true
    }
}
