//! Attempts at upstreams: start, progress, time-out, failure, retry and resume.

use super::{
    grant_requests::send_release,
    open_request::{OpenRequest, PendingGrant, Phase, RetainedGrant, RunningAttempt},
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
    /// Starts the attempt for which an owner issued a grant.
    pub(super) fn start(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        pending: PendingGrant,
        offer: GrantOffer,
    ) -> OpenRequest {
        self.release_retained(ctx, view, &mut request, &offer);
        let plan = AttemptPlan {
            attempt: pending.attempt,
            upstream: offer.upstream.clone(),
            address: offer.address,
            model: pending.model.clone(),
            fencing: Some(offer.fencing),
            offset_tokens: request.delivered,
            resume: offer.resume,
            priority: offer.priority,
            remaining_ms: request.remaining(ctx.now),
        };
        ctx.act(Action::StartAttempt(Box::new(plan)));
        log_attempt_routed(ctx, &request, &pending, &offer);
        request.started_attempts += 1;
        request.tried.clear();
        request.suggested_owner = None;
        request.largest_fitting_prompt = None;
        request.unreachable_since = None;
        request.fits_busy_engine = false;
        request.retry_after_hint = None;
        request.phase = Phase::Running(RunningAttempt {
            attempt: pending.attempt,
            owner: pending.owner,
            model: pending.model,
            started: ctx.now,
            start_offset: request.delivered,
            first_token: None,
            timeout_at: self.first_response_deadline(ctx.now, &request, &offer),
            offer,
        });
        request
    }

    /// When an attempt times out if the upstream sends nothing. None for a service call that must
    /// not run twice, which is bounded by the request's deadline only.
    fn first_response_deadline(
        &self,
        now: Time,
        request: &OpenRequest,
        offer: &GrantOffer,
    ) -> Option<Time> {
        if request.is_model() {
            let factor = u64::from(self.settings.first_token_factor_count);
            let predicted = Millis::new(offer.predicted_ms.get().saturating_mul(factor));
            return Some(now + predicted + self.settings.first_token_slack);
        }
        request
            .is_repeatable()
            .then(|| now + self.settings.service_answer)
    }

    /// Records the tokens delivered to the caller, and restarts the token time-out if the current
    /// attempt made progress.
    pub(super) fn record_progress(
        &self,
        now: Time,
        request: &mut OpenRequest,
        attempt: AttemptId,
        delivered: Tokens,
    ) {
        let progressed = delivered > request.delivered;
        request.delivered = request.delivered.max(delivered);
        let Phase::Running(run) = &mut request.phase else {
            return;
        };
        if run.attempt != attempt || !progressed {
            return;
        }
        run.first_token.get_or_insert(now);
        run.timeout_at = Some(now + self.settings.token_gap);
        request.pinned_version.clone_from(&run.model);
    }

    /// Handles the result of an attempt, which may no longer be the current one.
    pub(super) fn on_attempt_result(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        attempt: AttemptId,
        attempt_result: AttemptResult,
    ) -> Option<OpenRequest> {
        let current = match &request.phase {
            Phase::Running(run) if run.attempt == attempt => Some(run.clone()),
            _ => None,
        };
        match (current, attempt_result) {
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
                self.record_progress(ctx.now, &mut request, attempt, delivered_tokens);
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

    /// Stops an attempt whose upstream sent nothing before the time-out, and treats it as failed.
    pub(super) fn on_attempt_timeout(
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

    /// Handles a revoked grant. A model call moves to another upstream; a service call finishes
    /// where it is.
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
        log_attempt_failed(ctx, &request, &run, "revoked by its owner", "moved");
        release(
            ctx,
            view,
            &run,
            grant_report(ctx.now, &request, &run).with_cancel(),
        );
        request.may_have_run = true;
        request.avoid.push(run.offer.upstream);
        self.request_next_grant(ctx, view, request)
    }

    fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        run: RunningAttempt,
        error: &UpstreamError,
    ) -> Option<OpenRequest> {
        let progressed = request.delivered > run.start_offset;
        let not_run = error.proves_not_run() && !progressed;
        request.may_have_run |= !not_run;
        let next = self.authorize_retry(&request, not_run);
        let resumes = next.is_ok() && *error == UpstreamError::Broken && progressed;
        let text = match &next {
            Err((code, _)) => code.to_string(),
            Ok(()) if resumes => "resumed".to_owned(),
            Ok(()) => "tried elsewhere".to_owned(),
        };
        log_attempt_failed(ctx, &request, &run, &error.to_string(), &text);
        request.phase = Phase::BackingOff { until: ctx.now };
        if resumes && request.is_model() {
            return self.resume(ctx, view, request, run);
        }
        let mut report = grant_report(ctx.now, &request, &run);
        report.needs_cancel = !not_run;
        report.upstream_failed = *error != UpstreamError::Fenced;
        self.router.on_end(&run.owner, &run.offer.upstream, &report);
        release(ctx, view, &run, report);
        request.avoid.push(run.offer.upstream);
        match next {
            Ok(()) => self.request_next_grant(ctx, view, request),
            Err((code, message)) => {
                let refusal = request.refusal(code, message);
                let refusal = request.with_retry_after_if_safe(refusal, self.settings.max_pause);
                self.refuse(ctx, request, refusal)
            }
        }
    }

    /// Checks whether the request may be retried, and takes the retry from the budget. Returns the
    /// code and text of the refusal otherwise.
    fn authorize_retry(
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
        if !self.budget.take(request.target_name()) {
            let text = "too many attempts fail just now, so none is repeated: come back later";
            return Err((RefusalCode::RetryBudgetSpent, text));
        }
        Ok(())
    }

    /// Asks the owner for a grant to resume the broken stream at the same engine. The old grant is
    /// retained until then, so that the engine's memory stays accounted for.
    fn resume(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        run: RunningAttempt,
    ) -> Option<OpenRequest> {
        let to = (
            &run.owner,
            run.model.clone(),
            Some(run.offer.upstream.clone()),
            "resume",
        );
        let asked = self.request_grant(ctx, view, &mut request, to);
        request.retained = Some(RetainedGrant {
            run,
            ended: ctx.now,
        });
        if asked {
            return Some(request);
        }
        self.request_next_grant(ctx, view, request)
    }

    /// Releases the retained grant after a new one was issued. If the new one is at another
    /// upstream, the retained attempt is reported as failed and to be cancelled.
    fn release_retained(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
        offer: &GrantOffer,
    ) {
        if request
            .retained
            .as_ref()
            .is_some_and(|k| k.run.offer.upstream == offer.upstream)
        {
            if let Some(retained) = request.retained.take() {
                let report = grant_report(retained.ended, request, &retained.run);
                release(ctx, view, &retained.run, report);
            }
        }
        self.abandon_resume(ctx, view, request);
    }

    /// Abandons the resume of a broken stream: releases its grant with a cancel, and avoids the
    /// upstream.
    pub(super) fn abandon_resume(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
    ) {
        let Some(retained) = request.retained.take() else {
            return;
        };
        let mut report = grant_report(retained.ended, request, &retained.run).with_cancel();
        report.upstream_failed = true;
        let upstream = retained.run.offer.upstream.clone();
        self.router.on_end(&retained.run.owner, &upstream, &report);
        release(ctx, view, &retained.run, report);
        request.may_have_run = true;
        request.avoid.push(upstream);
    }
}

impl GrantReport {
    /// Marks the attempt as one that the engine may still be running, so that the owner cancels it
    /// there.
    pub(super) const fn with_cancel(mut self) -> Self {
        self.needs_cancel = true;
        self
    }
}

/// Timing and token count of an attempt that ended at `ended`.
pub(super) fn grant_report(
    ended: Time,
    request: &OpenRequest,
    run: &RunningAttempt,
) -> GrantReport {
    GrantReport {
        complete: false,
        upstream_failed: false,
        needs_cancel: false,
        first_token_ms: run.first_token.map(|at| at.since(run.started)),
        total_ms: ended.since(run.started),
        output_tokens: request.delivered.saturating_sub(run.start_offset),
    }
}

/// Releases an attempt's grant.
pub(super) fn release(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    run: &RunningAttempt,
    report: GrantReport,
) {
    send_release(
        ctx,
        view,
        &run.owner,
        run.attempt,
        &run.offer.upstream,
        report,
    );
}

fn log_attempt_routed(
    ctx: &mut Context<'_>,
    request: &OpenRequest,
    pending: &PendingGrant,
    offer: &GrantOffer,
) {
    let (prompt_tokens, class) = request.length();
    ctx.log(Record::Routed(Routed {
        request: request.spec.id,
        attempt: pending.attempt.number,
        workspace: request.spec.workspace.clone(),
        model: pending.model.clone(),
        prompt_tokens,
        class,
        upstream: offer.upstream.clone(),
        runner_up: offer.runner_up.clone(),
        owner: pending.owner.clone(),
        reason: pending.reason.to_owned(),
        predicted_ms: offer.predicted_ms,
    }));
}

fn log_attempt_failed(
    ctx: &mut Context<'_>,
    request: &OpenRequest,
    run: &RunningAttempt,
    error: &str,
    next: &str,
) {
    ctx.log(Record::AttemptFailed {
        request: request.spec.id,
        attempt: run.attempt.number,
        upstream: run.offer.upstream.clone(),
        error: error.to_owned(),
        next: next.to_owned(),
    });
}
