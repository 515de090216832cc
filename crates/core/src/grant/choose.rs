//! Selects an upstream among the candidates of a request, and grants the request there.

use super::{
    account::{ActiveGrant, GrantState, UpstreamAccount},
    candidates::Requirements,
    owner::Owner,
    priority_level::PriorityLevel,
    queue::Lane,
    timers::Timer,
};
use crate::{
    context::Context,
    ids::UpstreamId,
    message::{GrantOffer, GrantRequest, Member},
    request::CallTarget,
    routing::RoutingPolicy,
    units::{KvBytes, Millis, Time},
};

/// Penalty for placing a short request at an engine that prefills a long prompt, in milliseconds.
const LONG_PREFILL_PENALTY_MS: u64 = 30;

/// Share of an upstream's capacity that is withheld from a workspace over its fair share.
const OVER_SHARE_WITHHELD_PERCENT: u64 = 10;

/// The selected upstream, with the estimates for the request there.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) upstream: UpstreamId,
    pub(super) runner_up: Option<UpstreamId>,
    pub(super) predicted_ms: Millis,
    pub(super) run_ms: Millis,
    pub(super) required: Requirements,
}

/// Sort key of a candidate, lowest first: not the upstream of a resumed stream, score, calls in
/// flight, identifier.
type CandidateCost<'a> = (bool, u64, u32, &'a UpstreamId);

impl Owner {
    /// The best candidate with free capacity at `now`.
    pub(super) fn choose(
        &self,
        now: Time,
        request: &GrantRequest,
        required: Requirements,
        candidates: &[UpstreamId],
    ) -> Option<Choice> {
        let mut costs: Vec<CandidateCost<'_>> = Vec::new();
        for (index, upstream) in candidates.iter().enumerate() {
            let Some(account) = self.accounts.get(upstream) else {
                continue;
            };
            if self.has_capacity(now, account, request, required) {
                let required = requirements_at(account, request, required);
                let not_resume_target = request.resume_at.as_ref() != Some(upstream);
                let score = self.score(now, account, request, required, (index, candidates.len()));
                costs.push((not_resume_target, score, account.in_flight(), upstream));
            }
        }
        costs.sort_unstable();
        let (_, _, _, upstream) = *costs.first()?;
        let account = self.accounts.get(upstream)?;
        let required = requirements_at(account, request, required);
        let level = self.level_for(request);
        Some(Choice {
            upstream: upstream.clone(),
            runner_up: costs.get(1).map(|(_, _, _, id)| (*id).clone()),
            predicted_ms: account.first_token_estimate(now, level, required.prompt_tokens),
            run_ms: account.run_estimate(required.output_tokens),
            required,
        })
    }

    fn score(
        &self,
        now: Time,
        account: &UpstreamAccount,
        request: &GrantRequest,
        required: Requirements,
        (index, count): (usize, usize),
    ) -> u64 {
        match self.settings.policy {
            RoutingPolicy::Cost => {
                let level = self.level_for(request);
                let first_token_ms =
                    account.first_token_estimate(now, level, required.prompt_tokens);
                let long_in_prefill = level <= PriorityLevel::OverShare
                    && account.backlog.total(now)
                        > account.backlog.wait_for(now, PriorityLevel::OverShare);
                first_token_ms.get()
                    + if long_in_prefill {
                        LONG_PREFILL_PENALTY_MS
                    } else {
                        0
                    }
            }
            RoutingPolicy::LeastOutstanding => account.in_flight().into(),
            RoutingPolicy::RoundRobin => {
                let next = self.grants_count as usize % count;
                ((index + count - next) % count) as u64
            }
        }
    }

    fn has_capacity(
        &self,
        now: Time,
        account: &UpstreamAccount,
        request: &GrantRequest,
        required: Requirements,
    ) -> bool {
        let level = self.level_for(request);
        let limit = account.in_flight_limit(now, self.settings.learning_percent);
        let withheld_percent = if level == PriorityLevel::OverShare {
            OVER_SHARE_WITHHELD_PERCENT
        } else {
            0
        };
        let withheld = u64::from(limit) * withheld_percent / 100;
        let withheld_bytes = KvBytes::new(account.kv_total().get() / 100 * withheld_percent);
        u64::from(account.slots_in_use(now)) + withheld < limit.into()
            && required.kv_bytes + withheld_bytes <= account.kv_free_for(now, &request.attempt)
            && !account.is_cancelling(request.attempt.request)
            && self.can_start_prefill(now, account, level)
    }

    /// Whether prefill at this level would start within `prefill_ahead_ms` if it were granted now.
    pub(super) fn can_start_prefill(
        &self,
        now: Time,
        account: &UpstreamAccount,
        level: PriorityLevel,
    ) -> bool {
        self.settings.policy != RoutingPolicy::Cost
            || (account.backlog.wait_for(now, level) <= self.settings.prefill_ahead_ms
                && account.backlog.may_preempt(now, level))
    }

    pub(super) fn grant(
        &mut self,
        ctx: &Context<'_>,
        entry: &Member,
        request: &GrantRequest,
        choice: Choice,
    ) -> GrantOffer {
        let (attempt, level) = (request.attempt, self.level_for(request));
        let lane = Lane::of(self.class_for(request));
        self.grants_count += 1;
        let account = self
            .accounts
            .get_mut(&choice.upstream)
            .expect("a chosen upstream is owned");
        let offer = GrantOffer {
            predicted_ms: choice.predicted_ms,
            runner_up: choice.runner_up,
            cached_tokens: choice.required.cached_tokens,
            resume: request.resume_at.as_ref() == Some(&choice.upstream),
            ..account.offer(choice.upstream.clone(), level)
        };
        if let CallTarget::Model(call) = &request.spec.target {
            account.cache.store(&call.prefix_blocks);
        }
        let prefill_ms = account.prefill_estimate(choice.required.prompt_tokens);
        account.backlog.add(ctx.now, level, prefill_ms);
        let expected_first = ctx.now + choice.predicted_ms;
        let active = ActiveGrant {
            entry: entry.clone(),
            model: request.model.clone(),
            level,
            kv_bytes: choice.required.kv_bytes,
            prefill_ms,
            max_output_tokens: choice.required.max_output_tokens,
            offer: offer.clone(),
            expected_first,
            expected_end: expected_first + choice.run_ms,
            state: GrantState::Running,
        };
        account.add_grant(attempt, active);
        self.demand[lane as usize].add(ctx.now, prefill_ms);
        self.granted.insert(attempt, choice.upstream.clone());
        let lease_end = ctx.now + request.remaining_ms + self.settings.lapse_slack_ms;
        self.timers
            .set(lease_end, Timer::LeaseExpiry(choice.upstream, attempt));
        offer
    }
}

/// The requirements of a request at one upstream, less the prompt tokens that are cached there.
fn requirements_at(
    account: &UpstreamAccount,
    request: &GrantRequest,
    required: Requirements,
) -> Requirements {
    let CallTarget::Model(call) = &request.spec.target else {
        return required;
    };
    let cached_tokens = account.cache.cached_tokens(call);
    Requirements {
        prompt_tokens: required.prompt_tokens.saturating_sub(cached_tokens),
        cached_tokens,
        ..required
    }
}
