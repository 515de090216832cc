//! Claims of keys that are tickets. Only a ticket's issuer decides which claim may use the ticket.

use super::{
    pending::{key_reused, ClaimStep, PendingClaim},
    tickets::Issuer,
    ClaimOutcome, Claims,
};
use crate::{
    context::{Context, View},
    ids::{IdempotencyKey, RequestId},
    message::{Member, PeerMessage, TicketMessage, TicketUse},
};
use rand::Rng;

impl Claims {
    /// Issues a ticket. None if too many tickets are outstanding or the ticket's text is too long.
    pub fn issue_ticket(&mut self, ctx: &mut Context<'_>, me: &Member) -> Option<IdempotencyKey> {
        let random = ctx.rng.next_u64();
        self.tickets.issue(ctx.now, me, random)
    }

    /// Handles a message about a ticket.
    pub fn on_ticket(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: TicketMessage,
    ) {
        match message {
            TicketMessage::Claim {
                key,
                claim,
                body_hash,
            } => {
                let ticket_use = self.tickets.claim(ctx.now, &key, claim, body_hash);
                let answer = TicketMessage::Answer {
                    key,
                    claim,
                    ticket_use,
                };
                view.send(ctx, &from.vm, PeerMessage::Ticket(answer));
            }
            TicketMessage::Answer {
                claim, ticket_use, ..
            } => self.on_ticket_answer(ctx, view, claim, ticket_use),
            TicketMessage::GiveBack { key, claim } => {
                self.tickets.release(ctx.now, &key, claim);
            }
        }
        self.remove_resolved();
    }

    /// Asks the issuer of a ticket to grant its single use to this claim. Only the incarnation that
    /// issued the ticket can answer.
    pub(super) fn ask_issuer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut PendingClaim,
        issuer: &Issuer,
        key: &IdempotencyKey,
    ) {
        pending.step = ClaimStep::AskingIssuer;
        pending.deadline = ctx.now + self.settings.ticket_timeout;
        let (claim, body_hash) = (pending.claim, pending.body_hash);
        if issuer.is_same_run(view.me) {
            let ticket_use = self.tickets.claim(ctx.now, key, claim, body_hash);
            return self.on_issuer_answer(ctx, view, pending, ticket_use);
        }
        let message = PeerMessage::Ticket(TicketMessage::Claim {
            key: key.clone(),
            claim,
            body_hash,
        });
        let known = view.directory.peer(&issuer.vm);
        let same_run = known.is_some_and(|member| issuer.is_same_run(member));
        if !same_run || !view.send(ctx, &issuer.vm, message) {
            // The issuer is gone. Whether the ticket was used before is known only from the stored
            // result, so wait for that.
            self.wait_for_holder(ctx, pending);
        }
    }

    fn on_ticket_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        claim: RequestId,
        ticket_use: TicketUse,
    ) {
        let awaits_answer =
            |p: &&PendingClaim| p.claim == claim && p.step == ClaimStep::AskingIssuer;
        let request = self.pending.values().find(awaits_answer).map(|p| p.request);
        if let Some(request) = request {
            self.with_pending(request, |claims, pending| {
                claims.on_issuer_answer(ctx, view, pending, ticket_use);
            });
        }
    }

    fn on_issuer_answer(
        &mut self,
        ctx: &Context<'_>,
        view: &View<'_>,
        pending: &mut PendingClaim,
        ticket_use: TicketUse,
    ) {
        match ticket_use {
            TicketUse::Granted => self.start_run(view, pending),
            TicketUse::Taken => self.wait_for_holder(ctx, pending),
            TicketUse::OtherBody => self.push_outcome(pending, ClaimOutcome::Refused(key_reused())),
        }
    }

    /// Sends the tickets whose calls did not run back to their issuers.
    pub(super) fn send_released_tickets(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        for (key, claim) in std::mem::take(&mut self.released_tickets) {
            match Issuer::of(&key) {
                Some(issuer) if issuer.is_same_run(view.me) => {
                    self.tickets.release(ctx.now, &key, claim);
                }
                Some(issuer) => {
                    let message = TicketMessage::GiveBack { key, claim };
                    view.send(ctx, &issuer.vm, PeerMessage::Ticket(message));
                }
                None => {}
            }
        }
    }
}
