//! Final responses to callers.

use super::{
    attempts::{grant_report, release},
    grant_requests::withdraw,
    open_request::{OpenRequest, Phase, RunningAttempt},
    Entry,
};
use crate::{
    action::Action,
    claim::ClaimState,
    context::{Context, View},
    decision::Record,
    ids::AttemptNumber,
    request::{FinalResponse, Refusal, RefusalCode, StoredResult},
    units::Tokens,
};

impl Entry {
    /// Ends a request whose complete answer was delivered. `completed` holds the attempt, the token
    /// count and the result to store; the attempt is absent if it was already being replaced.
    pub(super) fn complete(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        completed: (Option<RunningAttempt>, Tokens, Option<StoredResult>),
    ) -> Option<OpenRequest> {
        let (run, output_tokens, result) = completed;
        request.delivered = request.delivered.max(output_tokens);
        if let Some(run) = run {
            let mut report = grant_report(ctx.now, &request, &run);
            report.complete = true;
            self.router.on_end(&run.owner, &run.offer.upstream, &report);
            release(ctx, view, &run, report);
            request.phase = Phase::BackingOff { until: ctx.now };
        }
        self.cancel_work(ctx, view, &mut request);
        self.budget.on_success(request.target_name());
        let state = result.map_or(ClaimState::Unknown, ClaimState::Done);
        self.claims.finish(request.spec.id, Some(state));
        ctx.log(Record::Completed {
            request: request.spec.id,
            attempts: AttemptNumber::new(request.started_attempts),
            age_ms: ctx.now.since(request.arrived),
        });
        self.send_final_response(ctx, &request, FinalResponse::Complete)
    }

    /// Refuses a request whose time is up.
    pub(super) fn refuse_late(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: OpenRequest,
    ) -> Option<OpenRequest> {
        let text = "the request's time is up: give it more, or come back later";
        self.cancel_and_refuse(ctx, view, request, RefusalCode::DeadlineExceeded, text)
    }

    /// Cancels all work of a request and refuses it.
    pub(super) fn cancel_and_refuse(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        code: RefusalCode,
        message: &str,
    ) -> Option<OpenRequest> {
        let claim_refusal = self.claims.timeout_refusal(request.spec.id);
        self.cancel_work(ctx, view, &mut request);
        let refusal = match claim_refusal {
            Some(refusal) => refusal,
            None => {
                let refusal = request.refusal(code, message);
                request.with_retry_after_if_safe(refusal, self.settings.max_pause)
            }
        };
        self.refuse(ctx, request, refusal)
    }

    /// Cancels all work of a request: grant requests, the running attempt and the retained grant.
    pub(super) fn cancel_work(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
    ) {
        self.abandon_resume(ctx, view, request);
        match request.phase.clone() {
            Phase::RequestingGrant(pending) | Phase::Queued(pending) => {
                withdraw(ctx, view, &pending)
            }
            Phase::Running(run) => {
                let attempt = run.attempt;
                ctx.act(Action::StopAttempt { attempt });
                release(
                    ctx,
                    view,
                    &run,
                    grant_report(ctx.now, request, &run).with_cancel(),
                );
                request.may_have_run = true;
            }
            Phase::Claiming | Phase::BackingOff { .. } => {}
        }
        request.phase = Phase::BackingOff { until: ctx.now };
    }

    /// Refuses a request that has no work in progress.
    pub(super) fn refuse(
        &mut self,
        ctx: &mut Context<'_>,
        request: OpenRequest,
        refusal: Refusal,
    ) -> Option<OpenRequest> {
        let state = request.may_have_run.then_some(ClaimState::Unknown);
        self.claims.finish(request.spec.id, state);
        ctx.log(Record::Refused {
            request: request.spec.id,
            workspace: request.spec.workspace.clone(),
            refusal: refusal.clone(),
            age_ms: ctx.now.since(request.arrived),
        });
        self.send_final_response(ctx, &request, FinalResponse::Refused(refusal))
    }

    /// Sends the final response and forgets the request's claim. Always returns none: the request
    /// is no longer open.
    pub(super) fn send_final_response(
        &mut self,
        ctx: &mut Context<'_>,
        request: &OpenRequest,
        response: FinalResponse,
    ) -> Option<OpenRequest> {
        let request = request.spec.id;
        self.claims.forget(request);
        ctx.act(Action::EndRequest {
            request,
            end: response,
        });
        None
    }
}
