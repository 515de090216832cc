//! Groups of engines that prefill a prompt together.

use super::{
    cost::{arrivals_cost, failure_cost, prompt_cost},
    forecast, predict, Candidate, EngineChoice, PlacementRequest,
};
use crate::{
    engine::{DecodingRequest, Prediction},
    units::Tokens,
};

/// Cost of each helper engine. Only breaks ties.
const HELPER_COST: f64 = 0.01;

/// Time of other engines' backlogs that a part of a prompt takes rather than delay one short response.
const TIGHT_AVOIDANCE_MS: f64 = 100.0;

/// Share of the latency target that the prefill of a part may take.
const PARTS_TARGET_RATIO: f64 = 0.5;

/// Maximum number of engines that prefill one prompt: the answering one and the protocol's limit of
/// 16 helpers.
pub(in crate::dispatch) const ENGINES_PER_PROMPT_MAX_LEN: usize = 17;

/// The best group of each size, made of the engines whose prefill backlog ends first.
pub(super) fn choose_groups(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
) -> Vec<EngineChoice> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let ready_ms = |index: &usize| {
        let load = &candidates[*index].load;
        load.backlog_ms()
            + load
                .decoding
                .iter()
                .map(|answer| answer.weight_requests * avoidance_ms(request, answer))
                .sum::<f64>()
    };
    order.sort_by(|a, b| ready_ms(a).total_cmp(&ready_ms(b)).then(b.cmp(a)));
    let sizes = 2..=order.len().min(ENGINES_PER_PROMPT_MAX_LEN);
    sizes
        .filter_map(|parts_len| build_group(candidates, request, &order[..parts_len]))
        .collect()
}

/// Time by which a response delays the choice of its engine for a part of a prompt, for each request that it
/// weighs.
fn avoidance_ms(request: &PlacementRequest<'_>, response: &DecodingRequest) -> f64 {
    let prefill_ms = request.profile.prefill_ms(request.prompt_tokens);
    let parts_len = (prefill_ms / (request.target_ms * PARTS_TARGET_RATIO).max(1.0)).ceil();
    let part_ms = prefill_ms / parts_len.clamp(2.0, ENGINES_PER_PROMPT_MAX_LEN as f64);
    match &request.gaps {
        Some(gaps) => {
            let limit_ms = response.pause_target_ms.get() as f64 * gaps.limit_ratio();
            if part_ms + request.profile.pass_ms(0.0) > limit_ms {
                TIGHT_AVOIDANCE_MS
            } else {
                1.0
            }
        }
        None => 1.0,
    }
}

fn build_group(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
    members: &[usize],
) -> Option<EngineChoice> {
    let predictions: Vec<_> = members
        .iter()
        .map(|index| {
            let candidate = &candidates[*index];
            let own = PlacementRequest {
                profile: &candidate.profile(request.profile),
                ..*request
            };
            (*index, predict(&candidate.load, &own, members.len()))
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
        request,
        others.collect(),
        prediction.missing_tokens,
    )?;
    let mut arrivals = arrivals_cost(&candidates[answering], &prediction);
    for (helper, own) in predictions.iter().filter(|(index, _)| *index != answering) {
        let held = helpers.iter().find(|(index, _)| index == helper);
        let held_tokens = held.map_or(Tokens::ZERO, |(_, tokens)| *tokens);
        prediction.first_event_ms = prediction.first_event_ms.max(own.prefill_done_ms);
        prediction.pause_ms = prediction.pause_ms.max(own.pause_ms);
        prediction.delayed_requests += helper_delayed_requests(
            request,
            &candidates[*helper],
            own,
            members.len(),
            held_tokens,
        );
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

/// Weight of the responses that a helper's part delays. The helper decodes nothing of the response, but has
/// the memory that is assigned to it in each of its passes.
fn helper_delayed_requests(
    request: &PlacementRequest<'_>,
    candidate: &Candidate,
    own: &Prediction,
    parts_len: usize,
    held_tokens: Tokens,
) -> f64 {
    match &request.gaps {
        Some(gaps) => {
            let own = PlacementRequest {
                profile: &candidate.profile(request.profile),
                ..*request
            };
            forecast(&candidate.load, &own, gaps, parts_len, held_tokens, false).delayed_requests
        }
        None => own.delayed_requests,
    }
}

/// Assigns the memory that the answering engine lacks to as few helpers as possible. Helpers with
/// the most free memory come first, as the protocol fills them in order. None if it is not enough.
fn assign_memory(
    candidates: &[Candidate],
    request: &PlacementRequest<'_>,
    mut helpers: Vec<usize>,
    missing_tokens: Tokens,
) -> Option<Vec<(usize, Tokens)>> {
    let room_tokens = request
        .gaps
        .map_or(Tokens::ZERO, |gaps| gaps.settings.room_tokens);
    let free = |index: &usize| {
        let free_tokens = candidates[*index].load.free_tokens(request.profile);
        free_tokens.saturating_sub(room_tokens)
    };
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
