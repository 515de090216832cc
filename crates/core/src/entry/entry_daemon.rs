//! The entry daemon's part: every open request and its way to its last word.

use super::{
    fencing_seen::FencingSeen,
    open_request::{OpenRequest, Phase},
    retry_budget::RetryBudget,
    timers::Timers,
    EntrySettings,
};
use crate::{
    action::Action,
    claim::{Claims, Verdict},
    context::{Context, View},
    decision::Record,
    ids::{AttemptId, IdempotencyKey, RequestId, VmId},
    membership::MemberChange,
    message::{GrantMessage, Member, TicketMessage},
    platform::{CallToken, PlatformError, TableAnswer},
    request::{
        AttemptResult, CallTarget, FinalResponse, Refusal, RefusalCode, RequestSpec, ServiceCall,
    },
    routing::Router,
    units::{Millis, Time, Tokens},
};
use std::collections::{BTreeMap, BTreeSet};

/// Every open request of this daemon.
#[derive(Debug)]
pub struct Entry {
    pub(super) settings: EntrySettings,
    pub(super) router: Box<dyn Router>,
    pub(super) claims: Claims,
    pub(super) budget: RetryBudget,
    pub(super) fencing: FencingSeen,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) timers: Timers,
    /// When all that is still open is ended, after the process was asked to stop.
    pub(super) stops_at: Option<Time>,
    /// Until when requests are still taken then.
    pub(super) accepts_until: Option<Time>,
}

impl Entry {
    /// No requests.
    pub fn new(settings: EntrySettings, router: Box<dyn Router>, _me: &Member) -> Self {
        Self {
            settings,
            router,
            claims: Claims::new(settings.claims),
            budget: RetryBudget::new(&settings),
            fencing: FencingSeen::default(),
            open: BTreeMap::new(),
            timers: Timers::default(),
            stops_at: None,
            accepts_until: None,
        }
    }

    /// A caller sent a request. The traffic side gives no id twice while it is open.
    pub fn on_request(&mut self, ctx: &mut Context<'_>, view: &View<'_>, spec: RequestSpec) {
        let request = OpenRequest::new(spec, ctx.now, &self.settings);
        if self.open.contains_key(&request.spec.id) {
            return log_duplicate(ctx, &request);
        }
        if let Some(refusal) = self.turned_away(ctx.now, view, &request) {
            self.refuse(ctx, request, refusal);
            return;
        }
        let kept = match keyed(&request.spec) {
            Some((call, key)) => {
                self.claims.begin(ctx, view, &request.spec, call, key);
                Some(request)
            }
            None => self.ask_next(ctx, view, request),
        };
        self.keep(kept);
        self.settle_claims(ctx, view);
    }

    /// A caller went away.
    pub fn on_caller_disconnected(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        id: RequestId,
    ) {
        self.expire(ctx, view);
        self.step(id, |entry, mut request| {
            if request.has_key() && matches!(request.phase, Phase::Running(_)) {
                // It runs but once, so that its result is kept for the key's next call.
                return Some(request);
            }
            entry.abandon(ctx, view, &mut request);
            let text = "the caller went away: nothing is left to do";
            let refusal = request.refusal(RefusalCode::DeadlineExceeded, text);
            entry.refuse(ctx, request, refusal)
        });
    }

    /// A caller asks for a ticket.
    pub fn on_ticket_requested(&mut self, ctx: &mut Context<'_>, view: &View<'_>, id: RequestId) {
        let action = match self.claims.issue_ticket(ctx, view.me) {
            Some(key) => Action::Ticket { request: id, key },
            None => {
                let text = "too many tickets are out: come back later";
                let refusal = Refusal::not_run(RefusalCode::TooManyRequests, text)
                    .retry_after(self.settings.max_pause);
                let end = FinalResponse::Refused(refusal);
                Action::EndRequest { request: id, end }
            }
        };
        ctx.act(action);
    }

    /// Tokens of an attempt were passed on.
    pub fn on_progress(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        delivered: Tokens,
    ) {
        self.expire(ctx, view);
        let now = ctx.now;
        self.step(attempt.request, |entry, mut request| {
            entry.note_progress(now, &mut request, attempt, delivered);
            Some(request)
        });
    }

