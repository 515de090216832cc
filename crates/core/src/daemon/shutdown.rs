//! Graceful shutdown.

use super::core::Daemon;
use crate::{
    action::Action,
    context::Context,
    units::{Millis, Time},
};

/// Time after the last request for the announcement of leaving to spread.
const LINGER_MS: Millis = Millis::new(500);

/// Progress of a shutdown.
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
        self.refresh_local(ctx.now);
        self.known.peers.membership.leave(ctx, &self.local);
        self.entry.on_shutdown(ctx, &self.known.view());
    }

    pub(super) fn advance_shutdown(&mut self, ctx: &mut Context<'_>) {
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        if shutdown.finished || self.entry.has_work(ctx.now) {
            return;
        }
        let since = *shutdown.idle_since.get_or_insert(ctx.now);
        if ctx.now.since(since) >= LINGER_MS {
            shutdown.finished = true;
            ctx.act(Action::Exit);
        }
    }
}
