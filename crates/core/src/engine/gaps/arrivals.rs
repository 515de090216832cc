//! Arrival rates of short and long prompts at all daemons, and the engines that short ones need.

use crate::{
    catalog::EngineProfile,
    units::{Millis, Time, Tokens},
};
use std::collections::VecDeque;

/// Number of intervals that the window is divided into.
const INTERVALS_LEN: u64 = 12;

/// Share of an engine's time that the prefill of short prompts may take before it delays them.
const PREFILL_TIME_RATIO: f64 = 0.5;

/// Share of an engine's slots that short requests fill.
const SLOTS_RATIO: f64 = 0.75;

/// A prompt that a daemon sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptArrival {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens in the response.
    pub output_tokens: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    number: u64,
    short_len: u32,
    prompt_tokens: Tokens,
    output_tokens: Tokens,
}

/// The short prompts of one service that all daemons sent in the last seconds. Its size does not depend on
/// their number.
#[derive(Clone, Debug, Default)]
pub struct PromptArrivals {
    intervals: VecDeque<Interval>,
}

/// Demand of short prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShortDemand {
    /// Arrival rate at all daemons.
    pub per_s: f64,
    /// Mean memory of a request with its whole response.
    pub mean_tokens: Tokens,
    /// Number of engines that the requests need.
    pub engines_len: usize,
}

impl PromptArrivals {
    /// Counts a short prompt that this daemon or a peer sent.
    pub fn on_short(&mut self, now: Time, window_ms: Millis, arrival: PromptArrival) {
        let number = now.since(Time::START).get() / interval_ms(window_ms);
        self.intervals
            .retain(|interval| interval.number + INTERVALS_LEN > number);
        if self
            .intervals
            .back()
            .is_none_or(|last| last.number < number)
        {
            self.intervals.push_back(Interval {
                number,
                short_len: 0,
                prompt_tokens: Tokens::ZERO,
                output_tokens: Tokens::ZERO,
            });
        }
        if let Some(last) = self.intervals.back_mut() {
            last.short_len = last.short_len.saturating_add(1);
            last.prompt_tokens += arrival.prompt_tokens;
            last.output_tokens += arrival.output_tokens;
        }
    }

    /// Demand by the arrivals of the last `window_ms`.
    pub fn short_demand(
        &self,
        now: Time,
        window_ms: Millis,
        profile: &EngineProfile,
    ) -> ShortDemand {
        let number = now.since(Time::START).get() / interval_ms(window_ms);
        let recent = |interval: &&Interval| interval.number + INTERVALS_LEN > number;
        let recent: Vec<_> = self.intervals.iter().filter(recent).collect();
        let len: u32 = recent.iter().map(|interval| interval.short_len).sum();
        if len == 0 {
            return ShortDemand::default();
        }
        let prompts: Tokens = recent.iter().map(|interval| interval.prompt_tokens).sum();
        let outputs: Tokens = recent.iter().map(|interval| interval.output_tokens).sum();
        let prompt_tokens = Tokens::new(prompts.get() / u64::from(len));
        let output_tokens = Tokens::new(outputs.get() / u64::from(len));
        let per_s = f64::from(len) / (window_ms.get() as f64 / 1_000.0);
        let prefill_ms = profile.prefill_ms(prompt_tokens);
        let slots_len = f64::from(profile.slots_len) * SLOTS_RATIO;
        let step_ms = profile.step_ms + slots_len * profile.sequence_ms(prompt_tokens);
        let decode_ms = output_tokens.get() as f64 * step_ms;
        let per_ms = per_s / 1_000.0;
        let by_slots = per_ms * (prefill_ms + decode_ms) / slots_len.max(1.0);
        let by_prefill = per_ms * prefill_ms / PREFILL_TIME_RATIO;
        ShortDemand {
            per_s,
            mean_tokens: prompt_tokens + output_tokens,
            engines_len: by_slots.max(by_prefill).ceil() as usize,
        }
    }
}

fn interval_ms(window_ms: Millis) -> u64 {
    (window_ms.get() / INTERVALS_LEN).max(1)
}
