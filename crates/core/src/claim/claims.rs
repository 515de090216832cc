//! Claims of keys before their calls run, and results after.

use super::{
    pending::{key_reused, unresolved, Pending, Step},
    row_keys::claim_row,
    sweeper::Sweeper,
    tickets::Issuer,
    write_budget::WriteBudget,
    writer::{replace, Writer},
    ClaimRecord, ClaimSettings, ClaimState, Tickets, Verdict,
};
use crate::{
    action::Action,
    context::{Context, View},
    ids::{IdempotencyKey, RequestId},
    platform::{CallToken, Part, PlatformError, TableAnswer, TableKey, TableOp},
    request::{Refusal, RequestSpec, ServiceCall},
    units::{Millis, Time},
};
use bytes::Bytes;
use rand::Rng;
use std::collections::BTreeMap;

/// Pause before a call that the store or the write budget refused is tried again.
const RETRY_PAUSE_MS: Millis = Millis::new(100);

/// A key that this daemon's request holds.
#[derive(Debug)]
struct Held {
    row: TableKey,
    /// The row's value, or none for a ticket, whose run needs no row.
    value: Option<Bytes>,
    record: ClaimRecord,
    ticket: Option<IdempotencyKey>,
}

/// Claims of idempotency keys, by table row or by ticket.
#[derive(Debug)]
pub struct Claims {
    pub(super) settings: ClaimSettings,
    pub(super) pending: BTreeMap<RequestId, Pending>,
    held: BTreeMap<RequestId, Held>,
    verdicts: Vec<(RequestId, Verdict)>,
    pub(super) tickets: Tickets,
    /// Tickets of claims that did not run, on their way to their issuers.
    pub(super) given_back: Vec<(IdempotencyKey, RequestId)>,
    budget: WriteBudget,
    writer: Writer,
    sweeper: Sweeper,
}

