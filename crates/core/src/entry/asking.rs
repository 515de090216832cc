//! Asking owners for a grant.

use super::{
    open_request::{Ask, OpenRequest, Phase},
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

/// Most pauses of one request.
const PAUSES_MAX_COUNT: u32 = 10;
/// Pause before owners are looked for again where an upstream has none.
const TAKEOVER_PAUSE_MS: Millis = Millis::new(200);
/// Shortest pause.
const PAUSE_MIN_MS: Millis = Millis::new(50);

impl Entry {
    /// Asks the next owner that the router names, until one can be asked or none is left.
    pub(super) fn ask_next(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        self.drop_kept(ctx, view, &mut request);
        while request.tried.len() < self.settings.max_owners_count as usize {
            let query = RouteQuery {
                spec: &request.spec,
                tried: &request.tried,
                better: request.better.as_ref(),
                remaining_ms: request.remaining(ctx.now),
            };
            let route = match self.router.route(ctx, view, &query) {
                Ok(route) => route,
                Err(refusal) => return self.on_no_route(ctx, view, request, refusal),
            };
            let model = request.pinned.clone().or(route.model);
            let reason = route.reason;
            if self.ask(ctx, view, &mut request, (&route.owner, model, None, reason)) {
                return Some(request);
            }
            request.tried.push(route.owner);
            request.worth_a_pause = true;
        }
        let text = "no owner that was asked has a place before the deadline: come back later";
        let refusal = Refusal::not_run(RefusalCode::NoCapacity, text);
        self.on_no_route(ctx, view, request, refusal)
    }

    /// Asks an owner. False where it is not known as a live member.
    pub(super) fn ask(
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
        let ask = Ask {
            attempt: request.take_attempt(),
            owner: owner.clone(),
            model,
            resume_at,
            reason,
            until: ctx.now + self.settings.grant_answer,
        };
        let sent = send_ask(ctx, view, request, &ask);
        if sent {
            request.phase = Phase::Asking(ask);
        }
        sent
    }

    /// A place in a queue is due to be looked at: the question is sent again, since it is
    /// idempotent by attempt and the grant may have been lost.
    pub(super) fn ask_again(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        let Phase::Queued(mut ask) = request.phase.clone() else {
            return Some(request);
        };
        ask.until = ctx.now + self.settings.grant_answer;
        let sent = send_ask(ctx, view, &request, &ask);
        request.phase = Phase::Asking(ask);
        if sent {
            return Some(request);
        }
        self.on_silent(ctx, view, request)
    }

    /// The owner asked did not answer or can't be reached.
    pub(super) fn on_silent(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        if let Phase::Asking(ask) | Phase::Queued(ask) = &request.phase {
            withdraw(ctx, view, ask);
            if ask.resume_at.is_none() {
                request.tried.push(ask.owner.clone());
                request.worth_a_pause = true;
            }
        }
        self.ask_next(ctx, view, request)
    }

    /// An owner answered.
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
            Some(Phase::Asking(ask) | Phase::Queued(ask))
                if ask.attempt == attempt && ask.owner == from.vm =>
            {
                let ask = ask.clone();
                self.router.on_answer(ctx, &from.vm, &answer);
                self.step(attempt.request, |entry, request| {
                    entry.take_answer(ctx, view, request, ask, answer)
                });
            }
            Some(Phase::Running(run)) if run.attempt == attempt => {}
            _ => give_back(ctx, view, from, attempt, &answer),
        }
    }

    fn take_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        mut ask: Ask,
        answer: GrantAnswer,
    ) -> Option<OpenRequest> {
        match answer {
            GrantAnswer::Granted(offer) if self.fencing.accept(&offer.upstream, offer.fencing) => {
                Some(self.start(ctx, view, request, ask, offer))
            }
            GrantAnswer::Granted(offer) => {
                let end = unused();
                send_release(ctx, view, &ask.owner, ask.attempt, &offer.upstream, end);
                request.tried.push(ask.owner);
                request.worth_a_pause = true;
                self.ask_next(ctx, view, request)
            }
            GrantAnswer::Queued { .. } => {
                ask.until = ctx.now + self.settings.queue_refresh;
                request.phase = Phase::Queued(ask);
                Some(request)
            }
            GrantAnswer::Denied(denial) => {
                if ask.resume_at.is_none() {
                    note_denial(&mut request, ask.owner, denial);
                }
                self.ask_next(ctx, view, request)
            }
        }
    }

    /// No owner is left to ask: pauses where one may soon grant, else refuses at once.
    fn on_no_route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
        refusal: Refusal,
    ) -> Option<OpenRequest> {
        let drained = is_drained(view.config, &request.spec.target);
        let owner_due = self.waits_for_owner(ctx.now, &mut request, refusal.code);
        if let Some(until) = owner_due.filter(|_| !drained) {
            request.phase = Phase::Pausing { until };
            return Some(request);
        }
        let told = refusal.retry_after_ms.or(request.come_back);
        let later = told.unwrap_or(self.settings.max_pause);
        let pause = later.max(PAUSE_MIN_MS).min(self.settings.max_pause);
        let in_time = ctx.now + pause < request.ends_by;
        let worth_a_pause = request.worth_a_pause && !drained;
        if worth_a_pause && in_time && request.pauses_count < PAUSES_MAX_COUNT {
            request.pauses_count += 1;
            request.worth_a_pause = false;
            let until = ctx.now + pause;
            request.phase = Phase::Pausing { until };
            return Some(request);
        }
        let refusal = match request.too_long.filter(|_| !request.fits_somewhere) {
            Some(max) => too_long(max),
            None => with_retry_after(refusal, later),
        };
        let refusal = request.honest(refusal);
        self.refuse(ctx, request, refusal)
    }

    /// Until when a request waits because its upstreams have no owner just now, as in a hand-over.
    fn waits_for_owner(
        &self,
        now: Time,
        request: &mut OpenRequest,
        code: RefusalCode,
    ) -> Option<Time> {
        if code != RefusalCode::Unreachable {
            return None;
        }
        let since = *request.unreachable_since.get_or_insert(now);
        let until = now + TAKEOVER_PAUSE_MS;
        let ends_by = request.ends_by.min(since + self.settings.takeover_wait);
        (until < ends_by).then_some(until)
    }
}

