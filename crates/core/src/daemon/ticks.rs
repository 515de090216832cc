//! What a daemon does as time passes.

use super::{core::Daemon, known::Known};
use crate::{
    context::Context,
    units::{Millis, Time},
};

/// Longest time between two ticks.
pub(super) const TICK_MS: Millis = Millis::new(200);

impl Daemon {
    pub(super) fn tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        let due = |wakeup: Option<Time>| wakeup.is_some_and(|at| at <= now);
        let periodic = ctx.now.since(self.last_tick) >= TICK_MS;
        if periodic {
            self.last_tick = ctx.now;
            self.strangers.expire(ctx.now);
            self.refresh_local(ctx.now);
            self.watch();
        }
        if periodic || due(self.known.peers.membership.next_wakeup()) {
            self.known.peers.membership.on_tick(ctx, &self.local);
        }
        if periodic || due(self.known.peers.ownership.next_wakeup()) {
            self.known.refresh_ownership(ctx);
        }
        if due(self.known.config.next_wakeup()) {
            let Known { me, peers, config } = &mut self.known;
            config.on_tick(ctx, me, peers);
        }
        let view = self.known.view();
        if due(self.owner.next_wakeup()) {
            self.owner.on_tick(ctx, &view);
        }
        if due(self.entry.next_wakeup()) {
            self.entry.on_tick(ctx, &view);
        }
        if due(self.placement.next_wakeup()) {
            self.placement.on_tick(ctx, &view);
        }
        if periodic || due(self.planner.next_wakeup()) {
            let members = self.known.peers.membership.members();
            self.planner.on_tick(ctx, &view, &members);
        }
        self.advance_shutdown(ctx);
    }

    pub(super) fn refresh_local(&mut self, now: Time) {
        let view = self.known.view();
        self.local.generation = view.config.generation;
        self.local.config = view.config.clone();
        self.local.summary = self.owner.summary(now, &view);
        self.local.leaving = self.shutdown.is_some();
    }

    /// Peers that share grants with this daemon must be heard directly.
    pub(super) fn watch(&mut self) {
        self.watched = self.owner.vms_with_requests();
        self.watched.append(&mut self.entry.peers());
        self.watched.remove(&self.known.me.vm);
        self.known.peers.membership.watch(self.watched.clone());
    }
}
