//! What a held prefix is worth to one request at one upstream.

use crate::{
    catalog::EngineProfile,
    engine::Prediction,
    units::{Time, Tokens},
};

/// Cost of displaced prefixes that take as long as the latency target to prefill again, in the weight of requests
/// without a prompt: as much as a first event at its target rather than at once. Only breaks ties.
const DISPLACED_COST: f64 = 0.1;

/// The leading part of a prompt that an upstream is believed to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CachedPrefix {
    /// Tokens of the held part.
    pub tokens: Tokens,
    /// Prefill time that it saves if it is held.
    pub saved_ms: f64,
    /// Probability that it is held.
    pub probability_ratio: f64,
    /// Prefill time that later requests are expected to need for prefixes that this request displaces.
    pub displaced_ms: f64,
    /// Last use of the part; none if a request in flight uses all of it.
    pub kept_since: Option<Time>,
}

impl CachedPrefix {
    /// Prefill time that is expected to be saved.
    pub fn expected_ms(&self) -> f64 {
        self.saved_ms * self.probability_ratio
    }

    /// Tokens that are expected to be held.
    pub fn expected_tokens(&self) -> Tokens {
        Tokens::new((self.tokens.get() as f64 * self.probability_ratio) as u64)
    }

    /// Whether the upstream is believed to hold part of the prompt.
    pub fn is_held(&self) -> bool {
        self.expected_ms() > 0.0
    }

    /// The mean of what is predicted with and without the prefix, by its probability. `whole` is the prediction
    /// without it, and `predict` makes one for a prompt of another length. Memory counts as without it.
    pub fn shorten(
        &self,
        whole: Prediction,
        profile: &EngineProfile,
        prompt_tokens: Tokens,
        predict: impl Fn(Tokens) -> Prediction,
    ) -> Prediction {
        if !self.is_held() {
            return whole;
        }
        let rest = predict(rest_tokens(profile, prompt_tokens, self.saved_ms));
        let mean = |without: f64, with: f64| without + (with - without) * self.probability_ratio;
        let prefill_done_ms = mean(whole.prefill_done_ms, rest.prefill_done_ms);
        Prediction {
            prefill_done_ms,
            first_event_ms: whole.first_event_ms - whole.prefill_done_ms + prefill_done_ms,
            pause_ms: mean(whole.pause_ms, rest.pause_ms),
            added_pause_ms: mean(whole.added_pause_ms, rest.added_pause_ms),
            delayed_requests: mean(whole.delayed_requests, rest.delayed_requests),
            ..whole
        }
    }

    /// Cost to later requests of the prefixes that this request displaces, in the weight of requests without a
    /// prompt.
    pub fn displaced_cost(&self, target_ms: f64) -> f64 {
        DISPLACED_COST * (self.displaced_ms / target_ms.max(1.0)).min(1.0)
    }
}

/// Length of a prompt whose prefill takes as long as what is left of this one.
fn rest_tokens(profile: &EngineProfile, prompt_tokens: Tokens, saved_ms: f64) -> Tokens {
    let rest_ms = (profile.prefill_ms(prompt_tokens) - saved_ms).max(0.0);
    let token_ms = 1.0 / profile.prefill_tokens_per_ms;
    let pair_ms = profile.per_m_pairs_ms / 1e6;
    let tokens = if pair_ms > 0.0 {
        let root = (token_ms * token_ms + 2.0 * pair_ms * rest_ms).sqrt();
        (root - token_ms) / pair_ms
    } else {
        rest_ms / token_ms
    };
    Tokens::new(tokens.ceil() as u64)
}
