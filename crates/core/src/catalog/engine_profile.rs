//! Performance model of the engines of a service.

use crate::units::Tokens;
use serde::{Deserialize, Serialize};

/// Context tokens per unit of [`EngineProfile::per_k_context_ms`].
const CONTEXT_UNIT_TOKENS: f64 = 1_000.0;

/// Token pairs per unit of [`EngineProfile::per_m_pairs_ms`].
const PAIR_UNIT: f64 = 1e6;

/// Performance model of a service's engines, as declared in the catalog. An engine works in passes.
/// Each pass runs `stride_len` decode steps for all decoding requests, and prefills waiting prompts
/// in chunks between the steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineProfile {
    /// Requests that an engine processes concurrently.
    pub slots_len: u32,
    /// KV cache capacity of an engine.
    pub kv_tokens: Tokens,
    /// Decode steps per pass.
    pub stride_len: u32,
    /// Base duration of a decode step.
    pub step_ms: f64,
    /// Time added to a decode step by each decoding request.
    pub per_sequence_ms: f64,
    /// Time added to a decode step by each 1,000 context tokens of a decoding request.
    pub per_k_context_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prefill time added by attention, per million pairs of a token and an earlier token.
    pub per_m_pairs_ms: f64,
    /// Maximum number of prompt tokens prefilled between two decode steps.
    pub chunk_tokens: Tokens,
}

impl EngineProfile {
    /// Time to prefill a prompt on an idle engine.
    pub fn prefill_ms(&self, prompt: Tokens) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_ms + pairs / PAIR_UNIT * self.per_m_pairs_ms
    }

    /// Time added to a decode step by one decoding request with this context length.
    pub fn sequence_ms(&self, context: Tokens) -> f64 {
        self.per_sequence_ms + context.get() as f64 / CONTEXT_UNIT_TOKENS * self.per_k_context_ms
    }

    /// Duration of the decode steps of a pass. `sequences_ms` is the time that all decoding
    /// requests add to a step.
    pub fn pass_ms(&self, sequences_ms: f64) -> f64 {
        f64::from(self.stride_len) * (self.step_ms + sequences_ms)
    }

    /// Maximum number of prompt tokens prefilled in a pass that also decodes.
    pub fn pass_prefill_max_tokens(&self) -> Tokens {
        Tokens::new(self.chunk_tokens.get() * u64::from(self.stride_len))
    }
}
