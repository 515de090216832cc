//! Choice of an upstream for one call: pure functions of what is known of the upstreams.

mod cost;
mod groups;

use super::{in_flight::prompt_weight_requests, Health};
use crate::{
    catalog::EngineProfile,
    engine::{
        gaps::{GapForecast, GapSettings, LateLimits, PromptPart},
        EngineLoad, Prediction,
    },
    ids::UpstreamId,
    prefix::CachedPrefix,
    speed::SlowdownRatio,
    units::{Millis, Tokens},
};
use cost::{
    arrivals_cost, failure_cost, position_cost, prompt_cost, spare_slots_cost, FAILURE_COST,
};
use groups::choose_groups;
use std::borrow::Cow;

pub(super) use groups::ENGINES_PER_PROMPT_MAX_LEN;

/// A prompt is not prefilled if that costs callers more than this multiple of its own weight.
const COST_MAX_RATIO: f64 = 1.2;

/// An upstream that a call may go to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The load of the upstream if it is an engine, else empty.
    pub load: EngineLoad,
    /// Number of requests in flight at the upstream.
    pub requests_len: usize,
    /// Number of requests that the upstream processes concurrently.
    pub slots_len: u32,
    /// Number of requests that all daemons sent to the upstream in the last second.
    pub recent_requests: usize,
    /// The upstream's recent failures.
    pub health: Health,
    /// Whether the upstream is in the daemon's own failure domain.
    pub same_domain: bool,
    /// Pseudo-random cost for this call, so that daemons that choose at the same time choose different
    /// upstreams.
    pub jitter_requests: f64,
    /// How much slower the upstream is than expected.
    pub slowdown: SlowdownRatio,
    /// What the upstream still holds of the beginning of the call's prompt.
    pub prefix: CachedPrefix,
}

impl Candidate {
    /// The profile of the engine at its learned speed.
    fn profile<'a>(&self, profile: &'a EngineProfile) -> Cow<'a, EngineProfile> {
        if self.slowdown.is_slow() {
            Cow::Owned(self.slowdown.apply(profile))
        } else {
            Cow::Borrowed(profile)
        }
    }
}

/// A call with a prompt, as the choice of an engine needs it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Performance profile of the service's engines.
    pub profile: &'a EngineProfile,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens in the answer.
    pub output_tokens: Tokens,
    /// Time left until the first event is late.
    pub target_ms: f64,
    /// Time left until the first event is of no use to the caller.
    pub left_ms: f64,
    /// Shortest pause target of all routes of the service.
    pub min_pause_target_ms: Option<Millis>,
    /// What the prediction of gaps takes; none if it is off.
    pub gaps: Option<GapRequest<'a>>,
}

/// What the prediction of gaps takes for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapRequest<'a> {
    /// The settings.
    pub settings: GapSettings,
    /// The call's own gap target.
    pub target_ms: Millis,
    /// Gap and latency targets of the service's routes, the shortest gap target first.
    pub targets_ms: &'a [(Millis, Millis)],
}

impl GapRequest<'_> {
    /// Share of a gap target up to which a predicted gap is allowed.
    fn limit_ratio(&self) -> f64 {
        f64::from(self.settings.limit_percent) / 100.0
    }
}

/// The chosen engine and its helpers.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// Index of the answering engine among the candidates.
    pub candidate_index: usize,
    /// Helper engines that prefill parts of the prompt: index and memory to reserve.
    pub helpers: Vec<(usize, Tokens)>,
    /// The predicted course of the request.
    pub prediction: Prediction,
    /// Cost of the choice to callers, in the weight of requests without a prompt.
    pub cost_requests: f64,
    /// Cost that ranks choices of the same cost to callers.
    pub preference_requests: f64,
}

impl EngineChoice {
    fn total(&self) -> f64 {
        self.cost_requests + self.preference_requests
    }
}

/// Chooses the engines at which a prompt costs callers least: by its own lateness, and by the pauses
/// that its prefill causes in other answers. Candidates are in an order that all daemons share. For
/// alternating bursts of short and long prompts, short ones fill engines from the front and long ones
/// from the back, so that the border follows demand. A prompt that is too long to prefill on one
/// engine in time is split evenly over several. Returns none if every choice costs others more than
/// the prompt's weight allows; the call is then queued or refused.
pub fn choose_engine(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
) -> Option<EngineChoice> {
    let long = is_long(request);
    let single = choose_one(candidates, request, long);
    let groups = if long {
        choose_groups(candidates, request)
    } else {
        Vec::new()
    };
    let choices = single.into_iter().chain(groups);
    let best = choices.min_by(|a, b| a.total().total_cmp(&b.total()));
    best.filter(|best| {
        best.cost_requests < prompt_weight_requests(request.prompt_tokens) * COST_MAX_RATIO
    })
}

