//! How the engines of a service process prompts.

use crate::units::Tokens;

/// Tokens in a unit of context cost.
const CONTEXT_UNIT_TOKENS: f64 = 1_000.0;

/// Token pairs in a unit of attention cost.
const PAIR_UNIT: f64 = 1e6;

/// How the engines of a service process prompts, as the service declares it. An engine works in
/// passes: each runs `stride` token steps for all answers that are being written, and reads waiting
/// prompts in pieces between the steps.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that an engine processes at once.
    pub slots_len: u32,
    /// Memory of an engine.
    pub kv_tokens: Tokens,
    /// Token steps in a pass that writes.
    pub stride_len: u32,
    /// Time of a step.
    pub step_ms: f64,
    /// Added time of a step for each answer that is being written.
    pub per_sequence_ms: f64,
    /// Added time of a step for each 1,000 tokens of context of an answer that is being written.
    pub per_k_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Added reading time for each million pairs of a token and an earlier one.
    pub per_m_pairs_ms: f64,
    /// Most prompt tokens read in a step.
    pub chunk_tokens: Tokens,
}

impl EngineProfile {
    /// Time to read a prompt on an idle engine.
    pub fn prefill_ms(&self, prompt: Tokens) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_ms + pairs / PAIR_UNIT * self.per_m_pairs_ms
    }

    /// Added time of a step for one answer with this context.
    pub fn sequence_ms(&self, context: Tokens) -> f64 {
        self.per_sequence_ms + context.get() as f64 / CONTEXT_UNIT_TOKENS * self.per_k_context_ms
    }

    /// Time of the token steps of a pass, where `sequences_ms` is the added time of all answers.
    pub fn pass_ms(&self, sequences_ms: f64) -> f64 {
        f64::from(self.stride_len) * (self.step_ms + sequences_ms)
    }

    /// Most prompt tokens that one pass with writers reads.
    pub fn pass_prefill_max_tokens(&self) -> Tokens {
        Tokens::new(self.chunk_tokens.get() * u64::from(self.stride_len))
    }
}
