//! Admission: which upstream takes a request, whether it waits, and when it is refused.

use super::{
    ledger::{HoldState, Holding, Ledger},
    owner::Owner,
    timers::Timer,
    waiting::{class_of, Waiting},
};
use crate::{
    config::UpstreamKind,
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial, GrantOffer, GrantRequest, Member},
    request::{CallTarget, ModelCall, Priority},
    units::{KvBytes, Millis, Time, Tokens},
};

/// Share of the longest allowed answer that is expected.
const EXPECTED_OUTPUT_PERCENT: u64 = 50;
/// Time that a call of a plain service is expected to take, in milliseconds.
const SERVICE_CALL_MS: u64 = 100;
/// Waiting requests that are tried in vain before a pass over the queue ends.
const PUMP_FAILURES_COUNT: usize = 32;

/// What a request needs of the upstream that takes it.
#[derive(Clone, Copy, Debug)]
struct Need {
    kv_bytes: KvBytes,
    prompt_tokens: Tokens,
    output_tokens: Tokens,
}

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

    /// The upstreams that could take a request when they have room.
    fn candidates(
        &self,
        view: &View<'_>,
        request: &GrantRequest,
    ) -> Result<Vec<UpstreamId>, GrantDenial> {
        let mut fitting = Vec::new();
        let mut max_prompt_tokens = None;
        let (mut drained, mut unknown) = (false, false);
        if self.leaving {
            return Err(GrantDenial::NotOwner { better: None });
        }
        for (upstream, ledger) in &self.ledgers {
            if request.avoid.contains(upstream) || !ledger.is_kind_of(&request.spec.target) {
                continue;
            }
            unknown |= ledger.report.is_none() && request.model.is_some();
            if !ledger.has_model(request) {
                continue;
            }
            if ledger.drained_since.is_some() {
                drained = true;
                continue;
            }
            match ledger.max_prompt(view, request) {
                Some(most) if prompt_of(request) > most => {
                    max_prompt_tokens = max_prompt_tokens.max(Some(most));
                }
                _ => fitting.push(upstream.clone()),
            }
        }
        if !fitting.is_empty() {
            return Ok(fitting);
        }
        Err(match max_prompt_tokens {
            Some(max_prompt_tokens) => GrantDenial::TooLong { max_prompt_tokens },
            None if drained => GrantDenial::Drained,
            None if unknown => GrantDenial::Learning {
                retry_after_ms: self.settings.poll_ms,
            },
            None => GrantDenial::NotOwner { better: None },
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
        let mut best: Option<(bool, Millis, u32, &UpstreamId)> = None;
        let mut runner_up = None;
        for upstream in candidates {
            let Some(ledger) = self.ledgers.get(upstream) else {
                continue;
            };
            if !self.has_room(now, ledger, request, need) {
                continue;
            }
            let predicted_ms = ledger.first_token_span(now, need.prompt_tokens);
            let elsewhere = request.resume_at.as_ref() != Some(upstream);
            let cost = (elsewhere, predicted_ms, ledger.in_flight(), upstream);
            if best.as_ref().is_none_or(|best| cost < *best) {
                runner_up = best.map(|(_, _, _, id)| id.clone());
                best = Some(cost);
            } else if runner_up.is_none() {
                runner_up = Some(upstream.clone());
            }
        }
        best.map(|(_, predicted_ms, _, upstream)| Choice {
            upstream: upstream.clone(),
            runner_up,
            predicted_ms,
            need,
        })
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
        let ledger = self
            .ledgers
            .get_mut(&choice.upstream)
            .expect("a chosen upstream is owned");
        let offer = GrantOffer {
            upstream: choice.upstream.clone(),
            address: ledger.config.address,
            fencing: ledger.fencing,
            priority: Priority(class_of(&request.spec.target) as u8),
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
        let ahead = self.queue.ahead_of(class_of(&request.spec.target));
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

fn model_call(request: &GrantRequest) -> Option<&ModelCall> {
    match &request.spec.target {
        CallTarget::Model(call) => Some(call),
        CallTarget::Service(_) => None,
    }
}

fn prompt_of(request: &GrantRequest) -> Tokens {
    model_call(request).map_or(Tokens::ZERO, |call| call.prompt_tokens)
}

fn need_of(view: &View<'_>, request: &GrantRequest) -> Need {
    let Some(call) = model_call(request) else {
        return Need {
            kv_bytes: KvBytes::ZERO,
            prompt_tokens: Tokens::ZERO,
            output_tokens: Tokens::ZERO,
        };
    };
    let config = request
        .model
        .as_ref()
        .and_then(|m| view.config.models.get(m));
    let per_token = config.map_or(KvBytes::ZERO, |config| config.kv_bytes_per_token);
    let left = call.max_output_tokens.saturating_sub(request.offset_tokens);
    Need {
        kv_bytes: (call.prompt_tokens + call.max_output_tokens).kv(per_token),
        prompt_tokens: call.prompt_tokens + request.offset_tokens,
        output_tokens: Tokens::new(left.get() * EXPECTED_OUTPUT_PERCENT / 100),
    }
}

impl Ledger {
    fn is_kind_of(&self, target: &CallTarget) -> bool {
        match (&self.config.kind, target) {
            (UpstreamKind::Engine(_), CallTarget::Model(_)) => true,
            (UpstreamKind::Service(name), CallTarget::Service(call)) => *name == call.service,
            _ => false,
        }
    }

    fn has_model(&self, request: &GrantRequest) -> bool {
        let Some(call) = model_call(request) else {
            return true;
        };
        let (Some(model), Some(report)) = (&request.model, &self.report) else {
            return false;
        };
        report.models.get(model).is_some_and(|adapters| {
            call.adapter
                .as_ref()
                .is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// The longest prompt of this call that the upstream takes, for a model call.
    fn max_prompt(&self, view: &View<'_>, request: &GrantRequest) -> Option<Tokens> {
        let call = model_call(request)?;
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token.get().max(1);
        let held = Tokens::new(self.kv_total().get() / per_token);
        Some(
            held.min(model.context_tokens)
                .saturating_sub(call.max_output_tokens),
        )
    }

    /// Predicted time to first token of a request granted now.
    pub(super) fn first_token_span(&self, now: Time, prompt_tokens: Tokens) -> Millis {
        self.prefill_free_at.since(now) + self.prefill_span(prompt_tokens)
    }

    /// Time that a call is expected to take after its prefill.
    fn run_span(&self, output_tokens: Tokens) -> Millis {
        match &self.config.kind {
            UpstreamKind::Engine(_) => self.decode_span(output_tokens),
            UpstreamKind::Service(_) => Millis::new(SERVICE_CALL_MS),
        }
    }
}
