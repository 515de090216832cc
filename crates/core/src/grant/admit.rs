//! Admission: which upstream takes a request, whether it waits, and when it is refused.

use super::{
    fit::{need_of, Need},
    ledger::{HoldState, Holding, Ledger},
    owner::Owner,
    timers::Timer,
    waiting::{class_of, Waiting},
};
use crate::{
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial, GrantOffer, GrantRequest, Member},
    request::{LengthClass, Priority},
    routing::RoutingPolicy,
    units::{Millis, Time, Tokens},
};

/// Waiting requests that are tried in vain before a pass over the queue ends.
const PUMP_FAILURES_COUNT: usize = 32;

/// A chosen upstream.
#[derive(Clone, Debug)]
struct Choice {
    upstream: UpstreamId,
    runner_up: Option<UpstreamId>,
    predicted_ms: Millis,
    need: Need,
}

impl Owner {
    pub(super) fn on_request(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        request: GrantRequest,
    ) {
        let attempt = request.attempt;
        if self.is_finished(&attempt) || !is_alive(view, from) {
            return;
        }
        if let Some(answer) = self.repeated(ctx.now, view, &attempt) {
            Self::answer(ctx, view, from, attempt, answer);
            return;
        }
        let answer = self.decide(ctx, view, from, request);
        Self::answer(ctx, view, from, attempt, answer);
    }

    fn repeated(&self, now: Time, view: &View<'_>, attempt: &AttemptId) -> Option<GrantAnswer> {
        if let Some(waiting) = self.queue.get(attempt) {
            let wait_ms = self.wait_ahead(now, view, &waiting.request);
            return Some(GrantAnswer::Queued { wait_ms });
        }
        let ledger = self.ledgers.get(self.granted.get(attempt)?)?;
        let holding = ledger.holding(attempt)?;
        Some(match holding.state {
            HoldState::Running => GrantAnswer::Granted(holding.offer.clone()),
            HoldState::Cancelling(_) => GrantAnswer::Denied(GrantDenial::Busy {
                better: None,
                retry_after_ms: self.settings.cancel_retry_ms,
                summary: self.summary(now, view),
            }),
        })
    }

    fn decide(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        request: GrantRequest,
    ) -> GrantAnswer {
        let candidates = match self.candidates(view, &request) {
            Ok(candidates) => candidates,
            Err(denial) => return GrantAnswer::Denied(denial),
        };
        let deadline = ctx.now + request.remaining_ms;
        let resumed = self.resume(ctx.now, view, &request);
        let choice = resumed.or_else(|| self.choose(ctx.now, view, &request, &candidates));
        if let Some(choice) = choice {
            if ctx.now + choice.predicted_ms <= deadline {
                let offer = self.grant(ctx, from, &request, choice);
                return GrantAnswer::Granted(offer);
            }
            return self.busy(ctx.now, view, choice.predicted_ms);
        }
        let wait_ms = self.wait_ahead(ctx.now, view, &request);
        let full = self.queue.len() >= self.settings.queue_requests as usize;
        if full || ctx.now + wait_ms > deadline {
            return self.busy(ctx.now, view, wait_ms);
        }
        let attempt = request.attempt;
        self.timers.set(deadline, Timer::Waiting(attempt));
        self.queue.push(Waiting {
            entry: from.clone(),
            class: self.queue_class(&request),
            request,
            deadline,
        });
        GrantAnswer::Queued { wait_ms }
    }

    /// A resumed stream takes the place of the attempt that it goes on for.
    fn resume(&mut self, now: Time, view: &View<'_>, request: &GrantRequest) -> Option<Choice> {
        let upstream = request.resume_at.as_ref()?;
        let earlier = self
            .ledgers
            .get(upstream)?
            .running_of(request.attempt.request);
        if earlier.is_empty() {
            return None;
        }
        for attempt in earlier {
            self.finish(now, attempt);
        }
        let need = need_of(view, request);
        Some(Choice {
            upstream: upstream.clone(),
            runner_up: None,
            predicted_ms: Millis::ZERO,
            need: Need {
                prompt_tokens: Tokens::ZERO,
                ..need
            },
        })
    }

