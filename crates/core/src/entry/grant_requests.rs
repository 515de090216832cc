//! Grant requests to owners and the handling of their answers.

use super::{
    open_request::{OpenRequest, PendingGrant, Phase},
    Entry,
};
use crate::{
    config::{Configuration, UpstreamKind},
    context::{Context, View},
    ids::{AttemptId, ModelVersion, UpstreamId, VmId},
    message::{
        GrantAnswer, GrantDenial, GrantMessage, GrantReport, GrantRequest, Member, PeerMessage,
    },
    request::{CallTarget, Refusal, RefusalCode},
    routing::RouteQuery,
    units::{Millis, Time, Tokens},
};

/// Maximum number of backoffs of one request.
const BACKOFFS_MAX_COUNT: u32 = 10;
/// Interval between two look-ups of an owner while the suitable upstreams have none.
const TAKEOVER_POLL_MS: Millis = Millis::new(200);
/// Lower bound on the backoff.
const BACKOFF_MIN_MS: Millis = Millis::new(50);

impl Entry {
    /// Sends a grant request to the next owner that the router selects. Skips owners that can't be
    /// reached; backs off or refuses if none is left.
    pub(super) fn request_next_grant(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        self.abandon_resume(ctx, view, &mut request);
        if request.remaining(ctx.now) == Millis::ZERO {
            // Attempts get whole milliseconds, so that they may end just before the request does.
            return self.refuse_late(ctx, view, request);
        }
        while request.tried.len() < self.settings.max_owners_count as usize {
            let query = RouteQuery {
                spec: &request.spec,
                tried: &request.tried,
                suggested_owner: request.suggested_owner.as_ref(),
                remaining_ms: request.remaining(ctx.now),
            };
            let route = match self.router.route(ctx, view, &query) {
                Ok(route) => route,
                Err(refusal) => return self.on_no_route(ctx, view, request, refusal),
            };
            let model = request.pinned_version.clone().or(route.model);
            let reason = route.reason;
            if self.request_grant(ctx, view, &mut request, (&route.owner, model, None, reason)) {
                return Some(request);
            }
            request.tried.push(route.owner);
            request.retry_worthwhile = true;
        }
        let text = "no owner that was asked has a place before the deadline: come back later";
        let refusal = Refusal::not_run(RefusalCode::NoCapacity, text);
        self.on_no_route(ctx, view, request, refusal)
    }

    /// Sends a grant request to an owner. Returns false if the owner is not known as a live member.
    pub(super) fn request_grant(
        &self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        request: &mut OpenRequest,
        to: (
            &VmId,
            Option<ModelVersion>,
            Option<UpstreamId>,
            &'static str,
        ),
    ) -> bool {
        let (owner, model, resume_at, reason) = to;
        let pending = PendingGrant {
            attempt: request.new_attempt(),
            owner: owner.clone(),
            model,
            resume_at,
            reason,
            until: ctx.now + self.settings.grant_answer,
        };
        let sent = send_grant_request(ctx, view, request, &pending);
        if sent {
            request.phase = Phase::RequestingGrant(pending);
        }
        sent
    }

    /// Sends the grant request of a queued request again, because the grant may have been lost.
    /// Grant requests are idempotent by attempt.
    pub(super) fn refresh_queue_position(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        let Phase::Queued(mut pending) = request.phase.clone() else {
            return Some(request);
        };
        pending.until = ctx.now + self.settings.grant_answer;
        let sent = send_grant_request(ctx, view, &request, &pending);
        request.phase = Phase::RequestingGrant(pending);
        if sent {
            return Some(request);
        }
        self.on_owner_unavailable(ctx, view, request)
    }

    /// Withdraws the grant request from an owner that timed out or can't be reached, and asks the
    /// next owner.
    pub(super) fn on_owner_unavailable(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        if let Phase::RequestingGrant(pending) | Phase::Queued(pending) = &request.phase {
            withdraw(ctx, view, pending);
            if pending.resume_at.is_none() {
                request.tried.push(pending.owner.clone());
                request.retry_worthwhile = true;
            }
        }
        self.request_next_grant(ctx, view, request)
    }

