//! Claims keys before their calls run, and stores the results afterwards.

use super::{
    pending::{key_reused, unresolved, ClaimStep, PendingClaim},
    row_keys::claim_row,
    sweeper::Sweeper,
    tickets::Issuer,
    write_budget::WriteBudget,
    writer::{compare_and_swap, Writer},
    ClaimOutcome, ClaimRecord, ClaimSettings, ClaimState, Tickets,
};
use crate::{
    action::Action,
    context::{Context, View},
    ids::{IdempotencyKey, RequestId},
    platform::{CallToken, Component, PlatformError, TableAnswer, TableKey, TableOp},
    request::{Refusal, RequestSpec, ServiceCall},
    units::{Millis, Time},
};
use bytes::Bytes;
use rand::Rng;
use std::collections::BTreeMap;

/// Delay before a call that failed at the store or exceeded the write budget is retried.
const RETRY_DELAY_MS: Millis = Millis::new(100);

/// A key held by an open request of this daemon.
#[derive(Debug)]
struct HeldKey {
    row: TableKey,
    /// The row's value, or none for a ticket, which has no row until its call ends.
    value: Option<Bytes>,
    record: ClaimRecord,
    ticket: Option<IdempotencyKey>,
}

/// Claims of idempotency keys. A key is claimed by inserting a table row, or at its issuer if it is
/// a ticket.
#[derive(Debug)]
pub struct Claims {
    pub(super) settings: ClaimSettings,
    pub(super) pending: BTreeMap<RequestId, PendingClaim>,
    held: BTreeMap<RequestId, HeldKey>,
    outcomes: Vec<(RequestId, ClaimOutcome)>,
    pub(super) tickets: Tickets,
    /// Tickets whose calls did not run, to be released to their issuers.
    pub(super) released_tickets: Vec<(IdempotencyKey, RequestId)>,
    budget: WriteBudget,
    writer: Writer,
    sweeper: Sweeper,
}

