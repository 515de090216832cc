//! Propagates changes between the components of a daemon.

use super::core::Daemon;
use crate::{action::Action, context::Context, message::PeerMessage};
use std::collections::VecDeque;

impl Daemon {
    /// Propagates changes between the components until there are none left, then announces the
    /// readiness. `first` is the index of the first action that belongs to the current event.
    pub(super) fn propagate_changes(&mut self, ctx: &mut Context<'_>, mut first: usize) {
        loop {
            let mut changed = self.propagate_member_changes(ctx);
            self.propagate_committed_plans(ctx);
            changed |= self.propagate_config_changes(ctx);
            changed |= self.propagate_ownership_changes(ctx);
            let messages = self.take_local_messages(ctx, &mut first);
            changed |= !messages.is_empty();
            for message in messages {
                let me = self.cluster.me.clone();
                self.on_message(ctx, &me, message);
            }
            if !changed {
                break;
            }
        }
        self.announce_readiness(ctx);
    }

    pub(super) fn propagate_member_changes(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.cluster.peers.membership.take_changes();
        if changes.is_empty() {
            return false;
        }
        self.cluster.refresh_ownership(ctx);
        let view = self.cluster.view();
        for change in &changes {
            self.owner.on_member(ctx, &view, change);
            self.entry.on_member(ctx, &view, change);
        }
        true
    }

    pub(super) fn propagate_committed_plans(&mut self, ctx: &mut Context<'_>) {
        for record in self.planner.take_committed() {
            self.cluster
                .with_config(|config, view| config.on_committed(ctx, view, record));
        }
    }

    pub(super) fn propagate_config_changes(&mut self, ctx: &mut Context<'_>) -> bool {
        if self.cluster.config.take_applied().is_empty() {
            return false;
        }
        self.cluster.refresh_ownership(ctx);
        self.refresh_local_state(ctx.now);
        let view = self.cluster.view();
        self.owner.on_config(ctx, &view);
        self.entry.on_config(ctx, &view);
        self.placement.on_config(ctx, &view);
        true
    }

    pub(super) fn propagate_ownership_changes(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.cluster.peers.ownership.take_changes();
        let view = self.cluster.view();
        for change in &changes {
            self.owner.on_ownership(ctx, &view, change);
            self.placement.on_ownership(ctx, &view, change);
        }
        !changes.is_empty()
    }

    /// Removes messages addressed to this daemon from the actions and returns them. Recipients of
    /// grant messages become watched peers.
    pub(super) fn take_local_messages(
        &mut self,
        ctx: &mut Context<'_>,
        first: &mut usize,
    ) -> Vec<PeerMessage> {
        let mut queue = VecDeque::from(ctx.actions.split_off(*first));
        let mut local = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::SendPeer { to, message, .. } if to == self.cluster.me.vm => {
                    local.push(message);
                }
                Action::SendPeer {
                    to,
                    address,
                    message,
                } => {
                    if matches!(message, PeerMessage::Grant(_)) && self.watched.insert(to.clone()) {
                        self.cluster.peers.membership.watch(self.watched.clone());
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
        let configured = self.cluster.config.current().generation.get() > 0;
        if !configured {
            notes.push("no configuration yet: plan and confirm one, or wait for the store".into());
        }
        if self.shutdown.is_some() {
            notes.push("shutting down".into());
        }
        if !self.cluster.config.store_reachable() {
            notes.push("the platform's store is unavailable: configuration stays as it is".into());
        }
        for domain in self.cluster.peers.membership.unreachable_domains() {
            notes.push(format!("failure domain {domain} can't be reached"));
        }
        (configured && self.shutdown.is_none(), notes)
    }
}