/// Predicts the effect of the call's prompt if `parts_len` engines prefill it, with its gaps if they count.
fn predict(load: &EngineLoad, request: &PlacementRequest<'_>, parts_len: usize) -> Prediction {
    let (profile, prompt_tokens) = (request.profile, request.prompt_tokens);
    let mut prediction = load.predict(profile, prompt_tokens, request.output_tokens, parts_len);
    let Some(gaps) = &request.gaps else {
        return prediction;
    };
    if is_long(request) {
        prediction.missing_tokens = load.missing_tokens(
            profile,
            prompt_tokens + request.output_tokens + gaps.settings.room_tokens,
        );
    }
    let context_tokens = prompt_tokens.saturating_sub(prediction.missing_tokens);
    let forecast = forecast(load, request, gaps, parts_len, context_tokens, true);
    prediction.own_gap_ms = forecast.own_gap_ms;
    prediction.prefill_done_ms = forecast.prefill_done_ms;
    prediction.first_event_ms = forecast.first_event_ms;
    prediction.delayed_requests = forecast.delayed_requests;
    prediction
}

/// Forecast of the gaps at an engine that prefills one of `parts_len` parts of the call's prompt, and has
/// `context_tokens` of it while the response is decoded.
fn forecast(
    load: &EngineLoad,
    request: &PlacementRequest<'_>,
    gaps: &GapRequest<'_>,
    parts_len: usize,
    context_tokens: Tokens,
    decodes: bool,
) -> GapForecast {
    let part = PromptPart {
        prefill_tokens: Tokens::new(request.prompt_tokens.get() / parts_len.max(1) as u64),
        prefill_ms: request.profile.prefill_ms(request.prompt_tokens) / parts_len.max(1) as f64,
        context_tokens,
        decodes,
    };
    let limits = LateLimits {
        gap_ratio: gaps.limit_ratio(),
        targets_ms: gaps.targets_ms,
        short_weight_ratio: f64::from(gaps.settings.delayed_cost_percent) / 100.0,
    };
    GapForecast::new(load, request.profile, part, limits)
}

fn choose_one(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
    long: bool,
) -> Option<EngineChoice> {
    let choices = candidates.iter().enumerate().map(|(index, candidate)| {
        let own = PlacementRequest {
            profile: &candidate.profile(request.profile),
            ..*request
        };
        let rest = |prompt_tokens| {
            let shortened = PlacementRequest {
                prompt_tokens,
                ..own
            };
            predict(&candidate.load, &shortened, 1)
        };
        let (prefix, whole) = (&candidate.prefix, rest(request.prompt_tokens));
        let prediction = prefix.shorten(whole, own.profile, request.prompt_tokens, rest);
        let order = position_cost(index, candidates.len(), long);
        EngineChoice {
            candidate_index: index,
            helpers: Vec::new(),
            prediction,
            cost_requests: prompt_cost(request, &prediction)
                + arrivals_cost(candidate, &prediction),
            preference_requests: order
                + failure_cost(request, candidate.health)
                + spare_slots_cost(candidate, request.profile)
                + candidate.jitter_requests
                + prefix.displaced_cost(request.target_ms),
        }
    });
    let fitting = choices.filter(|choice| {
        choice.prediction.slot_free && choice.prediction.missing_tokens == Tokens::ZERO
    });
    fitting.min_by(|a, b| a.total().total_cmp(&b.total()))
}

/// Whether the prefill of the prompt exceeds the service's shortest pause target.
fn is_long(request: &PlacementRequest<'_>) -> bool {
    let Some(pause_target_ms) = request.min_pause_target_ms else {
        return false;
    };
    let pass_ms = request.profile.pass_ms(0.0);
    request.profile.prefill_ms(request.prompt_tokens) + pass_ms > pause_target_ms.get() as f64
}

/// Chooses an upstream of a service without engines: the least loaded one, where recent failures
/// count as load, and in the daemon's own failure domain if equal. A slow upstream gets the share of work that it
/// does in the same time as the others.
pub fn choose_plain(candidates: &[Candidate]) -> Option<usize> {
    let any_slow = candidates
        .iter()
        .any(|candidate| candidate.slowdown.is_slow());
    let key = |candidate: &Candidate| {
        let slots_len = f64::from(candidate.slots_len.max(1));
        let load = if any_slow {
            // The time to wait and to be served, in rounds of an upstream at the expected speed.
            (candidate.requests_len + 1) as f64 / slots_len * candidate.slowdown.get()
        } else {
            candidate.requests_len as f64 / slots_len
        };
        load + FAILURE_COST * candidate.health.failure_ratio
    };
    let best = candidates.iter().enumerate().min_by(|(_, a), (_, b)| {
        key(a)
            .total_cmp(&key(b))
            .then(b.same_domain.cmp(&a.same_domain))
    });
    best.map(|(index, _)| index)
}
