//! Periodic and scheduled work of a daemon.

use super::{cluster_state::ClusterState, core::Daemon};
use crate::{
    context::Context,
    units::{Millis, Time},
};

/// Maximum time between two ticks.
pub(super) const TICK_MS: Millis = Millis::new(200);

impl Daemon {
    pub(super) fn tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        let due = |wakeup: Option<Time>| wakeup.is_some_and(|at| at <= now);
        let periodic = ctx.now.since(self.last_tick) >= TICK_MS;
        if periodic {
            self.last_tick = ctx.now;
            self.early_messages.expire(ctx.now);
            self.refresh_local_state(ctx.now);
            self.update_watched_peers();
        }
        if periodic || due(self.cluster.peers.membership.next_wakeup()) {
            self.cluster.peers.membership.on_tick(ctx, &self.local);
        }
        if periodic || due(self.cluster.peers.ownership.next_wakeup()) {
            self.cluster.refresh_ownership(ctx);
        }
        if due(self.cluster.config.next_wakeup()) {
            let ClusterState { me, peers, config } = &mut self.cluster;
            config.on_tick(ctx, me, peers);
        }
        let view = self.cluster.view();
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
            let members = self.cluster.peers.membership.members();
            self.planner.on_tick(ctx, &view, &members);
        }
        self.advance_shutdown(ctx);
    }

    pub(super) fn refresh_local_state(&mut self, now: Time) {
        let view = self.cluster.view();
        self.local.generation = view.config.generation;
        self.local.config = view.config.clone();
        self.local.summary = self.owner.summary(now, &view);
        self.local.leaving = self.shutdown.is_some();
    }

    /// Watches the peers that share grants with this daemon, so that their failure is detected
    /// fast.
    pub(super) fn update_watched_peers(&mut self) {
        self.watched = self.owner.vms_with_requests();
        self.watched.append(&mut self.entry.peers());
        self.watched.remove(&self.cluster.me.vm);
        self.cluster.peers.membership.watch(self.watched.clone());
    }
}
