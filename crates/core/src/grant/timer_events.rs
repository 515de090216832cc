//! Handles the owner's due timers.

use super::{owner::Owner, timers::Timer};
use crate::{
    action::Action,
    context::{Context, View},
    ids::UpstreamId,
    units::Time,
};

impl Owner {
    /// Handles all timers that are due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        while let Some(timer) = self.timers.pop(ctx.now) {
            self.on_timer(ctx, view, timer);
        }
        if self.leaving {
            self.recheck_waiting(ctx, view);
        }
    }

    fn on_timer(&mut self, ctx: &mut Context<'_>, view: &View<'_>, timer: Timer) {
        match timer {
            Timer::Waiting(attempt) => self.on_wait_timeout(ctx, view, &attempt),
            Timer::LeaseExpiry(upstream, attempt) => {
                if self.is_running(&upstream, &attempt) {
                    self.revoke(ctx, view, &upstream, &attempt);
                    self.cancel(ctx, &upstream, attempt);
                }
            }
            Timer::Cancel(upstream, attempt) => self.resend_cancel(ctx, &upstream, attempt),
            Timer::Poll(upstream) => self.poll(ctx, upstream),
            Timer::Group(attempt) => self.end_group(ctx, view, attempt),
            Timer::PollCache(upstream) => self.poll_cache(ctx, upstream),
            Timer::BreakerProbe(_) | Timer::Learning(_) => self.grant_waiting(ctx, view),
            Timer::Drain(upstream) => self.on_drain_grace_over(ctx, view, &upstream),
            Timer::QueuePass => self.on_queue_pass(ctx, view),
            Timer::LongPromptEngines => self.on_long_prompt_engines_due(ctx, view),
            Timer::Finished(attempt) => {
                self.finished.remove(&attempt);
            }
        }
    }

    fn poll(&mut self, ctx: &mut Context<'_>, upstream: UpstreamId) {
        let Some(account) = self.accounts.get(&upstream) else {
            return;
        };
        ctx.act(Action::PollLoad {
            upstream: upstream.clone(),
            address: account.config.address,
        });
        let next = ctx.now + self.settings.poll_ms;
        self.timers.replace(next, Timer::Poll(upstream));
    }

    fn on_long_prompt_engines_due(&mut self, ctx: &Context<'_>, view: &View<'_>) {
        if self.accounts.is_empty() {
            return;
        }
        self.refresh_long_prompt_engines(ctx.now, view);
        let next = ctx.now + self.settings.long_set_ms;
        self.timers.replace(next, Timer::LongPromptEngines);
    }

    /// Time at which `on_tick` is due next. While the owner leaves with requests queued, it is due
    /// immediately, to deny them.
    pub fn next_wakeup(&self) -> Option<Time> {
        if self.leaving && self.queue.len() > 0 {
            return Some(Time::START);
        }
        self.timers.next()
    }
}
