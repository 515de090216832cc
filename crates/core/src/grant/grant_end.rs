//! The end of grants: release, lease expiry, cancel and revocation.

use super::{account::GrantState, owner::Owner, timers::Timer};
use crate::{
    action::Action,
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    membership::MemberChange,
    message::{GrantMessage, GrantReport, Member, PeerMessage},
    platform::{CallToken, Component},
    request::UpstreamError,
    upstream::{Order, OrderKind},
};

impl Owner {
    /// Handles a membership change. Drops the queued requests of a daemon that died, and cancels
    /// its running ones; asks a daemon that joined for its grants while they are being collected.
    pub fn on_member(&mut self, ctx: &mut Context<'_>, view: &View<'_>, change: &MemberChange) {
        match change {
            MemberChange::Died(member) => {
                let vm = &member.vm;
                let of_dead_daemon =
                    |entry: &Member| entry.vm == *vm && entry.incarnation <= member.incarnation;
                let waiting = self.queue.iter().filter(|w| of_dead_daemon(&w.entry));
                let waiting: Vec<AttemptId> = waiting.map(|w| w.request.attempt).collect();
                for attempt in waiting {
                    self.queue.remove(&attempt);
                }
                for attempt in self.groups.of_entries(of_dead_daemon) {
                    self.end_group(ctx, view, attempt);
                }
                let running_attempts = self.running(|entry| of_dead_daemon(entry));
                for (upstream, attempt) in running_attempts {
                    self.cancel(ctx, &upstream, attempt);
                }
                self.grant_waiting(ctx, view);
            }
            MemberChange::Joined(member) => self.collect_from(ctx, view, member),
            MemberChange::Leaving(_) => {}
        }
    }

    fn collect_from(&self, ctx: &mut Context<'_>, view: &View<'_>, member: &Member) {
        for (upstream, account) in &self.accounts {
            if ctx.now < account.learning_until {
                self.collect(ctx, view, upstream, member);
            }
        }
    }

    fn running(&self, matches: impl Fn(&Member) -> bool) -> Vec<(UpstreamId, AttemptId)> {
        let mut attempts = Vec::new();
        for (upstream, account) in &self.accounts {
            for (attempt, active) in account.active_grants() {
                if active.state == GrantState::Running && matches(&active.entry) {
                    attempts.push((upstream.clone(), *attempt));
                }
            }
        }
        attempts
    }

    pub(super) fn on_release(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        end: &GrantReport,
    ) {
        self.queue.remove(&attempt);
        self.end_group(ctx, view, attempt);
        self.update_estimates(ctx.now, &attempt, end);
        match self.granted.get(&attempt).cloned() {
            Some(upstream) if !self.is_running(&upstream, &attempt) => {}
            Some(upstream) if end.needs_cancel => self.cancel(ctx, &upstream, attempt),
            _ => self.finish(ctx.now, attempt),
        }
        self.grant_waiting(ctx, view);
    }

    /// Orders the upstream to cancel an attempt. Its slot and memory stay occupied until the
    /// upstream answers.
    pub(super) fn cancel(
        &mut self,
        ctx: &mut Context<'_>,
        upstream: &UpstreamId,
        attempt: AttemptId,
    ) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        let token = ctx.token(Component::Grant);
        account.set_state(&attempt, GrantState::Cancelling(token));
        ctx.act(Action::Order(Box::new(Order {
            token,
            upstream: upstream.clone(),
            address: account.config.address,
            fencing: account.fencing,
            kind: OrderKind::Cancel {
                request: attempt.request,
            },
        })));
        self.cancels.insert(token, (upstream.clone(), attempt));
        let retry = ctx.now + self.settings.cancel_retry_ms;
        let timer = Timer::Cancel(upstream.clone(), attempt);
        self.timers.replace(retry, timer);
    }

    pub(super) fn resend_cancel(
        &mut self,
        ctx: &mut Context<'_>,
        upstream: &UpstreamId,
        attempt: AttemptId,
    ) {
        let account = self.accounts.get(upstream);
        let state = account
            .and_then(|a| a.active_grant(&attempt))
            .map(|h| h.state);
        if let Some(GrantState::Cancelling(token)) = state {
            self.cancels.remove(&token);
            self.cancel(ctx, upstream, attempt);
        }
    }

    pub(super) fn resend_cancels(&mut self, ctx: &mut Context<'_>, upstream: &UpstreamId) {
        let open = self.cancels.values().filter(|(at, _)| at == upstream);
        let open: Vec<AttemptId> = open.map(|(_, attempt)| *attempt).collect();
        for attempt in open {
            self.resend_cancel(ctx, upstream, attempt);
        }
    }

    /// Handles an upstream's answer to an order.
    pub fn on_order(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        _upstream: &UpstreamId,
        token: CallToken,
        answer: Result<(), UpstreamError>,
    ) {
        if self.on_group_order(ctx, view, token, answer.is_ok()) || answer.is_err() {
            return;
        }
        self.on_orphan_cancelled(token);
        if let Some((upstream, attempt)) = self.cancels.remove(&token) {
            self.release_at(ctx.now, &upstream, attempt);
            if !self.granted.contains_key(&attempt) {
                self.finish(ctx.now, attempt);
            }
            self.grant_waiting(ctx, view);
        }
    }

    /// Tells the entry daemon to end an attempt.
    pub(super) fn revoke(
        &self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        attempt: &AttemptId,
    ) {
        let account = self.accounts.get(upstream);
        if let Some(active) = account.and_then(|a| a.active_grant(attempt)) {
            let message = GrantMessage::Revoke { attempt: *attempt };
            view.send(ctx, &active.entry.vm, PeerMessage::Grant(message));
        }
    }

    pub(super) fn on_drain_grace_over(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
    ) {
        let Some(account) = self.accounts.get(upstream) else {
            return;
        };
        let Some(since) = account.drained_since else {
            return;
        };
        if ctx.now < since + self.settings.drain_grace_ms {
            return;
        }
        // Calls of plain services cannot be resumed elsewhere, so they run to their end.
        let streams = account.active_grants().filter(|(_, h)| h.model.is_some());
        let streams: Vec<AttemptId> = streams.map(|(attempt, _)| *attempt).collect();
        for attempt in streams {
            self.revoke(ctx, view, upstream, &attempt);
        }
    }
}
