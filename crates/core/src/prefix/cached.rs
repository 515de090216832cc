//! What a held prefix is worth to one request at one upstream.

use crate::{
    engine::Prediction,
    units::{Time, Tokens},
};

/// Value of a saving as long as the latency target, in the weight of requests without a prompt.
const SAVING_VALUE: f64 = 1.0;

/// Most that a held prefix counts in the choice of an engine. It is less than the cost of the last position in
/// the order of engines, so that a held prefix doesn't pull short prompts to the engines of long ones, and no
/// more than the cost of a spare slot, so that it takes none.
const PREFERENCE_MAX: f64 = 0.3;

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

    /// Whether the upstream is believed to hold part of the prompt.
    pub fn is_held(&self) -> bool {
        self.expected_ms() > 0.0
    }

    /// Shortens a prediction by the expected saving. Pauses and memory stay as they are without the prefix, so
    /// that a wrong belief delays only the request itself.
    pub fn shorten(&self, mut prediction: Prediction) -> Prediction {
        if self.is_held() {
            let saved_ms = self.expected_ms().min(prediction.prefill_done_ms);
            prediction.prefill_done_ms -= saved_ms;
            prediction.first_event_ms -= saved_ms;
        }
        prediction
    }

    /// Cost that ranks upstreams by their prefixes, in the weight of requests without a prompt: negative for a
    /// saving that exceeds the longer wait at this upstream, positive for prefixes that are displaced.
    /// `first_event_ms` is the prediction without the saving, `soonest_ms` the shortest one of all candidates
    /// if any of them holds part of the prompt.
    pub fn preference(&self, first_event_ms: f64, soonest_ms: Option<f64>, target_ms: f64) -> f64 {
        let longer_wait_ms = soonest_ms.map_or(0.0, |soonest_ms| first_event_ms - soonest_ms);
        let value = |ms: f64| (SAVING_VALUE * ms / target_ms.max(1.0)).min(PREFERENCE_MAX);
        let gained_ms = (self.expected_ms() - longer_wait_ms).max(0.0);
        value(self.displaced_ms) - value(gained_ms)
    }
}
