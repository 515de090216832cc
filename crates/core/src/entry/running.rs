//! Attempts at upstreams.

use super::{
    asking::send_release,
    open_request::{Ask, Kept, OpenRequest, Phase, Run},
    Entry,
};
use crate::{
    action::Action,
    context::{Context, View},
    decision::{Record, Routed},
    ids::AttemptId,
    message::{GrantOffer, GrantReport},
    request::{AttemptPlan, AttemptResult, RefusalCode, UpstreamError},
    units::{Millis, Time, Tokens},
};

impl Entry {
    /// Starts the attempt that an owner granted.
    pub(super) fn start(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        ask: Ask,
        offer: GrantOffer,
    ) -> OpenRequest {
        self.settle_kept(ctx, view, &mut request, &offer);
        let plan = AttemptPlan {
            attempt: ask.attempt,
            upstream: offer.upstream.clone(),
            address: offer.address,
            model: ask.model.clone(),
            fencing: Some(offer.fencing),
            offset_tokens: request.delivered,
            resume: offer.resume,
            priority: offer.priority,
            remaining_ms: request.remaining(ctx.now),
        };
        ctx.act(Action::StartAttempt(Box::new(plan)));
        log_routed(ctx, &request, &ask, &offer);
        request.started_attempts += 1;
        request.tried.clear();
        request.better = None;
        request.too_long = None;
        request.unreachable_since = None;
        request.fits_somewhere = false;
        request.come_back = None;
        request.phase = Phase::Running(Run {
            attempt: ask.attempt,
            owner: ask.owner,
            model: ask.model,
            started: ctx.now,
            start_offset: request.delivered,
            first_token: None,
            hangs_at: self.first_bound(ctx.now, &request, &offer),
            offer,
        });
        request
    }

    /// When an attempt counts as hanging if nothing came at all.
    fn first_bound(&self, now: Time, request: &OpenRequest, offer: &GrantOffer) -> Option<Time> {
        if request.is_model() {
            let factor = u64::from(self.settings.first_token_factor_count);
            let predicted = Millis::new(offer.predicted_ms.get().saturating_mul(factor));
            return Some(now + predicted + self.settings.first_token_slack);
        }
        request
            .is_repeatable()
            .then(|| now + self.settings.service_answer)
    }

    /// Tokens came.
    pub(super) fn note_progress(
        &self,
        now: Time,
        request: &mut OpenRequest,
        attempt: AttemptId,
        delivered: Tokens,
    ) {
        let moved = delivered > request.delivered;
        request.delivered = request.delivered.max(delivered);
        let Phase::Running(run) = &mut request.phase else {
            return;
        };
        if run.attempt != attempt || !moved {
            return;
        }
        run.first_token.get_or_insert(now);
        run.hangs_at = Some(now + self.settings.token_gap);
        request.pinned.clone_from(&run.model);
    }

