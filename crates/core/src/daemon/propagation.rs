//! Carrying what one part found out to the others.

use super::core::Daemon;
use crate::{action::Action, context::Context, message::PeerMessage};
use std::collections::VecDeque;

impl Daemon {
    /// Carries what one part found out to the others until nothing is left.
    pub(super) fn settle(&mut self, ctx: &mut Context<'_>, mut first: usize) {
        loop {
            let mut changed = self.settle_members(ctx);
            self.settle_plans(ctx);
            changed |= self.settle_config(ctx);
            changed |= self.settle_ownership(ctx);
            let messages = self.take_local_messages(ctx, &mut first);
            changed |= !messages.is_empty();
            for message in messages {
                let me = self.known.me.clone();
                self.on_message(ctx, &me, message);
            }
            if !changed {
                break;
            }
        }
        self.announce_readiness(ctx);
    }

    pub(super) fn settle_members(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.known.peers.membership.take_changes();
        if changes.is_empty() {
            return false;
        }
        self.known.refresh_ownership(ctx);
        let view = self.known.view();
        for change in &changes {
            self.owner.on_member(ctx, &view, change);
            self.entry.on_member(ctx, &view, change);
        }
        true
    }

    pub(super) fn settle_plans(&mut self, ctx: &mut Context<'_>) {
        for record in self.planner.take_committed() {
            self.known
                .with_config(|config, view| config.on_committed(ctx, view, record));
        }
    }

    pub(super) fn settle_config(&mut self, ctx: &mut Context<'_>) -> bool {
        if self.known.config.take_applied().is_empty() {
            return false;
        }
        self.known.refresh_ownership(ctx);
        self.refresh_local(ctx.now);
        let view = self.known.view();
        self.owner.on_config(ctx, &view);
        self.entry.on_config(ctx, &view);
        self.placement.on_config(ctx, &view);
        true
    }

    pub(super) fn settle_ownership(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.known.peers.ownership.take_changes();
        let view = self.known.view();
        for change in &changes {
            self.owner.on_ownership(ctx, &view, change);
            self.placement.on_ownership(ctx, &view, change);
        }
        !changes.is_empty()
    }

    /// Takes messages to this daemon out of the actions, and watches the peers of new grants.
    pub(super) fn take_local_messages(
        &mut self,
        ctx: &mut Context<'_>,
        first: &mut usize,
    ) -> Vec<PeerMessage> {
        let mut queue = VecDeque::from(ctx.actions.split_off(*first));
        let mut local = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::SendPeer { to, message, .. } if to == self.known.me.vm => {
                    local.push(message);
                }
                Action::SendPeer {
                    to,
                    address,
                    message,
                } => {
                    if matches!(message, PeerMessage::Grant(_)) && self.watched.insert(to.clone()) {
                        self.known.peers.membership.watch(self.watched.clone());
                    }
                    ctx.actions.push(Action::SendPeer {
                        to,
                        address,
                        message,
                    });
                }
                action => ctx.actions.push(action),
            }
        }
        *first = ctx.actions.len();
        local
    }

    pub(super) fn announce_readiness(&mut self, ctx: &mut Context<'_>) {
        let readiness = self.current_readiness();
        if self.readiness.as_ref() == Some(&readiness) {
            return;
        }
        let (ready, notes) = readiness.clone();
        self.readiness = Some(readiness);
        ctx.act(Action::Ready { ready, notes });
    }

    pub(super) fn current_readiness(&self) -> (bool, Vec<String>) {
        let mut notes = Vec::new();
        let configured = self.known.config.current().generation.get() > 0;
        if !configured {
            notes.push("no configuration yet: plan and confirm one, or wait for the store".into());
        }
        if self.shutdown.is_some() {
            notes.push("shutting down".into());
        }
        if !self.known.config.store_reachable() {
            notes.push("the platform's store is unavailable: configuration stays as it is".into());
        }
        for domain in self.known.peers.membership.unreachable_domains() {
            notes.push(format!("failure domain {domain} can't be reached"));
        }
        (configured && self.shutdown.is_none(), notes)
    }
}