    /// Handles an owner's answer. A grant for an attempt that no longer waits is released.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        attempt: AttemptId,
        answer: GrantAnswer,
    ) {
        let phase = self.open.get(&attempt.request).map(|r| &r.phase);
        match phase {
            Some(Phase::RequestingGrant(pending) | Phase::Queued(pending))
                if pending.attempt == attempt && pending.owner == from.vm =>
            {
                let pending = pending.clone();
                self.router.on_answer(ctx, &from.vm, &answer);
                self.with_request(attempt.request, |entry, request| {
                    entry.apply_answer(ctx, view, request, pending, answer)
                });
            }
            Some(Phase::Running(run)) if run.attempt == attempt => {}
            _ => release_unused(ctx, view, from, attempt, &answer),
        }
    }

    fn apply_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        mut pending: PendingGrant,
        answer: GrantAnswer,
    ) -> Option<OpenRequest> {
        match answer {
            GrantAnswer::Granted(offer) if self.fencing.accept(&offer.upstream, offer.fencing) => {
                Some(self.start(ctx, view, request, pending, offer))
            }
            GrantAnswer::Granted(offer) => {
                let report = unused_grant_report();
                send_release(
                    ctx,
                    view,
                    &pending.owner,
                    pending.attempt,
                    &offer.upstream,
                    report,
                );
                request.tried.push(pending.owner);
                request.retry_worthwhile = true;
                self.request_next_grant(ctx, view, request)
            }
            GrantAnswer::Queued { .. } => {
                pending.until = ctx.now + self.settings.queue_refresh;
                request.phase = Phase::Queued(pending);
                Some(request)
            }
            GrantAnswer::Denied(denial) => {
                if pending.resume_at.is_none() {
                    record_denial(&mut request, pending.owner, denial);
                }
                self.request_next_grant(ctx, view, request)
            }
        }
    }

    /// Handles a round in which no owner granted: backs off if an owner may grant soon, and refuses
    /// otherwise.
    fn on_no_route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        refusal: Refusal,
    ) -> Option<OpenRequest> {
        let all_drained = all_upstreams_drained(view.config, &request.spec.target);
        let owner_wait = self.owner_wait_until(ctx.now, &mut request, refusal.code);
        if let Some(until) = owner_wait.filter(|_| !all_drained) {
            request.phase = Phase::BackingOff { until };
            return Some(request);
        }
        let stated = refusal.retry_after_ms.or(request.retry_after_hint);
        let retry_after = stated.unwrap_or(self.settings.max_pause);
        let backoff = retry_after.max(BACKOFF_MIN_MS).min(self.settings.max_pause);
        let in_time = ctx.now + backoff < request.refuse_by;
        let retry_worthwhile = request.retry_worthwhile && !all_drained;
        if retry_worthwhile && in_time && request.backoffs_count < BACKOFFS_MAX_COUNT {
            request.backoffs_count += 1;
            request.retry_worthwhile = false;
            let until = ctx.now + backoff;
            request.phase = Phase::BackingOff { until };
            return Some(request);
        }
        let refusal = match request
            .largest_fitting_prompt
            .filter(|_| !request.fits_busy_engine)
        {
            Some(max) => prompt_too_long(max),
            None => with_retry_after(refusal, retry_after),
        };
        let refusal = request.with_proven_outcome(refusal);
        self.refuse(ctx, request, refusal)
    }

    /// Until when the request waits because no suitable upstream has an owner, as during a change
    /// of ownership. None if the refusal has another cause or the wait is over.
    fn owner_wait_until(
        &self,
        now: Time,
        request: &mut OpenRequest,
        code: RefusalCode,
    ) -> Option<Time> {
        if code != RefusalCode::Unreachable {
            return None;
        }
        let since = *request.unreachable_since.get_or_insert(now);
        let until = now + TAKEOVER_POLL_MS;
        let wait_end = request.refuse_by.min(since + self.settings.takeover_wait);
        (until < wait_end).then_some(until)
    }
}

/// Whether operators have drained every upstream of a target, so that no owner will appear for it.
fn all_upstreams_drained(config: &Configuration, target: &CallTarget) -> bool {
    let fits = |kind: &UpstreamKind| match (kind, target) {
        (UpstreamKind::Engine(_), CallTarget::Model(_)) => true,
        (UpstreamKind::Service(service), CallTarget::Service(call)) => *service == call.service,
        _ => false,
    };
    let upstreams = config
        .upstreams
        .iter()
        .filter(|(_, upstream)| fits(&upstream.kind));
    let mut serving = upstreams
        .map(|(id, _)| config.serves_upstream(id))
        .peekable();
    serving.peek().is_some() && !serving.any(|serves| serves)
}