    /// An attempt ended.
    pub(super) fn end_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        attempt: AttemptId,
        end: AttemptResult,
    ) -> Option<OpenRequest> {
        let current = match &request.phase {
            Phase::Running(run) if run.attempt == attempt => Some(run.clone()),
            _ => None,
        };
        match (current, end) {
            (
                run,
                AttemptResult::Complete {
                    output_tokens,
                    result,
                },
            ) => self.complete(ctx, view, request, (run, output_tokens, result)),
            (
                Some(run),
                AttemptResult::Failed {
                    delivered_tokens,
                    error,
                },
            ) => {
                self.note_progress(ctx.now, &mut request, attempt, delivered_tokens);
                self.on_failure(ctx, view, request, run, &error)
            }
            (
                None,
                AttemptResult::Failed {
                    delivered_tokens, ..
                },
            ) => {
                request.delivered = request.delivered.max(delivered_tokens);
                Some(request)
            }
        }
    }

    /// Nothing came from the upstream within the bound.
    pub(super) fn on_hang(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: OpenRequest,
    ) -> Option<OpenRequest> {
        let Phase::Running(run) = request.phase.clone() else {
            return Some(request);
        };
        let attempt = run.attempt;
        ctx.act(Action::StopAttempt { attempt });
        self.on_failure(ctx, view, request, run, &UpstreamError::Timeout)
    }

    /// The upstream is leaving: a model's stream moves, a service's call may end where it is.
    pub(super) fn on_revoke(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        attempt: AttemptId,
    ) -> Option<OpenRequest> {
        let Phase::Running(run) = request.phase.clone() else {
            return Some(request);
        };
        if run.attempt != attempt || !request.is_model() {
            return Some(request);
        }
        ctx.act(Action::StopAttempt { attempt });
        log_failed(ctx, &request, &run, "revoked by its owner", "moved");
        release(
            ctx,
            view,
            &run,
            evidence(ctx.now, &request, &run).cancelled(),
        );
        request.may_have_run = true;
        request.avoid.push(run.offer.upstream);
        self.ask_next(ctx, view, request)
    }

    fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        run: Run,
        error: &UpstreamError,
    ) -> Option<OpenRequest> {
        let moved = request.delivered > run.start_offset;
        let not_run = error.proves_not_run() && !moved;
        request.may_have_run |= !not_run;
        let next = self.after_failure(&request, not_run);
        let resumes = next.is_ok() && *error == UpstreamError::Broken && moved;
        let text = match &next {
            Err((code, _)) => code.to_string(),
            Ok(()) if resumes => "resumed".to_owned(),
            Ok(()) => "tried elsewhere".to_owned(),
        };
        log_failed(ctx, &request, &run, &error.to_string(), &text);
        request.phase = Phase::Pausing { until: ctx.now };
        if resumes && request.is_model() {
            return self.resume(ctx, view, request, run);
        }
        let mut end = evidence(ctx.now, &request, &run);
        end.needs_cancel = !not_run;
        end.upstream_failed = *error != UpstreamError::Fenced;
        self.router.on_end(&run.owner, &run.offer.upstream, &end);
        release(ctx, view, &run, end);
        request.avoid.push(run.offer.upstream);
        match next {
            Ok(()) => self.ask_next(ctx, view, request),
            Err((code, message)) => {
                let refusal = request.refusal(code, message);
                let refusal = request.come_back(refusal, self.settings.max_pause);
                self.refuse(ctx, request, refusal)
            }
        }
    }

    /// Whether another attempt may follow; takes it from the retry budget.
    fn after_failure(
        &mut self,
        request: &OpenRequest,
        not_run: bool,
    ) -> Result<(), (RefusalCode, &'static str)> {
        let answered = !request.is_model() && request.delivered > Tokens::ZERO;
        if !not_run && (!request.is_repeatable() || answered) {
            let text = "the upstream failed and may have run it: check there before you repeat it";
            return Err((RefusalCode::UpstreamFailed, text));
        }
        if request.started_attempts >= self.settings.max_attempts {
            return Err((
                RefusalCode::UpstreamFailed,
                "every attempt failed: come back later",
            ));
        }
        if !self.budget.take(request.service()) {
            let text = "too many attempts fail just now, so none is repeated: come back later";
            return Err((RefusalCode::RetryBudgetSpent, text));
        }
        Ok(())
    }

    /// Asks the owner to let the broken stream go on at the same engine. The grant is kept until
    /// then, so that the engine's memory stays accounted for.
    fn resume(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        run: Run,
    ) -> Option<OpenRequest> {
        let to = (
            &run.owner,
            run.model.clone(),
            Some(run.offer.upstream.clone()),
            "resume",
        );
        let asked = self.ask(ctx, view, &mut request, to);
        request.kept = Some(Kept {
            run,
            ended: ctx.now,
        });
        if asked {
            return Some(request);
        }
        self.ask_next(ctx, view, request)
    }

    /// Gives the kept grant back after a new one came.
    fn settle_kept(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
        offer: &GrantOffer,
    ) {
        if request
            .kept
            .as_ref()
            .is_some_and(|k| k.run.offer.upstream == offer.upstream)
        {
            if let Some(kept) = request.kept.take() {
                let end = evidence(kept.ended, request, &kept.run);
                release(ctx, view, &kept.run, end);
            }
        }
        self.drop_kept(ctx, view, request);
    }

    /// Gives up the stream that was to be resumed.
    pub(super) fn drop_kept(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
    ) {
        let Some(kept) = request.kept.take() else {
            return;
        };
        let mut end = evidence(kept.ended, request, &kept.run).cancelled();
        end.upstream_failed = true;
        let upstream = kept.run.offer.upstream.clone();
        self.router.on_end(&kept.run.owner, &upstream, &end);
        release(ctx, view, &kept.run, end);
        request.may_have_run = true;
        request.avoid.push(upstream);
    }
}

impl GrantReport {
    /// The same for an attempt that the engine may still run.
    pub(super) const fn cancelled(mut self) -> Self {
        self.needs_cancel = true;
        self
    }
}

/// What an attempt showed up to `ended`.
pub(super) fn evidence(ended: Time, request: &OpenRequest, run: &Run) -> GrantReport {
    GrantReport {
        complete: false,
        upstream_failed: false,
        needs_cancel: false,
        first_token_ms: run.first_token.map(|at| at.since(run.started)),
        total_ms: ended.since(run.started),
        output_tokens: request.delivered.saturating_sub(run.start_offset),
    }
}

/// Gives an attempt's grant back.
pub(super) fn release(ctx: &mut Context<'_>, view: &View<'_>, run: &Run, end: GrantReport) {
    send_release(ctx, view, &run.owner, run.attempt, &run.offer.upstream, end);
}

fn log_routed(ctx: &mut Context<'_>, request: &OpenRequest, ask: &Ask, offer: &GrantOffer) {
    let (prompt_tokens, class) = request.length();
    ctx.log(Record::Routed(Routed {
        request: request.spec.id,
        attempt: ask.attempt.number,
        workspace: request.spec.workspace.clone(),
        model: ask.model.clone(),
        prompt_tokens,
        class,
        upstream: offer.upstream.clone(),
        runner_up: offer.runner_up.clone(),
        owner: ask.owner.clone(),
        reason: ask.reason.to_owned(),
        predicted_ms: offer.predicted_ms,
    }));
}

fn log_failed(ctx: &mut Context<'_>, request: &OpenRequest, run: &Run, error: &str, next: &str) {
    ctx.log(Record::AttemptFailed {
        request: request.spec.id,
        attempt: run.attempt.number,
        upstream: run.offer.upstream.clone(),
        error: error.to_owned(),
        next: next.to_owned(),
    });
}
