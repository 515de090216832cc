//! Costs of a choice, in the weight of requests without a prompt.

use super::{Candidate, GapRequest, PlacementRequest};
use crate::{
    catalog::EngineProfile,
    dispatch::{in_flight::prompt_weight_requests, Health},
    engine::Prediction,
};

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

/// Cost of an upstream whose recent answers all failed.
pub(super) const FAILURE_COST: f64 = 2.0;

/// Cost that keeps some slots of each engine free.
pub(super) fn spare_slots_cost(candidate: &Candidate, profile: &EngineProfile) -> f64 {
    let taken_len = candidate.load.requests_len() + 1 + SPARE_SLOTS_LEN;
    SPARE_SLOT_COST * taken_len.saturating_sub(profile.slots_len as usize) as f64
}

/// Cost of a pause to the requests that arrive meanwhile, estimated from the last second.
pub(super) fn arrivals_cost(candidate: &Candidate, prediction: &Prediction) -> f64 {
    let blocked_ms = prediction.pause_ms - ARRIVAL_PAUSE_MAX_MS;
    let blocked_ms = blocked_ms.clamp(0.0, prediction.added_pause_ms);
    let blocked_s = blocked_ms / 1_000.0;
    LATE_COST_RATIO * candidate.recent_requests as f64 * blocked_s
}

/// Cost by position, by which short prompts fill engines from the front and long ones from the back.
pub(super) fn position_cost(index: usize, candidates_len: usize, long: bool) -> f64 {
    let last_index = candidates_len.saturating_sub(1).max(1) as f64;
    let position = index as f64 / last_index;
    POSITION_COST * if long { 1.0 - position } else { position }
}

/// Cost of an engine's recent failures. It ranks engines but excludes none: only answers lower the failure
/// rate, so an engine that got no requests would keep it.
pub(super) fn failure_cost(request: &PlacementRequest<'_>, health: Health) -> f64 {
    FAILURE_COST * prompt_weight_requests(request.prompt_tokens) * health.failure_ratio
}

pub(super) fn prompt_cost(request: &PlacementRequest<'_>, prediction: &Prediction) -> f64 {
    let weight = prompt_weight_requests(request.prompt_tokens);
    let used_ratio = prediction.first_event_ms / request.target_ms.max(1.0);
    let used_ratio = used_ratio.min(LATE_FROM_RATIO);
    let span = LATE_FROM_RATIO - ON_TIME_RATIO;
    let mut late_ratio = ((used_ratio - ON_TIME_RATIO) / span).clamp(0.0, 1.0);
    let mut wait_weight = weight;
    if let Some(gaps) = &request.gaps {
        late_ratio = late_ratio.max(gap_late_ratio(gaps, prediction.own_gap_ms));
        wait_weight = 1.0;
    }
    let lost_ratio = (prediction.first_event_ms / request.left_ms.max(1.0)).min(1.0);
    let late = LATE_COST_RATIO * late_ratio + (1.0 - LATE_COST_RATIO) * lost_ratio;
    let own = weight * late + wait_weight * FIRST_EVENT_WAIT_COST * used_ratio;
    own + LATE_COST_RATIO * prediction.delayed_requests
}

/// How certain it is that a response with this longest gap is late, from 0 to 1.
fn gap_late_ratio(gaps: &GapRequest<'_>, gap_ms: f64) -> f64 {
    let used_ratio = gap_ms / (gaps.target_ms.get() as f64).max(1.0);
    let from_ratio = gaps.limit_ratio();
    ((used_ratio - from_ratio) / (LATE_FROM_RATIO - from_ratio)).clamp(0.0, 1.0)
}