fn record_denial(request: &mut OpenRequest, owner: VmId, denial: GrantDenial) {
    request.tried.push(owner);
    request.suggested_owner = None;
    request.fits_busy_engine |= matches!(
        denial,
        GrantDenial::Busy { .. } | GrantDenial::Learning { .. }
    );
    match denial {
        GrantDenial::NotOwner { better } => {
            request.suggested_owner = better;
            request.retry_worthwhile = true;
        }
        GrantDenial::Busy {
            better,
            retry_after_ms,
            ..
        } => {
            request.suggested_owner = better;
            record_retry_after(request, retry_after_ms);
        }
        GrantDenial::TooLong { max_prompt_tokens } => {
            request.largest_fitting_prompt =
                request.largest_fitting_prompt.max(Some(max_prompt_tokens));
            return;
        }
        GrantDenial::Learning { retry_after_ms } => {
            request.retry_worthwhile = true;
            record_retry_after(request, retry_after_ms);
        }
        GrantDenial::Drained => return,
    }
    request.suggested_owner = request
        .suggested_owner
        .take()
        .filter(|vm| !request.tried.contains(vm));
}

fn record_retry_after(request: &mut OpenRequest, span: Millis) {
    let earliest = request
        .retry_after_hint
        .map_or(span, |stated| stated.min(span));
    request.retry_after_hint = Some(earliest);
}

fn prompt_too_long(max: Tokens) -> Refusal {
    let text = match max {
        Tokens::ZERO => {
            "prompt and max_tokens together fit no engine or group: lower max_tokens".into()
        }
        max => format!("the prompt fits no engine or group: send at most {max} tokens"),
    };
    Refusal::not_run(RefusalCode::PromptTooLong, text)
}

fn with_retry_after(mut refusal: Refusal, span: Millis) -> Refusal {
    let comes_back = matches!(
        refusal.code,
        RefusalCode::NoCapacity | RefusalCode::NotReady | RefusalCode::Unreachable
    );
    if comes_back && refusal.retry_after_ms.is_none() {
        refusal.retry_after_ms = Some(span);
    }
    refusal
}

fn send_grant_request(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    request: &OpenRequest,
    pending: &PendingGrant,
) -> bool {
    let message = GrantMessage::Request(Box::new(GrantRequest {
        attempt: pending.attempt,
        spec: request.spec.clone(),
        model: pending.model.clone(),
        remaining_ms: request.remaining(ctx.now),
        offset_tokens: request.delivered,
        avoid: request.avoid.clone(),
        resume_at: pending.resume_at.clone(),
        generation: view.config.generation,
    }));
    view.send(ctx, &pending.owner, PeerMessage::Grant(message))
}

/// Withdraws a grant request, queued or not, from its owner.
pub(super) fn withdraw(ctx: &mut Context<'_>, view: &View<'_>, pending: &PendingGrant) {
    let attempt = pending.attempt;
    let message = PeerMessage::Grant(GrantMessage::Withdraw { attempt });
    view.send(ctx, &pending.owner, message);
}

fn release_unused(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    from: &Member,
    attempt: AttemptId,
    answer: &GrantAnswer,
) {
    if let GrantAnswer::Granted(offer) = answer {
        send_release(
            ctx,
            view,
            &from.vm,
            attempt,
            &offer.upstream,
            unused_grant_report(),
        );
    }
}

/// Report for a grant that was released without being used.
const fn unused_grant_report() -> GrantReport {
    GrantReport {
        complete: false,
        upstream_failed: false,
        needs_cancel: false,
        first_token_ms: None,
        total_ms: Millis::ZERO,
        output_tokens: Tokens::ZERO,
    }
}

/// Releases a grant to the owner that issued it, or to the upstream's current owner if that one
/// can't be reached.
pub(super) fn send_release(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    owner: &VmId,
    attempt: AttemptId,
    upstream: &UpstreamId,
    report: GrantReport,
) {
    let message = PeerMessage::Grant(GrantMessage::Release {
        attempt,
        upstream: upstream.clone(),
        end: report,
    });
    if view.send(ctx, owner, message.clone()) {
        return;
    }
    if let Some(now_owner) = view.directory.owner_of(upstream).filter(|vm| *vm != owner) {
        view.send(ctx, now_owner, message);
    }
}
