//! Event handlers of the entry daemon for all open requests.

use super::{
    highest_fencing::HighestFencing,
    open_request::{OpenRequest, Phase},
    retry_budget::RetryBudget,
    timers::Timers,
    EntrySettings,
};
use crate::{
    action::Action,
    claim::{ClaimOutcome, Claims},
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

/// The open requests of this daemon, with the claims, retry budgets and fencing numbers they use.
#[derive(Debug)]
pub struct Entry {
    pub(super) settings: EntrySettings,
    pub(super) router: Box<dyn Router>,
    pub(super) claims: Claims,
    pub(super) budget: RetryBudget,
    pub(super) fencing: HighestFencing,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) timers: Timers,
    /// When requests that are still open are refused, once the process was asked to stop.
    pub(super) stops_at: Option<Time>,
    /// Until when new requests are still accepted, once the process was asked to stop.
    pub(super) accepts_until: Option<Time>,
}

impl Entry {
    /// An entry daemon without open requests.
    pub fn new(settings: EntrySettings, router: Box<dyn Router>, _me: &Member) -> Self {
        Self {
            settings,
            router,
            claims: Claims::new(settings.claims),
            budget: RetryBudget::new(&settings),
            fencing: HighestFencing::default(),
            open: BTreeMap::new(),
            timers: Timers::default(),
            stops_at: None,
            accepts_until: None,
        }
    }

    /// Handles a new request. Ids of open requests must be unique: a request whose id is already
    /// open is logged as an alarm and dropped.
    pub fn on_request(&mut self, ctx: &mut Context<'_>, view: &View<'_>, spec: RequestSpec) {
        let request = OpenRequest::new(spec, ctx.now, &self.settings);
        if self.open.contains_key(&request.spec.id) {
            return log_duplicate(ctx, &request);
        }
        if let Some(refusal) = self.admission_refusal(ctx.now, view, &request) {
            self.refuse(ctx, request, refusal);
            return;
        }
        let remaining = match idempotency_key(&request.spec) {
            Some((call, key)) => {
                self.claims.begin(ctx, view, &request.spec, call, key);
                Some(request)
            }
            None => self.request_next_grant(ctx, view, request),
        };
        self.reinsert(remaining);
        self.apply_claim_outcomes(ctx, view);
    }

    /// Handles a disconnected caller by stopping its request. A keyed call that already runs
    /// continues, so that its result can be stored.
    pub fn on_caller_disconnected(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        id: RequestId,
    ) {
        self.refuse_expired(ctx, view);
        self.with_request(id, |entry, mut request| {
            if request.has_key() && matches!(request.phase, Phase::Running(_)) {
                // The key allows one execution only, so its result is stored for the next call with
                // this key.
                return Some(request);
            }
            entry.cancel_work(ctx, view, &mut request);
            let text = "the caller went away: nothing is left to do";
            let refusal = request.refusal(RefusalCode::DeadlineExceeded, text);
            entry.refuse(ctx, request, refusal)
        });
    }

    /// Issues a ticket to a caller, or refuses if too many tickets are outstanding.
    pub fn on_ticket_requested(&mut self, ctx: &mut Context<'_>, view: &View<'_>, id: RequestId) {
        let action = match self.claims.issue_ticket(ctx, view.me) {
            Some(key) => Action::Ticket { request: id, key },
            None => {
                let text = "too many tickets are out: come back later";
                let refusal = Refusal::not_run(RefusalCode::TooManyRequests, text)
                    .retry_after(self.settings.max_pause);
                let response = FinalResponse::Refused(refusal);
                Action::EndRequest {
                    request: id,
                    end: response,
                }
            }
        };
        ctx.act(action);
    }

    /// Handles progress: `delivered` tokens of the answer have been passed on to the caller, over
    /// all attempts.
    pub fn on_progress(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        delivered: Tokens,
    ) {
        self.refuse_expired(ctx, view);
        let now = ctx.now;
        self.with_request(attempt.request, |entry, mut request| {
            entry.record_progress(now, &mut request, attempt, delivered);
            Some(request)
        });
    }

