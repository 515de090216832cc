//! Graceful shutdown.

use super::core::Daemon;
use crate::{
    action::Action,
    context::Context,
    units::{Millis, Time},
};

/// Time between the end of the last request and the exit, in which the announcement of leaving
/// spreads.
const LEAVE_ANNOUNCEMENT_MS: Millis = Millis::new(500);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shutdown {
    idle_since: Option<Time>,
    finished: bool,
}

impl Daemon {
    pub(super) fn start_shutdown(&mut self, ctx: &mut Context<'_>) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(Shutdown::default());
        self.owner.set_leaving();
        self.refresh_local_state(ctx.now);
        self.cluster.peers.membership.leave(ctx, &self.local);
        self.entry.on_shutdown(ctx, &self.cluster.view());
    }

    pub(super) fn advance_shutdown(&mut self, ctx: &mut Context<'_>) {
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        if shutdown.finished || self.entry.has_work(ctx.now) {
            return;
        }
        let since = *shutdown.idle_since.get_or_insert(ctx.now);
        if ctx.now.since(since) >= LEAVE_ANNOUNCEMENT_MS {
            shutdown.finished = true;
            ctx.act(Action::Exit);
        }
    }
}
