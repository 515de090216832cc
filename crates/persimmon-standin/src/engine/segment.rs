//! Prompt segments that an engine prefills or imports in a group of engines.

use persimmon_core::units::{KvBytes, Tokens};

/// A segment of one request's prompt.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) from_tokens: Tokens,
    pub(crate) to_tokens: Tokens,
    /// Memory reserved at this engine; zero for an imported segment.
    pub(crate) kv: KvBytes,
    pub(crate) to_prefill_tokens: f64,
}

impl Segment {
    pub(crate) fn ready(&self) -> bool {
        self.to_prefill_tokens <= 0.0
    }

    pub(crate) fn has_range(&self, from_tokens: Tokens, to_tokens: Tokens) -> bool {
        self.from_tokens == from_tokens && self.to_tokens == to_tokens
    }

    pub(crate) fn contains(&self, from_tokens: Tokens, to_tokens: Tokens) -> bool {
        self.ready() && self.from_tokens <= from_tokens && to_tokens <= self.to_tokens
    }
}

/// Number of tokens from the start of a prompt that ready segments cover without a gap.
pub(crate) fn covered_tokens(segments: &[Segment]) -> Tokens {
    let mut covered = Tokens::ZERO;
    let mut sorted: Vec<&Segment> = segments.iter().filter(|s| s.ready()).collect();
    sorted.sort_by_key(|segment| segment.from_tokens);
    for segment in sorted {
        if segment.from_tokens <= covered {
            covered = covered.max(segment.to_tokens);
        }
    }
    covered
}
