//! Requests on one engine, and the prediction for a further one.

use super::Prediction;
use crate::{
    catalog::EngineProfile,
    units::{Millis, Tokens},
};

/// Share of a pause target up to which a pause is allowed. The rest is a margin, because clocks and
/// the known sends of other daemons are not exact.
const PAUSE_LIMIT_RATIO: f64 = 0.9;

/// Share of the first pass after which a request that is alone on an engine emits its first event.
pub(super) const IDLE_FIRST_EVENT_RATIO: f64 = 0.4;

/// Share of an engine's KV memory that can be allocated.
const USABLE_MEMORY_RATIO: f64 = 0.98;

/// A request whose answer is being generated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodingRequest {
    /// Tokens of its prompt whose KV cache is on this engine.
    pub context_tokens: Tokens,
    /// Estimated length of its whole answer.
    pub output_tokens: Tokens,
    /// KV memory that it occupies on this engine until it ends, in tokens.
    pub memory_tokens: Tokens,
    /// Time since its first event.
    pub decoding_ms: f64,
    /// Maximum pause between events for the answer to count as on time.
    pub pause_target_ms: Millis,
    /// Cost of a late answer relative to other requests.
    pub weight_requests: f64,
    /// Whether this engine only holds a part of its KV cache, while another engine decodes.
    pub holds_kv_only: bool,
}

/// A prompt that waits for its prefill, or is being prefilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingPrefill {
    /// Remaining prefill time.
    pub remaining_ms: f64,
    /// Prefill time of the whole prompt, or of this engine's part of it.
    pub total_ms: f64,
    /// Time since the request was sent.
    pub waited_ms: f64,
    /// Tokens not prefilled yet.
    pub remaining_tokens: Tokens,
    /// KV memory that it occupies on this engine until its answer ends, in tokens.
    pub memory_tokens: Tokens,
    /// Whether this engine prefills a part of the prompt for another engine, which decodes.
    pub for_other_engine: bool,
    /// Tokens of the prompt whose KV cache this engine keeps while the response is generated.
    pub context_tokens: Tokens,
    /// Maximum pause between events for the answer to count as on time.
    pub pause_target_ms: Millis,
    /// Cost of a late answer relative to other requests.
    pub weight_requests: f64,
}

/// Requests on one engine, as reported by all daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests whose answers are being generated.
    pub decoding: Vec<DecodingRequest>,
    /// Prompts whose prefill is not complete, in processing order.
    pub prefills: Vec<PendingPrefill>,
}

impl EngineLoad {
    /// Number of requests that the engine answers itself.
    pub fn requests_len(&self) -> usize {
        let decoding = self
            .decoding
            .iter()
            .filter(|request| !request.holds_kv_only)
            .count();
        decoding
            + self
                .prefills
                .iter()
                .filter(|prefill| !prefill.for_other_engine)
                .count()
    }

    /// Time to prefill all waiting prompts.
    pub fn backlog_ms(&self) -> f64 {
        self.prefills
            .iter()
            .map(|prefill| prefill.remaining_ms)
            .sum()
    }

    /// KV memory that all requests need by the time they end, in tokens.
    pub fn memory_tokens(&self) -> Tokens {
        let decoding = self.decoding.iter().map(|request| request.memory_tokens);
        let prefills = self.prefills.iter().map(|prefill| prefill.memory_tokens);
        decoding.chain(prefills).sum()
    }

    /// Free KV memory in tokens. A reserve is left, because sizes are rounded up to blocks and
    /// answers can be longer than estimated.
    pub fn free_tokens(&self, profile: &EngineProfile) -> Tokens {
        let usable = Tokens::new((profile.kv_tokens.get() as f64 * USABLE_MEMORY_RATIO) as u64);
        usable.saturating_sub(self.memory_tokens())
    }

    /// Duration of the decode steps of one pass.
    pub fn pass_ms(&self, profile: &EngineProfile) -> f64 {
        if self.decoding.is_empty() {
            return 0.0;
        }
        let added = self
            .decoding
            .iter()
            .map(|r| profile.sequence_ms(r.context_tokens));
        profile.pass_ms(added.sum())
    }

    /// Estimated times until the decoding requests complete.
    pub fn completions_ms<'a>(
        &'a self,
        profile: &'a EngineProfile,
    ) -> impl Iterator<Item = f64> + 'a {
        let pass_ms = self.pass_ms(profile);
        self.decoding.iter().map(move |request| {
            let passes = request.output_tokens.get() as f64 / f64::from(profile.stride_len.max(1));
            (passes * pass_ms - request.decoding_ms).max(0.0)
        })
    }

    /// Predicts the effect of a further prompt that `parts_len` engines prefill in equal parts.
    pub fn predict(
        &self,
        profile: &EngineProfile,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
        parts_len: usize,
    ) -> Prediction {
        let part_ms = profile.prefill_ms(prompt_tokens) / parts_len.max(1) as f64;
        let part_tokens = prompt_tokens.get() / parts_len.max(1) as u64;
        let pass_ms = self.pass_ms(profile);
        let backlog_ms = self.backlog_ms();
        let remaining_tokens: Tokens = self
            .prefills
            .iter()
            .map(|prefill| prefill.remaining_tokens)
            .sum();
        let prefill_tokens = (remaining_tokens.get() + part_tokens).max(1);
        let per_pass_tokens = profile.pass_prefill_max_tokens().get().max(1);
        let passes = prefill_tokens.div_ceil(per_pass_tokens) as f64;
        let decode_ms = pass_ms * passes;
        let pass_share = (per_pass_tokens as f64 / prefill_tokens as f64).min(1.0);
        let pause_ms = pass_ms + (backlog_ms + part_ms) * pass_share;
        let prefill_done_ms = backlog_ms + part_ms + decode_ms;
        let own_pass_ms = profile.pass_ms(profile.sequence_ms(prompt_tokens));
        let first_pass_ms = if self.decoding.is_empty() {
            own_pass_ms * IDLE_FIRST_EVENT_RATIO
        } else {
            own_pass_ms.max(pass_ms)
        };
        Prediction {
            prefill_done_ms,
            first_event_ms: prefill_done_ms + first_pass_ms,
            pause_ms,
            added_pause_ms: part_ms * pass_share,
            delayed_requests: self.delayed_requests(pause_ms, pass_ms + backlog_ms * pass_share),
            slot_free: self.requests_len() < profile.slots_len as usize,
            missing_tokens: self.missing_tokens(profile, prompt_tokens + output_tokens),
            own_gap_ms: 0.0,
        }
    }

    /// The part of `tokens` that exceeds the free KV memory.
    pub fn missing_tokens(&self, profile: &EngineProfile, tokens: Tokens) -> Tokens {
        tokens.saturating_sub(self.free_tokens(profile))
    }

    /// Total weight of the decoding requests whose pauses exceed the limit with `pause_ms`, but not
    /// with `before_ms`.
    fn delayed_requests(&self, pause_ms: f64, before_ms: f64) -> f64 {
        let newly_delayed = |request: &&DecodingRequest| {
            let limit_ms = request.pause_target_ms.get() as f64 * PAUSE_LIMIT_RATIO;
            pause_ms > limit_ms && before_ms <= limit_ms
        };
        self.decoding
            .iter()
            .filter(newly_delayed)
            .map(|request| request.weight_requests)
            .sum()
    }
}
