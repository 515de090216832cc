//! What runs on one engine.

use super::Prediction;
use crate::{
    catalog::EngineProfile,
    units::{Millis, Tokens},
};

/// Share of a pause's target that may be planned: clocks and other daemons' sends are not exact.
const PAUSE_MARGIN_RATIO: f64 = 0.9;

/// An answer that is being written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Writer {
    /// Prompt and answer so far.
    pub context_tokens: Tokens,
    /// Memory that it needs by its end.
    pub memory_tokens: Tokens,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
    /// What a late answer costs, against other calls.
    pub weight: f64,
}

/// A prompt that waits to be read, or is being read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reader {
    /// Time to read what is left of it.
    pub left_ms: f64,
    /// Tokens that are left.
    pub left_tokens: Tokens,
    /// Memory that it needs by the end of its answer.
    pub memory_tokens: Tokens,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
}

/// What runs on one engine, as far as all daemons told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Answers that are being written.
    pub writers: Vec<Writer>,
    /// Prompts that are not read yet, in their order.
    pub readers: Vec<Reader>,
}

impl EngineLoad {
    /// Requests on the engine.
    pub fn requests_len(&self) -> usize {
        self.writers.len() + self.readers.len()
    }

    /// Time to read all prompts that wait.
    pub fn backlog_ms(&self) -> f64 {
        self.readers.iter().map(|reader| reader.left_ms).sum()
    }

    /// Memory that all requests need by their ends.
    pub fn memory_tokens(&self) -> Tokens {
        let writers = self.writers.iter().map(|writer| writer.memory_tokens);
        let readers = self.readers.iter().map(|reader| reader.memory_tokens);
        writers.chain(readers).sum()
    }

    /// Time of the token steps of one pass.
    pub fn pass_ms(&self, profile: &EngineProfile) -> f64 {
        if self.writers.is_empty() {
            return 0.0;
        }
        let added = self
            .writers
            .iter()
            .map(|w| profile.writer_ms(w.context_tokens));
        profile.pass_ms(added.sum())
    }

    /// What a further prompt would bring about.
    pub fn predict(
        &self,
        profile: &EngineProfile,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
    ) -> Prediction {
        let read_ms = profile.read_ms(prompt_tokens);
        let pass_ms = self.pass_ms(profile);
        let own_pass_ms = profile
            .pass_ms(profile.writer_ms(prompt_tokens))
            .max(pass_ms);
        let backlog_ms = self.backlog_ms();
        let left_tokens: Tokens = self.readers.iter().map(|reader| reader.left_tokens).sum();
        let to_read_tokens = left_tokens + prompt_tokens;
        let per_pass_tokens = profile.pass_read_max_tokens();
        let passes = to_read_tokens.get().div_ceil(per_pass_tokens.get().max(1)) as f64;
        let between_ms = if self.writers.is_empty() {
            0.0
        } else {
            pass_ms * (passes - 0.5)
        };
        let pass_share = per_pass_tokens.get() as f64 / to_read_tokens.get().max(1) as f64;
        let pause_ms = pass_ms + (backlog_ms + read_ms) * pass_share.min(1.0);
        let memory_tokens = self.memory_tokens() + prompt_tokens + output_tokens;
        Prediction {
            first_event_ms: backlog_ms + read_ms + between_ms + own_pass_ms,
            pause_ms,
            broken_weight: self.broken_weight(pause_ms, pass_ms, backlog_ms * pass_share.min(1.0)),
            fits: self.requests_len() < profile.slots as usize
                && memory_tokens <= profile.kv_tokens,
        }
    }

    /// Weight of the answers whose pauses become too long, and were not before.
    fn broken_weight(&self, pause_ms: f64, pass_ms: f64, backlog_ms: f64) -> f64 {
        let broken = |writer: &&Writer| {
            let limit_ms = writer.pause_target_ms.get() as f64 * PAUSE_MARGIN_RATIO;
            pause_ms > limit_ms && pass_ms + backlog_ms <= limit_ms
        };
        self.writers
            .iter()
            .filter(broken)
            .map(|writer| writer.weight)
            .sum()
    }
}
