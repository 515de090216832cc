//! What runs on one engine.

use super::Prediction;
use crate::{
    catalog::EngineProfile,
    units::{Millis, Tokens},
};

/// Share of a pause's target that may be planned: clocks and other daemons' sends are not exact.
const PAUSE_MARGIN_RATIO: f64 = 0.9;

/// Part of its first pass after which an answer that is alone shows its first event (seen on the
/// users' bench: docs/MEASUREMENTS.md).
const IDLE_PASS_RATIO: f64 = 0.4;

/// Share of an engine's memory that is planned.
const MEMORY_RATIO: f64 = 0.98;

/// An answer that is being written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodingRequest {
    /// Tokens of its prompt that are kept here.
    pub context_tokens: Tokens,
    /// Tokens of its whole answer, estimated.
    pub output_tokens: Tokens,
    /// Memory that it takes here until its end.
    pub memory_tokens: Tokens,
    /// Time since its first event.
    pub decoding_ms: f64,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
    /// What a late answer costs, against other calls.
    pub weight_requests: f64,
    /// Whether this engine only keeps a part of its memory, for another one that answers.
    pub holds_kv_only: bool,
}

/// A prompt that waits to be read, or is being read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingPrefill {
    /// Time to read what is left of it.
    pub remaining_ms: f64,
    /// Tokens that are left.
    pub remaining_tokens: Tokens,
    /// Memory that it takes here until the end of its answer.
    pub memory_tokens: Tokens,
    /// Whether it is a part that is read for another engine.
    pub for_other_engine: bool,
}

/// What runs on one engine, as far as all daemons told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Answers that are being written.
    pub decoding: Vec<DecodingRequest>,
    /// Prompts that are not read yet, in their order.
    pub prefills: Vec<PendingPrefill>,
}

impl EngineLoad {
    /// Requests that the engine answers.
    pub fn requests_len(&self) -> usize {
        let decoding = self
            .decoding
            .iter()
            .filter(|writer| !writer.holds_kv_only)
            .count();
        decoding
            + self
                .prefills
                .iter()
                .filter(|reader| !reader.for_other_engine)
                .count()
    }

    /// Time to read all prompts that wait.
    pub fn backlog_ms(&self) -> f64 {
        self.prefills.iter().map(|reader| reader.remaining_ms).sum()
    }

    /// Memory that all requests need by their ends.
    pub fn memory_tokens(&self) -> Tokens {
        let decoding = self.decoding.iter().map(|writer| writer.memory_tokens);
        let prefills = self.prefills.iter().map(|reader| reader.memory_tokens);
        decoding.chain(prefills).sum()
    }

    /// Memory that is free, with some spare: sizes are rounded up to blocks, and answers can be
    /// longer than was thought.
    pub fn free_tokens(&self, profile: &EngineProfile) -> Tokens {
        let usable = Tokens::new((profile.kv_tokens.get() as f64 * MEMORY_RATIO) as u64);
        usable.saturating_sub(self.memory_tokens())
    }

    /// Time of the token steps of one pass.
    pub fn pass_ms(&self, profile: &EngineProfile) -> f64 {
        if self.decoding.is_empty() {
            return 0.0;
        }
        let added = self
            .decoding
            .iter()
            .map(|w| profile.sequence_ms(w.context_tokens));
        profile.pass_ms(added.sum())
    }

    /// Times until each answer that is being written is finished.
    pub fn completions_ms<'a>(
        &'a self,
        profile: &'a EngineProfile,
    ) -> impl Iterator<Item = f64> + 'a {
        let pass_ms = self.pass_ms(profile);
        self.decoding.iter().map(move |writer| {
            let passes = writer.output_tokens.get() as f64 / f64::from(profile.stride_len.max(1));
            (passes * pass_ms - writer.decoding_ms).max(0.0)
        })
    }

    /// What a further prompt would bring about, which `parts_len` engines read in even parts.
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
            .map(|reader| reader.remaining_tokens)
            .sum();
        let to_read_tokens = (remaining_tokens.get() + part_tokens).max(1);
        let per_pass_tokens = profile.pass_prefill_max_tokens().get().max(1);
        let passes = to_read_tokens.div_ceil(per_pass_tokens) as f64;
        let between_ms = pass_ms * passes;
        let pass_share = (per_pass_tokens as f64 / to_read_tokens as f64).min(1.0);
        let pause_ms = pass_ms + (backlog_ms + part_ms) * pass_share;
        let prefill_done_ms = backlog_ms + part_ms + between_ms;
        let own_pass_ms = profile.pass_ms(profile.sequence_ms(prompt_tokens));
        let first_pass_ms = if self.decoding.is_empty() {
            own_pass_ms * IDLE_PASS_RATIO
        } else {
            own_pass_ms.max(pass_ms)
        };
        let free_tokens = self.free_tokens(profile);
        Prediction {
            prefill_done_ms,
            first_event_ms: prefill_done_ms + first_pass_ms,
            pause_ms,
            added_pause_ms: part_ms * pass_share,
            delayed_requests: self.delayed_requests(pause_ms, pass_ms + backlog_ms * pass_share),
            slot_free: self.requests_len() < profile.slots_len as usize,
            missing_tokens: (prompt_tokens + output_tokens).saturating_sub(free_tokens),
        }
    }

    /// Weight of the answers whose pauses become too long, and were not before.
    fn delayed_requests(&self, pause_ms: f64, before_ms: f64) -> f64 {
        let broken = |writer: &&DecodingRequest| {
            let limit_ms = writer.pause_target_ms.get() as f64 * PAUSE_MARGIN_RATIO;
            pause_ms > limit_ms && before_ms <= limit_ms
        };
        self.decoding
            .iter()
            .filter(broken)
            .map(|writer| writer.weight_requests)
            .sum()
    }
}
