//! Choice of an upstream for one call: pure functions of what is known of the upstreams.

use super::{in_flight::prompt_weight_requests, Health};
use crate::{
    catalog::EngineProfile,
    engine::{EngineLoad, Prediction},
    ids::UpstreamId,
    prefix::CachedPrefix,
    speed::SlowdownRatio,
    units::{Millis, Tokens},
};
use std::borrow::Cow;

/// Cost of a late answer, as a share of the call's weight.
const LATE_COST_RATIO: f64 = 0.75;

/// A first event that is predicted within this share of the latency target counts as on time.
const ON_TIME_RATIO: f64 = 0.7;

/// A first event that is predicted beyond this share of the latency target counts as late.
const LATE_FROM_RATIO: f64 = 1.2;

/// Cost of a first event at the latency target rather than at once. Only breaks ties.
const FIRST_EVENT_WAIT_COST: f64 = 0.1;

/// Cost of the engine that is last in the order of candidates, or first for a long prompt. Short
/// prompts fill engines from the front and long ones from the back, so that some engines have no
/// answers that a long prompt would stall.
const POSITION_COST: f64 = 0.4;

/// Longest pause of an engine for which a request that arrives meanwhile is still on time.
const ARRIVAL_PAUSE_MAX_MS: f64 = 60.0;

/// Slots that are left free while other engines have more free ones: daemons that choose in the same
/// millisecond do not see each other's choices.
const SPARE_SLOTS_LEN: usize = 2;

/// Cost of each spare slot that is taken.
const SPARE_SLOT_COST: f64 = 0.3;

/// A prompt is not prefilled if that costs callers more than this multiple of its own weight.
const COST_MAX_RATIO: f64 = 1.2;

/// Cost of each helper engine. Only breaks ties.
const HELPER_COST: f64 = 0.01;

/// Maximum number of engines that prefill one prompt: the answering one and the protocol's limit of
/// 16 helpers.
pub(super) const ENGINES_PER_PROMPT_MAX_LEN: usize = 17;

/// Cost of an upstream whose recent answers all failed.
const FAILURE_COST: f64 = 2.0;

/// An upstream that a call may go to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The load of the upstream if it is an engine, else empty.
    pub load: EngineLoad,
    /// The part of the call's prompt that the upstream is believed to hold.
    pub prefix: CachedPrefix,
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