    fn busy(&self, now: Time, view: &View<'_>, retry_after_ms: Millis) -> GrantAnswer {
        GrantAnswer::Denied(GrantDenial::Busy {
            better: None,
            retry_after_ms,
            summary: self.summary(now, view),
        })
    }

    fn choose(
        &self,
        now: Time,
        view: &View<'_>,
        request: &GrantRequest,
        candidates: &[UpstreamId],
    ) -> Option<Choice> {
        let need = need_of(view, request);
        let mut best: Option<(bool, u64, u32, &UpstreamId)> = None;
        let mut runner_up = None;
        for (index, upstream) in candidates.iter().enumerate() {
            let Some(ledger) = self.ledgers.get(upstream) else {
                continue;
            };
            if !self.has_room(now, ledger, request, need) {
                continue;
            }
            let rank = match self.settings.policy {
                RoutingPolicy::Cost => ledger.first_token_span(now, need.prompt_tokens).get(),
                RoutingPolicy::LeastOutstanding => ledger.in_flight().into(),
                RoutingPolicy::RoundRobin => self.turns_until(index, candidates.len()),
            };
            let elsewhere = request.resume_at.as_ref() != Some(upstream);
            let cost = (elsewhere, rank, ledger.in_flight(), upstream);
            if best.as_ref().is_none_or(|best| cost < *best) {
                runner_up = best.map(|(_, _, _, id)| id.clone());
                best = Some(cost);
            } else if runner_up.is_none() {
                runner_up = Some(upstream.clone());
            }
        }
        let (_, _, _, upstream) = best?;
        let ledger = self.ledgers.get(upstream)?;
        Some(Choice {
            upstream: upstream.clone(),
            runner_up,
            predicted_ms: ledger.first_token_span(now, need.prompt_tokens),
            need,
        })
    }

    /// Grants until it is the turn of a candidate.
    fn turns_until(&self, index: usize, candidates_count: usize) -> u64 {
        let next = self.grants_count as usize % candidates_count;
        ((index + candidates_count - next) % candidates_count) as u64
    }

    /// The class by which a request queues: the baselines know none.
    pub(super) fn queue_class(&self, request: &GrantRequest) -> LengthClass {
        match self.settings.policy {
            RoutingPolicy::Cost => class_of(&request.spec.target),
            RoutingPolicy::LeastOutstanding | RoutingPolicy::RoundRobin => LengthClass::Short,
        }
    }

    fn has_room(&self, now: Time, ledger: &Ledger, request: &GrantRequest, need: Need) -> bool {
        let allowed = ledger.allowed(now, self.settings.learning_percent);
        ledger.busy(now) < allowed
            && need.kv_bytes <= ledger.kv_free(now)
            && !ledger.is_cancelling(request.attempt.request)
    }

    fn grant(
        &mut self,
        ctx: &Context<'_>,
        entry: &Member,
        request: &GrantRequest,
        choice: Choice,
    ) -> GrantOffer {
        let attempt = request.attempt;
        let priority = Priority(self.queue_class(request) as u8);
        self.grants_count += 1;
        let ledger = self
            .ledgers
            .get_mut(&choice.upstream)
            .expect("a chosen upstream is owned");
        let offer = GrantOffer {
            upstream: choice.upstream.clone(),
            address: ledger.config.address,
            fencing: ledger.fencing,
            priority,
            predicted_ms: choice.predicted_ms,
            runner_up: choice.runner_up,
            cached_tokens: Tokens::ZERO,
            resume: request.resume_at.as_ref() == Some(&choice.upstream),
        };
        let prefill = ledger.prefill_span(choice.need.prompt_tokens);
        ledger.prefill_free_at = ledger.prefill_free_at.max(ctx.now) + prefill;
        let expected_end = ledger.prefill_free_at + ledger.run_span(choice.need.output_tokens);
        let holding = Holding {
            entry: entry.clone(),
            model: request.model.clone(),
            kv_bytes: choice.need.kv_bytes,
            offer: offer.clone(),
            expected_end,
            state: HoldState::Running,
        };
        ledger.hold(attempt, holding);
        self.granted.insert(attempt, choice.upstream.clone());
        let lapse = ctx.now + request.remaining_ms + self.settings.lapse_slack_ms;
        self.timers
            .set(lapse, Timer::Lapse(choice.upstream, attempt));
        offer
    }