    /// An attempt ended.
    pub fn on_attempt_ended(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        end: AttemptResult,
    ) {
        self.expire(ctx, view);
        self.step(attempt.request, |entry, request| {
            entry.end_attempt(ctx, view, request, attempt, end)
        });
    }

    /// An owner sent a message.
    pub fn on_message(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: GrantMessage,
    ) {
        self.expire(ctx, view);
        match message {
            GrantMessage::Answer { attempt, answer } => {
                self.on_answer(ctx, view, from, attempt, answer);
            }
            GrantMessage::Revoke { attempt } => self.step(attempt.request, |entry, request| {
                entry.on_revoke(ctx, view, request, attempt)
            }),
            GrantMessage::Collect { upstreams, fencing } => {
                self.on_collect(ctx, view, from, &upstreams, fencing);
            }
            // The owner's part takes the others.
            _ => {}
        }
    }

    /// A message about a ticket.
    pub fn on_ticket(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: TicketMessage,
    ) {
        self.expire(ctx, view);
        self.claims.on_ticket(ctx, view, from, message);
        self.settle_claims(ctx, view);
    }

    /// The store answered a call of the claims.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        self.expire(ctx, view);
        self.claims.on_platform(ctx, view, token, answer);
        self.settle_claims(ctx, view);
    }

    /// A member came, leaves or went.
    pub fn on_member(&mut self, ctx: &mut Context<'_>, view: &View<'_>, change: &MemberChange) {
        if let MemberChange::Died(member) = change {
            self.on_unreachable(ctx, view, &member.vm);
        }
    }

    /// A message to a peer could not be delivered: its questions go elsewhere.
    pub fn on_unreachable(&mut self, ctx: &mut Context<'_>, view: &View<'_>, vm: &VmId) {
        self.expire(ctx, view);
        let asked = |request: &&OpenRequest| match &request.phase {
            Phase::Asking(ask) | Phase::Queued(ask) => ask.owner == *vm,
            _ => false,
        };
        let ids: Vec<RequestId> = self
            .open
            .values()
            .filter(asked)
            .map(|r| r.spec.id)
            .collect();
        for id in ids {
            self.step(id, |entry, request| entry.on_silent(ctx, view, request));
        }
    }

    /// A configuration came in force.
    pub fn on_config(&mut self, _ctx: &mut Context<'_>, view: &View<'_>) {
        let config = view.config;
        self.fencing
            .retain(|upstream| config.upstreams.contains_key(upstream));
        self.budget.retain(|service| {
            let is_service = config.services.keys().any(|name| name.as_str() == service);
            is_service || config.models.keys().any(|m| m.name().as_str() == service)
        });
    }

    /// The process was asked to stop: what is open may end within the grace.
    pub fn on_shutdown(&mut self, ctx: &mut Context<'_>, _view: &View<'_>) {
        let stops_at = ctx.now + self.settings.shutdown_grace;
        self.stops_at.get_or_insert(stops_at);
        let accepts_until = ctx.now + self.settings.shutdown_accept;
        self.accepts_until.get_or_insert(accepts_until);
    }

    /// Does what is due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.expire(ctx, view);
        for id in self.timers.due(ctx.now) {
            self.step(id, |entry, request| entry.on_due(ctx, view, request));
        }
        if self.stops_at.is_some_and(|at| at <= ctx.now) {
            self.end_all(ctx, view);
        }
        self.claims.on_tick(ctx, view);
        self.settle_claims(ctx, view);
    }

    /// When there is something to do.
    pub fn next_wakeup(&self) -> Option<Time> {
        let stop = self.stops_at.filter(|_| !self.open.is_empty());
        let claims = self.claims.next_wakeup();
        self.timers
            .next()
            .into_iter()
            .chain(claims)
            .chain(stop)
            .min()
    }

    /// Requests without a last word.
    pub fn open_requests(&self) -> u32 {
        self.open.len().try_into().unwrap_or(u32::MAX)
    }

    /// Whether a stopping daemon has something left: requests that are open or may still come, and
    /// until the end of the grace results that the store does not have yet.
    pub fn has_work(&self, now: Time) -> bool {
        let accepts = self.accepts_until.is_some_and(|until| now < until);
        let in_grace = self.stops_at.is_some_and(|at| now < at);
        !self.open.is_empty() || accepts || (in_grace && self.claims.has_unsaved())
    }

    /// How far the oldest open request is past its caller's deadline: above zero is a fault.
    pub fn oldest_overdue_ms(&self, now: Time) -> Millis {
        let overdue = self
            .open
            .values()
            .map(|request| now.since(request.deadline));
        overdue.max().unwrap_or_default()
    }

    /// The VMs with which grants are asked for or shared.
    pub fn peers(&self) -> BTreeSet<VmId> {
        let owners = self.open.values().filter_map(|request| {
            let owner = match &request.phase {
                Phase::Asking(ask) | Phase::Queued(ask) => Some(&ask.owner),
                Phase::Running(run) => Some(&run.owner),
                Phase::Claiming | Phase::Pausing { .. } => None,
            };
            owner.cloned()
        });
        owners.collect()
    }

    /// Takes a request out, lets `action` change or end it, and puts back what is left.
    pub(super) fn step(
        &mut self,
        id: RequestId,
        action: impl FnOnce(&mut Self, OpenRequest) -> Option<OpenRequest>,
    ) {
        if let Some(request) = self.open.remove(&id) {
            self.timers.clear(id);
            let kept = action(self, request);
            self.keep(kept);
        }
    }

    fn keep(&mut self, request: Option<OpenRequest>) {
        if let Some(request) = request {
            self.timers.set(request.spec.id, request.due());
            self.open.insert(request.spec.id, request);
        }
    }

    fn on_due(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut request: OpenRequest,
    ) -> Option<OpenRequest> {
        match &request.phase {
            Phase::Claiming => Some(request),
            Phase::Asking(_) => self.on_silent(ctx, view, request),
            Phase::Queued(_) => self.ask_again(ctx, view, request),
            Phase::Pausing { .. } => {
                request.tried.clear();
                request.come_back = None;
                request.too_long = None;
                request.fits_somewhere = false;
                self.ask_next(ctx, view, request)
            }
            Phase::Running(_) => self.on_hang(ctx, view, request),
        }
    }

    /// Refuses every request whose time is up.
    fn expire(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        for id in self.timers.due(ctx.now) {
            self.step(id, |entry, request| {
                if request.ends_by > ctx.now {
                    return Some(request);
                }
                let text = "the request's time is up: give it more, or come back later";
                entry.give_up(ctx, view, request, RefusalCode::DeadlineExceeded, text)
            });
        }
    }

    fn end_all(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.step(id, |entry, request| {
                let text = "this daemon stops and its grace is over: ask another one";
                entry.give_up(ctx, view, request, RefusalCode::NotReady, text)
            });
        }
    }

    fn settle_claims(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        for (id, verdict) in self.claims.take_verdicts() {
            if !self.open.contains_key(&id) {
                self.claims.finish(id, None);
            }
            self.step(id, |entry, request| match verdict {
                Verdict::Run => entry.ask_next(ctx, view, request),
                Verdict::Stored(result) => entry.end(ctx, &request, FinalResponse::Stored(result)),
                Verdict::Refused(refusal) => entry.refuse(ctx, request, refusal),
            });
        }
    }
}

fn keyed(spec: &RequestSpec) -> Option<(&ServiceCall, &IdempotencyKey)> {
    match &spec.target {
        CallTarget::Service(call) => call.key.as_ref().map(|key| (call, key)),
        CallTarget::Model(_) => None,
    }
}

fn log_duplicate(ctx: &mut Context<'_>, request: &OpenRequest) {
    let id = request.spec.id;
    let message = format!("request {id} came while it is open: give each request its own id");
    let name = "duplicate_request_id";
    ctx.log(Record::Alarm { name, message });
}