impl Claims {
    /// An empty set of claims.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            outcomes: Vec::new(),
            tickets: Tickets::new(settings),
            released_tickets: Vec::new(),
            budget: WriteBudget::new(settings.max_writes_per_s),
            writer: Writer::new(),
            sweeper: Sweeper::new(settings),
        }
    }

    /// Starts to claim the key of a call. [`Claims::take_outcomes`] returns the outcome.
    pub fn begin(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        spec: &RequestSpec,
        call: &ServiceCall,
        key: &IdempotencyKey,
    ) {
        let issuer = Issuer::of(key);
        let mut pending = PendingClaim {
            request: spec.id,
            claim: random_id(ctx),
            row: claim_row(&spec.workspace, key),
            body_hash: call.body_hash,
            value: None,
            step: ClaimStep::InsertAt(ctx.now),
            deadline: ctx.now + self.settings.claim_timeout,
            replaced: None,
            in_doubt: false,
            ticket: issuer.is_some().then(|| key.clone()),
        };
        match issuer {
            Some(issuer) => self.ask_issuer(ctx, view, &mut pending, &issuer, key),
            None => self.insert(ctx, view, &mut pending),
        }
        self.pending.insert(spec.id, pending);
        self.remove_resolved();
    }

    /// Returns the outcomes of claims since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(RequestId, ClaimOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// The refusal for a request that times out while its claim is pending; none if no claim is
    /// pending.
    pub fn timeout_refusal(&self, request: RequestId) -> Option<Refusal> {
        let pending = self.pending.get(&request)?;
        Some(pending.timeout_refusal(&self.settings))
    }

    /// Drops the pending claim of a request that has had its final response.
    pub fn forget(&mut self, request: RequestId) {
        if let Some(pending) = self.pending.remove(&request) {
            self.withdraw(&pending);
        }
    }

    /// Stores the final state of a request's call, or frees the key if the call did not run
    /// (`None`).
    pub fn finish(&mut self, request: RequestId, state: Option<ClaimState>) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        let new = state.map(|state| {
            held.record
                .with_state(self.without_oversized_result(state))
                .encode()
        });
        if new.is_none() {
            let claim = held.record.claim;
            self.released_tickets
                .extend(held.ticket.map(|key| (key, claim)));
        }
        if new.is_some() || held.value.is_some() {
            self.writer
                .add(vec![compare_and_swap(&held.row, held.value, new)]);
        }
    }

    /// Handles an answer of the store.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let handled = self.writer.on_platform(ctx.now, token, &answer)
            || self
                .sweeper
                .on_platform(ctx, &mut self.writer, token, &answer);
        let waiting = self.pending.values().find(|p| p.token() == Some(token));
        let request = waiting.map(|pending| pending.request);
        if let Some(request) = request.filter(|_| !handled) {
            self.with_pending(request, |claims, pending| {
                claims.on_answer(ctx, view, pending, answer);
            });
        }
        self.writer.on_tick(ctx, &mut self.budget);
    }

    /// Runs expired timers and sends the writes that are due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let due = self.pending.values().filter(|p| p.due() <= ctx.now);
        let due: Vec<RequestId> = due.map(|pending| pending.request).collect();
        for request in due {
            self.with_pending(request, |claims, pending| claims.on_due(ctx, view, pending));
        }
        self.send_released_tickets(ctx, view);
        self.sweeper.on_tick(ctx, &self.writer);
        self.writer.on_tick(ctx, &mut self.budget);
    }

    /// Whether writes to the store or releases of tickets are still to be sent or answered.
    pub fn has_pending_writes(&self) -> bool {
        self.writer.has_pending_writes() || !self.released_tickets.is_empty()
    }

    /// When [`Self::on_tick`] must be called next.
    pub fn next_wakeup(&self) -> Option<Time> {
        let pending = self.pending.values().map(PendingClaim::due);
        let now = (!self.released_tickets.is_empty()).then_some(Time::START);
        pending
            .chain(self.writer.next_wakeup())
            .chain(self.sweeper.next_wakeup())
            .chain(now)
            .min()
    }

    pub(super) fn with_pending(
        &mut self,
        request: RequestId,
        action: impl FnOnce(&mut Self, &mut PendingClaim),
    ) {
        if let Some(mut pending) = self.pending.remove(&request) {
            action(self, &mut pending);
            self.pending.insert(request, pending);
            self.remove_resolved();
        }
    }

    pub(super) fn remove_resolved(&mut self) {
        for (request, _) in &self.outcomes {
            self.pending.remove(request);
        }
    }

    pub(super) fn push_outcome(&mut self, pending: &PendingClaim, outcome: ClaimOutcome) {
        self.outcomes.push((pending.request, outcome));
    }

    fn on_due(&mut self, ctx: &mut Context<'_>, view: &View<'_>, pending: &mut PendingClaim) {
        if pending.deadline <= ctx.now {
            let refusal = pending.timeout_refusal(&self.settings);
            self.withdraw(pending);
            return self.push_outcome(pending, ClaimOutcome::Refused(refusal));
        }
        match pending.step {
            ClaimStep::InsertAt(_) => self.insert(ctx, view, pending),
            ClaimStep::PollAt(_) => pending.step = ClaimStep::Polling(send_read(ctx, &pending.row)),
            ClaimStep::ReadAt(_) => pending.step = ClaimStep::Reading(send_read(ctx, &pending.row)),
            _ => {}
        }
    }

    fn insert(&mut self, ctx: &mut Context<'_>, view: &View<'_>, pending: &mut PendingClaim) {
        let epoch = self.sweeper.epoch(ctx.now);
        let Some(epoch_index) = epoch.filter(|_| self.budget.take(ctx.now, 0)) else {
            self.sweeper.request_epoch_read(ctx.now);
            self.sweeper.on_tick(ctx, &self.writer);
            pending.step = ClaimStep::InsertAt(ctx.now + RETRY_DELAY_MS);
            return;
        };
        let value = new_record(view, pending, epoch_index).encode();
        // The value stays the same over retries, so that a write whose answer was lost can be
        // recognised by reading the row.
        let value = pending.value.get_or_insert(value).clone();
        let op = compare_and_swap(&pending.row, pending.replaced.clone(), Some(value));
        let token = ctx.token(Component::Claim);
        ctx.act(Action::Table { token, op });
        pending.step = ClaimStep::Inserting(token);
    }

    fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut PendingClaim,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        match (pending.step, answer) {
            (ClaimStep::Inserting(_), Ok(TableAnswer::Done)) => self.start_run(view, pending),
            (ClaimStep::Inserting(_), Ok(TableAnswer::Conflict)) => {
                pending.step = ClaimStep::Reading(send_read(ctx, &pending.row));
            }
            (ClaimStep::Inserting(_), Err(PlatformError::AnswerLost)) => {
                pending.in_doubt = true;
                pending.step = ClaimStep::Reading(send_read(ctx, &pending.row));
            }
            (ClaimStep::Reading(_), Err(_)) => {
                pending.step = ClaimStep::ReadAt(ctx.now + RETRY_DELAY_MS)
            }
            (ClaimStep::Reading(_), Ok(TableAnswer::Value(Some(value)))) => {
                self.on_row(ctx, view, pending, &value);
            }
            (ClaimStep::Polling(_), Ok(TableAnswer::Value(Some(value)))) => {
                self.on_row(ctx, view, pending, &value);
            }
            (ClaimStep::Polling(_), Ok(TableAnswer::Value(None))) if pending.ticket.is_none() => {
                self.claim_freed_key(ctx, view, pending, None);
            }
            (ClaimStep::Polling(_), _) => {
                pending.step = ClaimStep::PollAt(ctx.now + self.settings.poll)
            }
            _ => pending.step = ClaimStep::InsertAt(ctx.now + RETRY_DELAY_MS),
        }
    }

    /// Claims a key that its holder has freed without running the call.
    fn claim_freed_key(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut PendingClaim,
        replaced: Option<Bytes>,
    ) {
        pending.replaced = replaced;
        pending.deadline = ctx.now + self.settings.claim_timeout;
        self.insert(ctx, view, pending);
    }

    fn on_row(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut PendingClaim,
        value: &Bytes,
    ) {
        let Some(record) = ClaimRecord::decode(value) else {
            let refusal = unresolved("the key's row can't be read");
            return self.push_outcome(pending, ClaimOutcome::Refused(refusal));
        };
        if record.claim == pending.claim {
            return self.start_run(view, pending);
        }
        if record.state == ClaimState::Withdrawn && pending.ticket.is_none() {
            return self.claim_freed_key(ctx, view, pending, Some(value.clone()));
        }
        if record.body_hash != pending.body_hash {
            return self.push_outcome(pending, ClaimOutcome::Refused(key_reused()));
        }
        match record.state {
            ClaimState::Done(result) => self.push_outcome(pending, ClaimOutcome::Stored(result)),
            ClaimState::DoneTooLarge => {
                let refusal = unresolved("the call ran, its answer was too large");
                self.push_outcome(pending, ClaimOutcome::Refused(refusal));
            }
            ClaimState::Unknown => {
                let refusal = unresolved("the first call's answer was lost");
                self.push_outcome(pending, ClaimOutcome::Refused(refusal));
            }
            ClaimState::Claimed | ClaimState::Withdrawn => self.wait_for_holder(ctx, pending),
        }
    }

    pub(super) fn wait_for_holder(&self, ctx: &Context<'_>, pending: &mut PendingClaim) {
        if !pending.is_duplicate() {
            pending.deadline = ctx.now + self.settings.duplicate_wait;
        }
        pending.step = ClaimStep::PollAt(ctx.now + self.settings.poll);
    }

    pub(super) fn start_run(&mut self, view: &View<'_>, pending: &PendingClaim) {
        let epoch_index = self.sweeper.last_index();
        let decoded = pending.value.as_ref().and_then(|v| ClaimRecord::decode(v));
        let held = HeldKey {
            row: pending.row.clone(),
            value: pending.value.clone(),
            record: decoded.unwrap_or_else(|| new_record(view, pending, epoch_index)),
            ticket: pending.ticket.clone(),
        };
        self.held.insert(pending.request, held);
        self.push_outcome(pending, ClaimOutcome::Run);
    }

    /// Withdraws a claim whose request did not run but whose insert may have reached the store or
    /// may still reach it. Removes the row if it is there. Otherwise writes a withdrawn record
    /// first, whose presence makes a late insert fail, and then tries to remove the row again.
    fn withdraw(&mut self, pending: &PendingClaim) {
        if pending.step == ClaimStep::AskingIssuer {
            let ticket = pending.ticket.clone();
            self.released_tickets
                .extend(ticket.map(|key| (key, pending.claim)));
        }
        let in_doubt = pending.in_doubt || matches!(pending.step, ClaimStep::Inserting(_));
        let Some(value) = pending.value.as_ref().filter(|_| in_doubt) else {
            return;
        };
        let Some(record) = ClaimRecord::decode(value) else {
            return;
        };
        let withdrawn = record.with_state(ClaimState::Withdrawn).encode();
        let remove = compare_and_swap(&pending.row, Some(value.clone()), None);
        let mark_withdrawn =
            compare_and_swap(&pending.row, pending.replaced.clone(), Some(withdrawn));
        self.writer
            .add(vec![remove.clone(), mark_withdrawn, remove]);
    }

    fn without_oversized_result(&self, state: ClaimState) -> ClaimState {
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

fn new_record(view: &View<'_>, pending: &PendingClaim, epoch_index: u64) -> ClaimRecord {
    ClaimRecord {
        claim: pending.claim,
        body_hash: pending.body_hash,
        vm: view.me.vm.clone(),
        incarnation: view.me.incarnation,
        epoch_index,
        state: ClaimState::Claimed,
    }
}

fn send_read(ctx: &mut Context<'_>, row: &TableKey) -> CallToken {
    let token = ctx.token(Component::Claim);
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