fn choose_one(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
    long: bool,
) -> Option<EngineChoice> {
    let prompt_tokens = request.prompt_tokens;
    let choices = candidates.iter().enumerate().map(|(index, candidate)| {
        let profile = &candidate.profile(request.profile);
        let predict = |tokens| {
            let load = &candidate.load;
            load.predict(profile, tokens, request.output_tokens, 1)
        };
        let (prefix, whole) = (&candidate.prefix, predict(prompt_tokens));
        let prediction = prefix.shorten(whole, profile, prompt_tokens, predict);
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

/// The best group of each size, made of the engines whose prefill backlog ends first.
fn choose_groups(candidates: &[Candidate], request: &PlacementRequest<'_>) -> Vec<EngineChoice> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let ready_ms = |index: &usize| {
        let load = &candidates[*index].load;
        load.backlog_ms()
            + load
                .decoding
                .iter()
                .map(|answer| answer.weight_requests)
                .sum::<f64>()
    };
    order.sort_by(|a, b| ready_ms(a).total_cmp(&ready_ms(b)).then(b.cmp(a)));
    let sizes = 2..=order.len().min(ENGINES_PER_PROMPT_MAX_LEN);
    sizes
        .filter_map(|parts_len| build_group(candidates, request, &order[..parts_len]))
        .collect()
}

fn build_group(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
    members: &[usize],
) -> Option<EngineChoice> {
    let (profile, prompt_tokens) = (request.profile, request.prompt_tokens);
    let predictions: Vec<_> = members
        .iter()
        .map(|index| {
            let candidate = &candidates[*index];
            let load = &candidate.load;
            let profile = &candidate.profile(profile);
            let parts_len = members.len();
            (
                *index,
                load.predict(profile, prompt_tokens, request.output_tokens, parts_len),
            )
        })
        .collect();
    let with_slot = predictions.iter().filter(|(_, own)| own.slot_free);
    let (answering, mut prediction) = *with_slot.min_by_key(|(index, own)| {
        let decoding_len = candidates[*index].load.decoding.len();
        (own.missing_tokens, decoding_len, usize::MAX - index)
    })?;
    let others = members.iter().copied().filter(|index| *index != answering);
    let helpers = assign_memory(
        candidates,
        profile,
        others.collect(),
        prediction.missing_tokens,
    )?;
    let mut arrivals = arrivals_cost(&candidates[answering], &prediction);
    for (helper, own) in predictions.iter().filter(|(index, _)| *index != answering) {
        prediction.first_event_ms = prediction.first_event_ms.max(own.prefill_done_ms);
        prediction.pause_ms = prediction.pause_ms.max(own.pause_ms);
        prediction.delayed_requests += own.delayed_requests;
        arrivals += arrivals_cost(&candidates[*helper], own);
    }
    let health = candidates[answering].health;
    let helper_cost = HELPER_COST * helpers.len() as f64;
    Some(EngineChoice {
        candidate_index: answering,
        helpers,
        prediction,
        cost_requests: prompt_cost(request, &prediction) + arrivals,
        preference_requests: helper_cost + failure_cost(request, health),
    })
}

/// Cost that keeps some slots of each engine free.
fn spare_slots_cost(candidate: &Candidate, profile: &EngineProfile) -> f64 {
    let taken_len = candidate.load.requests_len() + 1 + SPARE_SLOTS_LEN;
    SPARE_SLOT_COST * taken_len.saturating_sub(profile.slots_len as usize) as f64
}

/// Assigns the memory that the answering engine lacks to as few helpers as possible. Helpers with
/// the most free memory come first, as the protocol fills them in order. None if it is not enough.
fn assign_memory(
    candidates: &[Candidate],
    profile: &EngineProfile,
    mut helpers: Vec<usize>,
    missing_tokens: Tokens,
) -> Option<Vec<(usize, Tokens)>> {
    let free = |index: &usize| candidates[*index].load.free_tokens(profile);
    helpers.sort_by_key(|index| std::cmp::Reverse(free(index)));
    let mut left_tokens = missing_tokens;
    let mut taken = Vec::new();
    for index in helpers {
        let part = left_tokens.min(free(&index));
        left_tokens = left_tokens.saturating_sub(part);
        taken.push((index, part));
    }
    (left_tokens == Tokens::ZERO).then_some(taken)
}

/// Cost of a pause to the requests that arrive meanwhile, estimated from the last second.
fn arrivals_cost(candidate: &Candidate, prediction: &Prediction) -> f64 {
    let blocked_ms = prediction.pause_ms - ARRIVAL_PAUSE_MAX_MS;
    let blocked_ms = blocked_ms.clamp(0.0, prediction.added_pause_ms);
    let blocked_s = blocked_ms / 1_000.0;
    LATE_COST_RATIO * candidate.recent_requests as f64 * blocked_s
}

/// Cost by position, by which short prompts fill engines from the front and long ones from the back.
fn position_cost(index: usize, candidates_len: usize, long: bool) -> f64 {
    let last_index = candidates_len.saturating_sub(1).max(1) as f64;
    let position = index as f64 / last_index;
    POSITION_COST * if long { 1.0 - position } else { position }
}

/// Whether the prefill of the prompt exceeds the service's shortest pause target.
fn is_long(request: &PlacementRequest<'_>) -> bool {
    let Some(pause_target_ms) = request.min_pause_target_ms else {
        return false;
    };
    let pass_ms = request.profile.pass_ms(0.0);
    request.profile.prefill_ms(request.prompt_tokens) + pass_ms > pause_target_ms.get() as f64
}

/// Cost of an engine's recent failures. It ranks engines but excludes none: only answers lower the failure
/// rate, so an engine that got no requests would keep it.
fn failure_cost(request: &PlacementRequest<'_>, health: Health) -> f64 {
    FAILURE_COST * prompt_weight_requests(request.prompt_tokens) * health.failure_ratio
}

fn prompt_cost(request: &PlacementRequest<'_>, prediction: &Prediction) -> f64 {
    let weight = prompt_weight_requests(request.prompt_tokens);
    let used_ratio = prediction.first_event_ms / request.target_ms.max(1.0);
    let used_ratio = used_ratio.min(LATE_FROM_RATIO);
    let span = LATE_FROM_RATIO - ON_TIME_RATIO;
    let late_ratio = ((used_ratio - ON_TIME_RATIO) / span).clamp(0.0, 1.0);
    let lost_ratio = (prediction.first_event_ms / request.left_ms.max(1.0)).min(1.0);
    let late = LATE_COST_RATIO * late_ratio + (1.0 - LATE_COST_RATIO) * lost_ratio;
    let own = weight * (late + FIRST_EVENT_WAIT_COST * used_ratio);
    own + LATE_COST_RATIO * prediction.delayed_requests
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