impl Claims {
    /// No claims.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            verdicts: Vec::new(),
            tickets: Tickets::new(settings),
            given_back: Vec::new(),
            budget: WriteBudget::new(settings.max_writes_per_s),
            writer: Writer::new(),
            sweeper: Sweeper::new(settings),
        }
    }

    /// Starts to claim the key of a call; [`Claims::take_verdicts`] gives what became of it.
    pub fn begin(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        spec: &RequestSpec,
        call: &ServiceCall,
        key: &IdempotencyKey,
    ) {
        let issuer = Issuer::of(key);
        let mut pending = Pending {
            request: spec.id,
            claim: random_id(ctx),
            row: claim_row(&spec.workspace, key),
            body_hash: call.body_hash,
            value: None,
            step: Step::InsertAt(ctx.now),
            until: ctx.now + self.settings.claim_timeout,
            replaced: None,
            in_doubt: false,
            ticket: issuer.is_some().then(|| key.clone()),
        };
        match issuer {
            Some(issuer) => self.ask_issuer(ctx, view, &mut pending, &issuer, key),
            None => self.insert(ctx, view, &mut pending),
        }
        self.pending.insert(spec.id, pending);
        self.drop_decided();
    }

    /// What became of claims since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(RequestId, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// What a request that waits for its key is told if its time is up now.
    pub fn timed_out(&self, request: RequestId) -> Option<Refusal> {
        let pending = self.pending.get(&request)?;
        Some(pending.timed_out(&self.settings))
    }

    /// Ends the waiting of a request whose caller got its last word.
    pub fn forget(&mut self, request: RequestId) {
        if let Some(pending) = self.pending.remove(&request) {
            self.withdraw(&pending);
        }
    }

    /// The call of a request that held its key ended, or did not run (`None`).
    pub fn finish(&mut self, request: RequestId, state: Option<ClaimState>) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        let new = state.map(|state| held.record.with_state(self.fitted(state)).encode());
        if new.is_none() {
            let claim = held.record.claim;
            self.given_back.extend(held.ticket.map(|key| (key, claim)));
        }
        if new.is_some() || held.value.is_some() {
            self.writer.add(vec![replace(&held.row, held.value, new)]);
        }
    }

    /// Takes an answer of the store.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let theirs = self.writer.on_platform(ctx.now, token, &answer)
            || self
                .sweeper
                .on_platform(ctx, &mut self.writer, token, &answer);
        let waiting = self.pending.values().find(|p| p.token() == Some(token));
        let request = waiting.map(|pending| pending.request);
        if let Some(request) = request.filter(|_| !theirs) {
            self.with_pending(request, |claims, pending| {
                claims.on_answer(ctx, view, pending, answer);
            });
        }
        self.writer.on_tick(ctx, &mut self.budget);
    }

    /// Does what is due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let due = self.pending.values().filter(|p| p.due() <= ctx.now);
        let due: Vec<RequestId> = due.map(|pending| pending.request).collect();
        for request in due {
            self.with_pending(request, |claims, pending| claims.on_due(ctx, view, pending));
        }
        self.send_given_back(ctx, view);
        self.sweeper.on_tick(ctx, &self.writer);
        self.writer.on_tick(ctx, &mut self.budget);
    }

    /// Whether results, withdrawals or tickets are on their way.
    pub fn has_unsaved(&self) -> bool {
        self.writer.has_unsaved() || !self.given_back.is_empty()
    }

    /// When there is something to do.
    pub fn next_wakeup(&self) -> Option<Time> {
        let pending = self.pending.values().map(Pending::due);
        let now = (!self.given_back.is_empty()).then_some(Time::START);
        pending
            .chain(self.writer.next_wakeup())
            .chain(self.sweeper.next_wakeup())
            .chain(now)
            .min()
    }

    pub(super) fn with_pending(
        &mut self,
        request: RequestId,
        action: impl FnOnce(&mut Self, &mut Pending),
    ) {
        if let Some(mut pending) = self.pending.remove(&request) {
            action(self, &mut pending);
            self.pending.insert(request, pending);
            self.drop_decided();
        }
    }

    pub(super) fn drop_decided(&mut self) {
        for (request, _) in &self.verdicts {
            self.pending.remove(request);
        }
    }

    pub(super) fn decide(&mut self, pending: &Pending, verdict: Verdict) {
        self.verdicts.push((pending.request, verdict));
    }

    fn on_due(&mut self, ctx: &mut Context<'_>, view: &View<'_>, pending: &mut Pending) {
        if pending.until <= ctx.now {
            let refusal = pending.timed_out(&self.settings);
            self.withdraw(pending);
            return self.decide(pending, Verdict::Refused(refusal));
        }
        match pending.step {
            Step::InsertAt(_) => self.insert(ctx, view, pending),
            Step::PollAt(_) => pending.step = Step::Polling(read(ctx, &pending.row)),
            Step::ReadAt(_) => pending.step = Step::Reading(read(ctx, &pending.row)),
            _ => {}
        }
    }

    fn insert(&mut self, ctx: &mut Context<'_>, view: &View<'_>, pending: &mut Pending) {
        let epoch = self.sweeper.epoch(ctx.now);
        let Some(epoch_index) = epoch.filter(|_| self.budget.take(ctx.now, 0)) else {
            self.sweeper.hurry(ctx.now);
            self.sweeper.on_tick(ctx, &self.writer);
            pending.step = Step::InsertAt(ctx.now + RETRY_PAUSE_MS);
            return;
        };
        let value = record(view, pending, epoch_index).encode();
        // The first value stays, so that a lost write can be told by it.
        let value = pending.value.get_or_insert(value).clone();
        let op = replace(&pending.row, pending.replaced.clone(), Some(value));
        let token = ctx.token(Part::Claim);
        ctx.act(Action::Table { token, op });
        pending.step = Step::Inserting(token);
    }

    fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut Pending,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        match (pending.step, answer) {
            (Step::Inserting(_), Ok(TableAnswer::Done)) => self.run(view, pending),
            (Step::Inserting(_), Ok(TableAnswer::Conflict)) => {
                pending.step = Step::Reading(read(ctx, &pending.row));
            }
            (Step::Inserting(_), Err(PlatformError::AnswerLost)) => {
                pending.in_doubt = true;
                pending.step = Step::Reading(read(ctx, &pending.row));
            }
            (Step::Reading(_), Err(_)) => pending.step = Step::ReadAt(ctx.now + RETRY_PAUSE_MS),
            (Step::Reading(_), Ok(TableAnswer::Value(Some(value)))) => {
                self.on_row(ctx, view, pending, &value);
            }
            (Step::Polling(_), Ok(TableAnswer::Value(Some(value)))) => {
                self.on_row(ctx, view, pending, &value);
            }
            (Step::Polling(_), Ok(TableAnswer::Value(None))) if pending.ticket.is_none() => {
                self.insert_over(ctx, view, pending, None);
            }
            (Step::Polling(_), _) => pending.step = Step::PollAt(ctx.now + self.settings.poll),
            _ => pending.step = Step::InsertAt(ctx.now + RETRY_PAUSE_MS),
        }
    }

    /// The holder gave the key back, so that it did not run: the key is free again.
    fn insert_over(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut Pending,
        replaced: Option<Bytes>,
    ) {
        pending.replaced = replaced;
        pending.until = ctx.now + self.settings.claim_timeout;
        self.insert(ctx, view, pending);
    }

    fn on_row(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut Pending,
        value: &Bytes,
    ) {
        let Some(record) = ClaimRecord::decode(value) else {
            let refusal = unresolved("the key's row can't be read");
            return self.decide(pending, Verdict::Refused(refusal));
        };
        if record.claim == pending.claim {
            return self.run(view, pending);
        }
        if record.state == ClaimState::Withdrawn && pending.ticket.is_none() {
            return self.insert_over(ctx, view, pending, Some(value.clone()));
        }
        if record.body_hash != pending.body_hash {
            return self.decide(pending, Verdict::Refused(key_reused()));
        }
        match record.state {
            ClaimState::Done(result) => self.decide(pending, Verdict::Stored(result)),
            ClaimState::DoneTooLarge => {
                let refusal = unresolved("the call ran, its answer was too large");
                self.decide(pending, Verdict::Refused(refusal));
            }
            ClaimState::Unknown => {
                let refusal = unresolved("the first call's answer was lost");
                self.decide(pending, Verdict::Refused(refusal));
            }
            ClaimState::Claimed | ClaimState::Withdrawn => self.wait_for_first(ctx, pending),
        }
    }

    pub(super) fn wait_for_first(&self, ctx: &Context<'_>, pending: &mut Pending) {
        if !pending.is_duplicate() {
            pending.until = ctx.now + self.settings.duplicate_wait;
        }
        pending.step = Step::PollAt(ctx.now + self.settings.poll);
    }

    pub(super) fn run(&mut self, view: &View<'_>, pending: &Pending) {
        let epoch_index = self.sweeper.last_index();
        let decoded = pending.value.as_ref().and_then(|v| ClaimRecord::decode(v));
        let held = Held {
            row: pending.row.clone(),
            value: pending.value.clone(),
            record: decoded.unwrap_or_else(|| record(view, pending, epoch_index)),
            ticket: pending.ticket.clone(),
        };
        self.held.insert(pending.request, held);
        self.decide(pending, Verdict::Run);
    }

    /// Takes back a claim that may have reached the store, or may still reach it, although its
    /// request never ran: removes its row, or leaves a withdrawn one that stops a late insert.
    fn withdraw(&mut self, pending: &Pending) {
        if pending.step == Step::AskingIssuer {
            let ticket = pending.ticket.clone();
            self.given_back
                .extend(ticket.map(|key| (key, pending.claim)));
        }
        let in_doubt = pending.in_doubt || matches!(pending.step, Step::Inserting(_));
        let Some(value) = pending.value.as_ref().filter(|_| in_doubt) else {
            return;
        };
        let Some(record) = ClaimRecord::decode(value) else {
            return;
        };
        let withdrawn = record.with_state(ClaimState::Withdrawn).encode();
        let remove = replace(&pending.row, Some(value.clone()), None);
        let stop = replace(&pending.row, pending.replaced.clone(), Some(withdrawn));
        self.writer.add(vec![remove.clone(), stop, remove]);
    }

    fn fitted(&self, state: ClaimState) -> ClaimState {
        match state {
            ClaimState::Done(result)
                if result.body.len() > self.settings.max_result_bytes as usize =>
            {
                ClaimState::DoneTooLarge
            }
            other => other,
        }
    }
}

fn record(view: &View<'_>, pending: &Pending, epoch_index: u64) -> ClaimRecord {
    ClaimRecord {
        claim: pending.claim,
        body_hash: pending.body_hash,
        vm: view.me.vm.clone(),
        incarnation: view.me.incarnation,
        epoch_index,
        state: ClaimState::Claimed,
    }
}

fn read(ctx: &mut Context<'_>, row: &TableKey) -> CallToken {
    let token = ctx.token(Part::Claim);
    let key = row.clone();
    ctx.act(Action::Table {
        token,
        op: TableOp::Get { key },
    });
    token
}

fn random_id(ctx: &mut Context<'_>) -> RequestId {
    let high = u128::from(ctx.rng.next_u64()) << 64;
    RequestId::new(high | u128::from(ctx.rng.next_u64()))
}
