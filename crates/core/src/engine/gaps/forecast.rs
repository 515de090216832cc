//! Forecast of the gaps at one engine if it gets a further prompt.

use crate::{
    catalog::EngineProfile,
    engine::{engine_load::IDLE_FIRST_EVENT_RATIO, EngineLoad, PendingPrefill},
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

impl PromptPart {
    /// Time that the part adds to each decode step.
    fn sequence_ms(&self, profile: &EngineProfile) -> f64 {
        if self.decodes || self.context_tokens > Tokens::ZERO {
            profile.sequence_ms(self.context_tokens)
        } else {
            0.0
        }
    }
}

/// When gaps, and the first events of short prompts, count as late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateLimits<'a> {
    /// Share of a gap target up to which a predicted gap is allowed.
    pub gap_ratio: f64,
    /// Gap and latency targets of the service's routes, the shortest gap target first.
    pub targets_ms: &'a [(Millis, Millis)],
    /// Factor of the weight of delayed short responses.
    pub short_weight_ratio: f64,
}

/// What a further prompt means for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapForecast {
    /// Time until the part is prefilled.
    pub prefill_done_ms: f64,
    /// Time until the first event, if the engine decodes the response.
    pub first_event_ms: f64,
    /// Longest gap of the prompt's own response.
    pub own_gap_ms: f64,
    /// Weight of the responses that would newly be late: those whose gaps would exceed their limits, and
    /// those that wait here for their first event.
    pub delayed_requests: f64,
}

/// Duration of passes at an engine, without a further prompt or with it.
#[derive(Clone, Copy, Debug)]
struct Passes {
    /// The decode steps of a pass that prefills.
    decode_ms: f64,
    /// Time until all that waits is prefilled.
    prefill_done_ms: f64,
    /// Decode steps of a pass when all that waits decodes.
    after_ms: f64,
    /// Longest pass.
    longest_ms: f64,
}

impl Passes {
    fn new(load: &EngineLoad, profile: &EngineProfile, part: Option<PromptPart>) -> Self {
        let decoding_ms = sequences_ms(profile, load.decoding.iter().map(|r| r.context_tokens));
        let decode_ms = load.pass_ms(profile);
        let pending = load.prefills.iter().filter(|prefill| will_decode(prefill));
        let pending_ms = sequences_ms(profile, pending.map(|prefill| prefill.context_tokens));
        let own_ms = part.map_or(0.0, |part| part.sequence_ms(profile));
        let (mut tokens, mut prefill_ms) = (0, 0.0);
        for prefill in &load.prefills {
            tokens += prefill.remaining_tokens.get();
            prefill_ms += unfinished_ms(prefill, decode_ms);
        }
        if let Some(part) = part {
            tokens += part.prefill_tokens.get();
            prefill_ms += part.prefill_ms;
        }
        let per_pass_tokens = profile.pass_prefill_max_tokens().get().max(1);
        let passes = tokens.max(1).div_ceil(per_pass_tokens) as f64;
        let share = (per_pass_tokens as f64 / tokens.max(1) as f64).min(1.0);
        let after_ms = profile.pass_ms(decoding_ms + pending_ms + own_ms);
        // No prefill begins before the running pass ends: half a pass on average.
        let prefill_done_ms = decode_ms / 2.0 + decode_ms * passes + prefill_ms;
        Self {
            decode_ms,
            prefill_done_ms,
            after_ms,
            longest_ms: (decode_ms + prefill_ms * share).max(after_ms),
        }
    }
}

impl GapForecast {
    /// Forecast for `part` at an engine with `load`.
    pub fn new(
        load: &EngineLoad,
        profile: &EngineProfile,
        part: PromptPart,
        limits: LateLimits<'_>,
    ) -> Self {
        let before = Passes::new(load, profile, None);
        let after = Passes::new(load, profile, Some(part));
        let first_pass_ms = if load.decoding.is_empty() {
            after.after_ms * IDLE_FIRST_EVENT_RATIO
        } else {
            after.after_ms
        };
        Self {
            prefill_done_ms: after.prefill_done_ms,
            first_event_ms: after.prefill_done_ms + first_pass_ms,
            own_gap_ms: after.after_ms,
            delayed_requests: delayed_requests(load, before, after, limits),
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

/// Prefill time that a waiting prompt still takes. Its prefill begins with the next pass, and its part of the
/// engine's time ends with that pass.
fn unfinished_ms(prefill: &PendingPrefill, pass_ms: f64) -> f64 {
    if prefill.waited_ms < pass_ms {
        prefill.total_ms
    } else {
        prefill.remaining_ms
    }
}

impl LateLimits<'_> {
    /// Latency target of the route with this gap target. Requests in flight are known by the latter only.
    fn latency_target_ms(&self, gap_target_ms: Millis) -> Option<Millis> {
        let mut targets_ms = self.targets_ms.iter();
        let found = targets_ms.find(|(gap_ms, _)| *gap_ms == gap_target_ms);
        found.map(|(_, latency_ms)| *latency_ms)
    }

    fn weight(&self, gap_target_ms: Millis, weight_requests: f64) -> f64 {
        let shortest = self.targets_ms.first();
        if shortest.is_some_and(|(shortest_ms, _)| *shortest_ms == gap_target_ms) {
            weight_requests * self.short_weight_ratio
        } else {
            weight_requests
        }
    }
}

fn delayed_requests(
    load: &EngineLoad,
    before: Passes,
    after: Passes,
    limits: LateLimits<'_>,
) -> f64 {
    let breaks_gap = |target_ms: Millis| {
        let limit_ms = target_ms.get() as f64 * limits.gap_ratio;
        after.longest_ms > limit_ms && before.longest_ms <= limit_ms
    };
    let breaks_latency = |prefill: &PendingPrefill| {
        limits
            .latency_target_ms(prefill.pause_target_ms)
            .is_some_and(|target_ms| {
                let left_ms = target_ms.get() as f64 - prefill.waited_ms;
                after.prefill_done_ms + after.decode_ms > left_ms
                    && before.prefill_done_ms + before.decode_ms <= left_ms
            })
    };
    let decoding = load
        .decoding
        .iter()
        .filter(|r| !r.holds_kv_only && breaks_gap(r.pause_target_ms));
    let pending = load.prefills.iter().filter(|prefill| {
        !prefill.for_other_engine
            && (breaks_gap(prefill.pause_target_ms) || breaks_latency(prefill))
    });
    let decoding = decoding.map(|r| limits.weight(r.pause_target_ms, r.weight_requests));
    let pending = pending.map(|p| limits.weight(p.pause_target_ms, p.weight_requests));
    decoding.chain(pending).sum()
}