    /// Predicted wait of a request behind those of its class or a shorter one.
    fn wait_ahead(&self, now: Time, view: &View<'_>, request: &GrantRequest) -> Millis {
        let Ok(candidates) = self.candidates(view, request) else {
            return self.settings.poll_ms;
        };
        let ledgers = candidates.iter().filter_map(|id| self.ledgers.get(id));
        let ends = ledgers.flat_map(|ledger| ledger.holdings().map(|(_, h)| h.expected_end));
        let mut ends: Vec<Time> = ends.collect();
        ends.sort_unstable();
        let (Some(last), count) = (ends.last(), ends.len()) else {
            return self.settings.poll_ms;
        };
        let ahead = self.queue.ahead_of(self.queue_class(request));
        let round = last.since(now).get().max(1);
        let wait = ends[ahead % count].since(now).get().max(1);
        Millis::new(wait + round * (ahead / count) as u64)
    }

    /// Grants to waiting requests what has become free.
    pub(super) fn pump(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let mut failures = 0;
        let waiting: Vec<AttemptId> = self.queue.iter().map(|w| w.request.attempt).collect();
        for attempt in waiting {
            if failures >= PUMP_FAILURES_COUNT {
                break;
            }
            if !self.try_waiting(ctx, view, &attempt) {
                failures += 1;
            }
        }
    }

    fn try_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: &AttemptId) -> bool {
        let Some(waiting) = self.queue.get(attempt) else {
            return false;
        };
        let Ok(candidates) = self.candidates(view, &waiting.request) else {
            return false;
        };
        let Some(choice) = self.choose(ctx.now, view, &waiting.request, &candidates) else {
            return false;
        };
        let Some(mut waiting) = self.queue.remove(attempt) else {
            return false;
        };
        let answer = if ctx.now + choice.predicted_ms > waiting.deadline {
            self.busy(ctx.now, view, choice.predicted_ms)
        } else {
            waiting.request.remaining_ms = waiting.deadline.since(ctx.now);
            let offer = self.grant(ctx, &waiting.entry, &waiting.request, choice);
            GrantAnswer::Granted(offer)
        };
        Self::answer(ctx, view, &waiting.entry, *attempt, answer);
        true
    }

    /// Denies the waiting requests that no owned upstream can take any more.
    pub(super) fn recheck_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let waiting = self.queue.iter();
        let denied: Vec<_> = waiting
            .filter_map(|w| {
                let denial = self.candidates(view, &w.request).err()?;
                Some((w.request.attempt, w.entry.clone(), denial))
            })
            .collect();
        for (attempt, entry, denial) in denied {
            self.queue.remove(&attempt);
            Self::answer(ctx, view, &entry, attempt, GrantAnswer::Denied(denial));
        }
    }

    pub(super) fn on_wait_over(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: &AttemptId,
    ) {
        if let Some(waiting) = self.queue.remove(attempt) {
            let wait_ms = self.wait_ahead(ctx.now, view, &waiting.request);
            let answer = self.busy(ctx.now, view, wait_ms);
            Self::answer(ctx, view, &waiting.entry, *attempt, answer);
        }
    }
}

fn is_alive(view: &View<'_>, member: &Member) -> bool {
    member == view.me || view.directory.is_alive(&member.vm, member.incarnation)
}
