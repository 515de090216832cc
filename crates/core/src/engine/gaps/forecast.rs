//! Forecast of the gaps at one engine if it gets a further prompt.

use crate::{
    catalog::EngineProfile,
    engine::{EngineLoad, PendingPrefill},
    units::{Millis, Tokens},
};

/// A prompt, or the part of one, that an engine is considered for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptPart {
    /// Tokens that the engine prefills.
    pub prefill_tokens: Tokens,
    /// Time that they take on an idle engine.
    pub prefill_ms: f64,
    /// Tokens whose KV cache the engine has while the response is decoded; zero if it has none.
    pub context_tokens: Tokens,
    /// Whether the engine decodes the response.
    pub decodes: bool,
}

/// What a further prompt means for the gaps at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapForecast {
    /// Longest gap of the prompt's own response.
    pub own_gap_ms: f64,
    /// Weight of the responses whose gaps would newly exceed their limits: those being decoded, and those
    /// whose prompts wait here for their prefill.
    pub delayed_requests: f64,
    /// Mean time until the running pass ends, before which no prefill begins.
    pub running_pass_ms: f64,
}

impl GapForecast {
    /// Forecast for `part` at an engine with `load`. A gap may be `limit_ratio` of its target.
    pub fn new(
        load: &EngineLoad,
        profile: &EngineProfile,
        part: PromptPart,
        limit_ratio: f64,
    ) -> Self {
        let decoding_ms: f64 =
            sequences_ms(profile, load.decoding.iter().map(|r| r.context_tokens));
        let pending = load.prefills.iter().filter(|prefill| will_decode(prefill));
        let pending_ms = sequences_ms(profile, pending.map(|prefill| prefill.context_tokens));
        let takes_part = part.decodes || part.context_tokens > Tokens::ZERO;
        let own_ms = if takes_part {
            profile.sequence_ms(part.context_tokens)
        } else {
            0.0
        };
        let pass_ms = load.pass_ms(profile);
        let pass_before_ms = profile.pass_ms(decoding_ms + pending_ms);
        let pass_after_ms = profile.pass_ms(decoding_ms + pending_ms + own_ms);
        let backlog_ms = load.backlog_ms();
        let waiting_tokens: Tokens = load.prefills.iter().map(|p| p.remaining_tokens).sum();
        let stall_before_ms = pass_ms + longest_share(profile, waiting_tokens) * backlog_ms;
        let all_tokens = waiting_tokens + part.prefill_tokens;
        let all_ms = backlog_ms + part.prefill_ms;
        let stall_after_ms = pass_ms + longest_share(profile, all_tokens) * all_ms;
        let before_ms = stall_before_ms.max(pass_before_ms);
        let after_ms = stall_after_ms.max(pass_after_ms);
        Self {
            own_gap_ms: if part.decodes { pass_after_ms } else { 0.0 },
            delayed_requests: delayed_requests(load, before_ms, after_ms, limit_ratio),
            running_pass_ms: pass_ms / 2.0,
        }
    }
}

fn sequences_ms(profile: &EngineProfile, contexts: impl Iterator<Item = Tokens>) -> f64 {
    contexts.map(|context| profile.sequence_ms(context)).sum()
}

/// Whether the engine takes part in decoding the response to the prompt.
fn will_decode(prefill: &PendingPrefill) -> bool {
    !prefill.for_other_engine || prefill.context_tokens > Tokens::ZERO
}

/// Largest share of the waiting prompts that is prefilled within one pass.
fn longest_share(profile: &EngineProfile, tokens: Tokens) -> f64 {
    let per_pass_tokens = profile.pass_prefill_max_tokens().get().max(1);
    (per_pass_tokens as f64 / tokens.get().max(1) as f64).min(1.0)
}

fn delayed_requests(load: &EngineLoad, before_ms: f64, after_ms: f64, limit_ratio: f64) -> f64 {
    let weight = |target_ms: Millis, weight_requests: f64| {
        let limit_ms = target_ms.get() as f64 * limit_ratio;
        let is_newly_delayed = after_ms > limit_ms && before_ms <= limit_ms;
        f64::from(u8::from(is_newly_delayed)) * weight_requests
    };
    let decoding = load.decoding.iter().filter(|r| !r.holds_kv_only);
    let decoding = decoding.map(|r| weight(r.pause_target_ms, r.weight_requests));
    let pending = load.prefills.iter().filter(|p| !p.for_other_engine);
    let pending = pending.map(|p| weight(p.pause_target_ms, p.weight_requests));
    decoding.chain(pending).sum()
}