/// Whether operators have drained every upstream of a target: no owner will come up for it.
fn is_drained(config: &Configuration, target: &CallTarget) -> bool {
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

fn note_denial(request: &mut OpenRequest, owner: VmId, denial: GrantDenial) {
    request.tried.push(owner);
    request.better = None;
    request.fits_somewhere |= matches!(
        denial,
        GrantDenial::Busy { .. } | GrantDenial::Learning { .. }
    );
    match denial {
        GrantDenial::NotOwner { better } => {
            request.better = better;
            request.worth_a_pause = true;
        }
        GrantDenial::Busy {
            better,
            retry_after_ms,
            ..
        } => {
            request.better = better;
            note_come_back(request, retry_after_ms);
        }
        GrantDenial::TooLong { max_prompt_tokens } => {
            request.too_long = request.too_long.max(Some(max_prompt_tokens));
            return;
        }
        GrantDenial::Learning { retry_after_ms } => {
            request.worth_a_pause = true;
            note_come_back(request, retry_after_ms);
        }
        GrantDenial::Drained => return,
    }
    request.better = request
        .better
        .take()
        .filter(|vm| !request.tried.contains(vm));
}

fn note_come_back(request: &mut OpenRequest, span: Millis) {
    let earliest = request.come_back.map_or(span, |told| told.min(span));
    request.come_back = Some(earliest);
}

fn too_long(max: Tokens) -> Refusal {
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

fn send_ask(ctx: &mut Context<'_>, view: &View<'_>, request: &OpenRequest, ask: &Ask) -> bool {
    let message = GrantMessage::Request(Box::new(GrantRequest {
        attempt: ask.attempt,
        spec: request.spec.clone(),
        model: ask.model.clone(),
        remaining_ms: request.remaining(ctx.now),
        offset_tokens: request.delivered,
        avoid: request.avoid.clone(),
        resume_at: ask.resume_at.clone(),
        generation: view.config.generation,
    }));
    view.send(ctx, &ask.owner, PeerMessage::Grant(message))
}

/// Gives up a question or a place in a queue.
pub(super) fn withdraw(ctx: &mut Context<'_>, view: &View<'_>, ask: &Ask) {
    let attempt = ask.attempt;
    let message = PeerMessage::Grant(GrantMessage::Withdraw { attempt });
    view.send(ctx, &ask.owner, message);
}

fn give_back(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    from: &Member,
    attempt: AttemptId,
    answer: &GrantAnswer,
) {
    if let GrantAnswer::Granted(offer) = answer {
        send_release(ctx, view, &from.vm, attempt, &offer.upstream, unused());
    }
}

/// The end of a grant that was not used.
const fn unused() -> GrantReport {
    GrantReport {
        complete: false,
        upstream_failed: false,
        needs_cancel: false,
        first_token_ms: None,
        total_ms: Millis::ZERO,
        output_tokens: Tokens::ZERO,
    }
}

/// Gives a grant back to its owner, or to the upstream's owner of now.
pub(super) fn send_release(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    owner: &VmId,
    attempt: AttemptId,
    upstream: &UpstreamId,
    end: GrantReport,
) {
    let message = PeerMessage::Grant(GrantMessage::Release {
        attempt,
        upstream: upstream.clone(),
        end,
    });
    if view.send(ctx, owner, message.clone()) {
        return;
    }
    if let Some(now_owner) = view.directory.owner_of(upstream).filter(|vm| *vm != owner) {
        view.send(ctx, now_owner, message);
    }
}