    /// Handles the result of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        attempt_result: AttemptResult,
    ) {
        self.refuse_expired(ctx, view);
        self.with_request(attempt.request, |entry, request| {
            entry.on_attempt_result(ctx, view, request, attempt, attempt_result)
        });
    }

    /// Handles a grant message from an owner.
    pub fn on_message(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: GrantMessage,
    ) {
        self.refuse_expired(ctx, view);
        match message {
            GrantMessage::Answer { attempt, answer } => {
                self.on_answer(ctx, view, from, attempt, answer);
            }
            GrantMessage::Revoke { attempt } => self
                .with_request(attempt.request, |entry, request| {
                    entry.on_revoke(ctx, view, request, attempt)
                }),
            GrantMessage::Collect { upstreams, fencing } => {
                self.on_collect(ctx, view, from, &upstreams, fencing);
            }
            // The other messages are addressed to owners.
            _ => {}
        }
    }

    /// Handles a message about a ticket.
    pub fn on_ticket(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: TicketMessage,
    ) {
        self.refuse_expired(ctx, view);
        self.claims.on_ticket(ctx, view, from, message);
        self.apply_claim_outcomes(ctx, view);
    }

    /// Handles the store's answer to a call made for a claim.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        self.refuse_expired(ctx, view);
        self.claims.on_platform(ctx, view, token, answer);
        self.apply_claim_outcomes(ctx, view);
    }

    /// Handles a membership change: grant requests to a dead member go to other owners.
    pub fn on_member(&mut self, ctx: &mut Context<'_>, view: &View<'_>, change: &MemberChange) {
        if let MemberChange::Died(member) = change {
            self.on_unreachable(ctx, view, &member.vm);
        }
    }

    /// Sends grant requests that wait for an unreachable peer to other owners.
    pub fn on_unreachable(&mut self, ctx: &mut Context<'_>, view: &View<'_>, vm: &VmId) {
        self.refuse_expired(ctx, view);
        let awaits_owner = |request: &&OpenRequest| match &request.phase {
            Phase::RequestingGrant(pending) | Phase::Queued(pending) => pending.owner == *vm,
            _ => false,
        };
        let ids: Vec<RequestId> = self
            .open
            .values()
            .filter(awaits_owner)
            .map(|r| r.spec.id)
            .collect();
        for id in ids {
            self.with_request(id, |entry, request| {
                entry.on_owner_unavailable(ctx, view, request)
            });
        }
    }

    /// Drops the state of upstreams, services and models that the new configuration no longer has.
    pub fn on_config(&mut self, _ctx: &mut Context<'_>, view: &View<'_>) {
        let config = view.config;
        self.fencing
            .retain(|upstream| config.upstreams.contains_key(upstream));
        self.budget.retain(|service| {
            let is_service = config.services.keys().any(|name| name.as_str() == service);
            is_service || config.models.keys().any(|m| m.name().as_str() == service)
        });
    }

    /// Starts the shutdown: open requests may finish within the grace period.
    pub fn on_shutdown(&mut self, ctx: &mut Context<'_>, _view: &View<'_>) {
        let stops_at = ctx.now + self.settings.shutdown_grace;
        self.stops_at.get_or_insert(stops_at);
        let accepts_until = ctx.now + self.settings.shutdown_accept;
        self.accepts_until.get_or_insert(accepts_until);
    }

    /// Runs expired timers, and refuses all open requests once the grace period of a shutdown is
    /// over.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.refuse_expired(ctx, view);
        for id in self.timers.due(ctx.now) {
            self.with_request(id, |entry, request| entry.on_due(ctx, view, request));
        }
        if self.stops_at.is_some_and(|at| at <= ctx.now) {
            self.refuse_all(ctx, view);
        }
        self.claims.on_tick(ctx, view);
        self.apply_claim_outcomes(ctx, view);
    }

    /// When [`Self::on_tick`] must be called next.
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

    /// Number of open requests.
    pub fn open_requests(&self) -> u32 {
        self.open.len().try_into().unwrap_or(u32::MAX)
    }

    /// Whether a stopping daemon must keep running: requests are open or still accepted, or, within
    /// the grace period, results are not yet written to the store.
    pub fn has_work(&self, now: Time) -> bool {
        let accepts = self.accepts_until.is_some_and(|until| now < until);
        let in_grace = self.stops_at.is_some_and(|at| now < at);
        !self.open.is_empty() || accepts || (in_grace && self.claims.has_pending_writes())
    }

    /// How far the most overdue open request is past its caller's deadline. A value above zero is a
    /// fault, because every request is answered before its deadline.
    pub fn oldest_overdue_ms(&self, now: Time) -> Millis {
        let overdue = self
            .open
            .values()
            .map(|request| now.since(request.deadline));
        overdue.max().unwrap_or_default()
    }

    /// VMs of the owners that hold grants or grant requests of open requests.
    pub fn peers(&self) -> BTreeSet<VmId> {
        let owners = self.open.values().filter_map(|request| {
            let owner = match &request.phase {
                Phase::RequestingGrant(pending) | Phase::Queued(pending) => Some(&pending.owner),
                Phase::Running(run) => Some(&run.owner),
                Phase::Claiming | Phase::BackingOff { .. } => None,
            };
            owner.cloned()
        });
        owners.collect()
    }

    /// Removes a request, applies `action` to it, and inserts it again with a new timer unless
    /// `action` ended it.
    pub(super) fn with_request(
        &mut self,
        id: RequestId,
        action: impl FnOnce(&mut Self, OpenRequest) -> Option<OpenRequest>,
    ) {
        if let Some(request) = self.open.remove(&id) {
            self.timers.clear(id);
            let remaining = action(self, request);
            self.reinsert(remaining);
        }
    }

    fn reinsert(&mut self, request: Option<OpenRequest>) {
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
            Phase::RequestingGrant(_) => self.on_owner_unavailable(ctx, view, request),
            Phase::Queued(_) => self.refresh_queue_position(ctx, view, request),
            Phase::BackingOff { .. } => {
                request.tried.clear();
                request.retry_after_hint = None;
                request.largest_fitting_prompt = None;
                request.fits_busy_engine = false;
                self.request_next_grant(ctx, view, request)
            }
            Phase::Running(_) => self.on_attempt_timeout(ctx, view, request),
        }
    }

    /// Refuses every request that is past its `refuse_by` time.
    fn refuse_expired(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        for id in self.timers.due(ctx.now) {
            self.with_request(id, |entry, request| {
                if request.refuse_by > ctx.now {
                    return Some(request);
                }
                entry.refuse_late(ctx, view, request)
            });
        }
    }

    fn refuse_all(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.with_request(id, |entry, request| {
                let text = "this daemon stops and its grace is over: ask another one";
                entry.cancel_and_refuse(ctx, view, request, RefusalCode::NotReady, text)
            });
        }
    }

    fn apply_claim_outcomes(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        for (id, outcome) in self.claims.take_outcomes() {
            if !self.open.contains_key(&id) {
                self.claims.finish(id, None);
            }
            self.with_request(id, |entry, request| match outcome {
                ClaimOutcome::Run => entry.request_next_grant(ctx, view, request),
                ClaimOutcome::Stored(result) => {
                    entry.send_final_response(ctx, &request, FinalResponse::Stored(result))
                }
                ClaimOutcome::Refused(refusal) => entry.refuse(ctx, request, refusal),
            });
        }
    }
}

fn idempotency_key(spec: &RequestSpec) -> Option<(&ServiceCall, &IdempotencyKey)> {
    match &spec.target {
        CallTarget::Service(call) => call.key.as_ref().map(|key| (call, key)),
        CallTarget::Model(_) => None,
    }
}

fn log_duplicate(ctx: &mut Context<'_>, request: &OpenRequest) {
    let id = request.spec.id;
    let message = format!(
        "request {id} arrived while a request with this id is open: give each request its own id"
    );
    let name = "duplicate_request_id";
    ctx.log(Record::Alarm { name, message });
}
