//! Chooses an upstream for one call. Pure: what is known of the upstreams goes in.

use super::{ledger::prompt_weight, Health};
use crate::{
    catalog::EngineProfile,
    engine::{EngineLoad, Prediction},
    units::{Millis, Tokens},
};

/// Share of a call's worth that a late answer costs.
const LATE_RATIO: f64 = 0.75;

/// Share of the latency target up to which a predicted first event is sure to be on time.
const ON_TIME_RATIO: f64 = 0.7;

/// Share of the latency target from which on a predicted first event is sure to be late.
const LATE_FROM_RATIO: f64 = 1.2;

/// Cost of a first event that comes at its target rather than at once. Breaks ties only.
const WAIT_COST: f64 = 0.1;

/// Cost of an engine at the far end of the order, where short prompts fill from one end and long
/// ones from the other: keeps engines free of answers that a long prompt would disturb.
const ORDER_COST: f64 = 0.4;

/// Cost of an upstream whose last answers all failed.
const FAILURE_COST: f64 = 2.0;

/// One upstream that a call may go to.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// Which.
    pub upstream: T,
    /// What runs on it, where it is an engine.
    pub load: EngineLoad,
    /// Requests on it.
    pub requests_len: usize,
    /// Requests that it processes at once.
    pub slots: u32,
    /// How it fared.
    pub health: Health,
    /// Whether it is in the daemon's own failure domain.
    pub near: bool,
}

/// What a call with a prompt asks for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// How the service's engines work.
    pub profile: &'a EngineProfile,
    /// Its prompt.
    pub prompt_tokens: Tokens,
    /// Its answer.
    pub output_tokens: Tokens,
    /// Time left until an answer is late.
    pub target_ms: f64,
    /// Shortest pause target of all answers of the service.
    pub tightest_pause_ms: Option<Millis>,
}

/// The engine chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// Its index among the candidates.
    pub index: usize,
    /// What is predicted.
    pub prediction: Prediction,
    /// What the choice costs callers, in worth of requests without a prompt.
    pub cost: f64,
}

/// The engine at which a prompt costs callers least: its own lateness, and the pauses that its
/// reading tears into the answers of others. Candidates stand in an order that all daemons agree
/// on. Answers the load in which bursts of short and long prompts take turns: short ones fill
/// engines from the front, long ones from the back, so the border moves with demand.
pub fn choose_engine<T>(candidates: &[Candidate<T>], wanted: &Wanted<'_>) -> Option<EngineChoice> {
    let last_index = candidates.len().saturating_sub(1).max(1) as f64;
    let long = is_long(wanted);
    let choices = candidates.iter().enumerate().map(|(index, candidate)| {
        let prediction =
            candidate
                .load
                .predict(wanted.profile, wanted.prompt_tokens, wanted.output_tokens);
        let place = index as f64 / last_index;
        let order_ratio = if long { 1.0 - place } else { place };
        EngineChoice {
            index,
            prediction,
            cost: cost(wanted, candidate.health, &prediction) + ORDER_COST * order_ratio,
        }
    });
    let fitting = choices.filter(|choice| choice.prediction.fits);
    fitting.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Whether reading a prompt breaks the pauses of the most sensitive answers.
fn is_long(wanted: &Wanted<'_>) -> bool {
    let Some(tightest_ms) = wanted.tightest_pause_ms else {
        return false;
    };
    let pass_ms = wanted.profile.pass_ms(0.0);
    wanted.profile.read_ms(wanted.prompt_tokens) + pass_ms > tightest_ms.get() as f64
}

fn cost(wanted: &Wanted<'_>, health: Health, prediction: &Prediction) -> f64 {
    let weight = prompt_weight(wanted.prompt_tokens);
    let used_ratio = prediction.first_event_ms / wanted.target_ms.max(1.0);
    let span = LATE_FROM_RATIO - ON_TIME_RATIO;
    let late_ratio = ((used_ratio - ON_TIME_RATIO) / span).clamp(0.0, 1.0);
    let own = weight * (LATE_RATIO * late_ratio + WAIT_COST * used_ratio);
    own + LATE_RATIO * prediction.broken_weight + FAILURE_COST * weight * health.failure_ratio
}

/// The upstream of a plain service with the most room, sound ones first.
pub fn choose_plain<T>(candidates: &[Candidate<T>]) -> Option<usize> {
    let key = |candidate: &Candidate<T>| {
        let load = candidate.requests_len as f64 / f64::from(candidate.slots.max(1));
        load + FAILURE_COST * candidate.health.failure_ratio
    };
    let best = candidates
        .iter()
        .enumerate()
        .min_by(|(_, a), (_, b)| key(a).total_cmp(&key(b)).then(b.near.cmp(&a.near)));
    best.map(|(index, _)| index)
}
