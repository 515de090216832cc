//! Claims of keys that are tickets: their issuer alone decides their one use.

use super::{
    pending::{Pending, Step},
    tickets::Issuer,
    Claims,
};
use crate::{
    context::{Context, View},
    ids::{IdempotencyKey, RequestId},
    message::{Member, PeerMessage, TicketMessage},
};
use rand::Rng;

impl Claims {
    /// Issues a ticket.
    pub fn issue_ticket(&mut self, ctx: &mut Context<'_>, me: &Member) -> Option<IdempotencyKey> {
        let random = ctx.rng.next_u64();
        self.tickets.issue(ctx.now, me, random)
    }

    /// Takes a message about a ticket.
    pub fn on_ticket(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: TicketMessage,
    ) {
        match message {
            TicketMessage::Claim { key, request } => {
                let granted = self.tickets.claim(ctx.now, &key, request);
                let answer = TicketMessage::Answer {
                    key,
                    request,
                    granted,
                };
                view.send(ctx, &from.vm, PeerMessage::Ticket(answer));
            }
            TicketMessage::Answer {
                request, granted, ..
            } => self.on_ticket_answer(ctx, view, request, granted),
        }
        self.drop_decided();
    }

    /// Asks the run of a daemon that issued a ticket for its one use.
    pub(super) fn ask_issuer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        pending: &mut Pending,
        issuer: &Issuer,
        key: &IdempotencyKey,
    ) {
        pending.step = Step::AskingIssuer;
        pending.until = ctx.now + self.settings.ticket_timeout;
        let claim = TicketMessage::Claim {
            key: key.clone(),
            request: pending.claim,
        };
        let is_me = issuer.vm == view.me.vm && issuer.incarnation == view.me.incarnation;
        if is_me {
            let granted = self.tickets.claim(ctx.now, key, pending.claim);
            return self.on_issuer_answer(ctx, view, pending, granted);
        }
        let known = view.directory.member(&issuer.vm);
        let same_run = known.is_some_and(|member| member.incarnation == issuer.incarnation);
        if !same_run || !view.send(ctx, &issuer.vm, PeerMessage::Ticket(claim)) {
            // Whether it was used before its issuer ended is told by its result alone.
            self.wait_for_first(ctx, pending);
        }
    }

    fn on_ticket_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        claim: RequestId,
        granted: bool,
    ) {
        let asked = |p: &&Pending| p.claim == claim && p.step == Step::AskingIssuer;
        let request = self.pending.values().find(asked).map(|p| p.request);
        if let Some(request) = request {
            self.with_pending(request, |claims, pending| {
                claims.on_issuer_answer(ctx, view, pending, granted);
            });
        }
    }

    fn on_issuer_answer(
        &mut self,
        ctx: &Context<'_>,
        view: &View<'_>,
        pending: &mut Pending,
        granted: bool,
    ) {
        if granted {
            self.run(view, pending);
        } else {
            self.wait_for_first(ctx, pending);
        }
    }
}
