//! Passes over the queue: what has become free goes to who waits.

use super::{
    candidates::{need_of, Need},
    owner::Owner,
    priority_level::Level,
    queue::{Lane, Waiting},
    timers::Timer,
};
use crate::{
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial},
    routing::RoutingPolicy,
    units::{KvBytes, Millis, Time},
};

/// Waiting requests of a lane that are tried in one pass.
const PASS_COUNT: usize = 64;
/// Requests that are tried in vain before a pass ends.
const PASS_FAILURES_COUNT: usize = 16;
/// Wait after which a long prompt keeps memory free for itself.
const AGED_MS: Millis = Millis::new(1_000);
/// Shortest time between two passes that no event brought about.
const PASS_LEAST_MS: Millis = Millis::new(5);
/// Longest time between two passes while requests wait.
const PASS_MOST_MS: Millis = Millis::new(100);
/// Saved wait from which a waiting long prompt is sent to another owner.
const LONG_MOVE_MS: Millis = Millis::new(500);
/// Saved wait from which waiting short prompts are sent to another owner.
const SHORT_MOVE_MS: Millis = Millis::new(100);
/// Short prompts that are sent to another owner at a time.
const SHORT_MOVES_COUNT: usize = 4;
/// Attempts of a request that may be sent on to another owner.
const MOVES_COUNT: u32 = 2;

impl Owner {
    /// Grants to waiting requests what has become free.
    pub(super) fn pump(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        if self.queue.len() == 0 {
            return;
        }
        self.reserve_for_aged(ctx.now, view);
        for lane in Lane::ALL {
            self.pump_lane(ctx, view, lane);
        }
        self.schedule_pump(ctx.now);
    }

    fn pump_lane(&mut self, ctx: &mut Context<'_>, view: &View<'_>, lane: Lane) {
        let mut failures = 0;
        let waiting = self.queue.lane(lane).take(PASS_COUNT);
        let waiting: Vec<AttemptId> = waiting.map(|w| w.request.attempt).collect();
        for attempt in waiting {
            if failures >= PASS_FAILURES_COUNT || !self.is_lane_open(ctx.now, lane) {
                return;
            }
            if !self.try_waiting(ctx, view, &attempt) {
                failures += 1;
            }
        }
    }

    /// Whether any upstream could take the shortest request of a lane.
    fn is_lane_open(&self, now: Time, lane: Lane) -> bool {
        let Some(class) = self
            .queue
            .lane(lane)
            .take(PASS_COUNT)
            .map(|w| w.class)
            .min()
        else {
            return false;
        };
        let percent = self.settings.learning_percent;
        self.accounts.values().any(|account| {
            account.busy(now) < account.allowed(now, percent)
                && self.is_prefill_open(now, account, Level::of(class))
        })
    }

    /// Long prompts that waited for long keep memory free, each at one engine.
    fn reserve_for_aged(&mut self, now: Time, view: &View<'_>) {
        for account in self.accounts.values_mut() {
            account.reserved = None;
        }
        let waiting = self.queue.lane(Lane::Long).take(self.accounts.len());
        let aged = waiting.filter(|w| now.since(w.since) >= AGED_MS);
        let aged: Vec<AttemptId> = aged.map(|w| w.request.attempt).collect();
        for attempt in aged {
            let Some(waiting) = self.queue.get(&attempt) else {
                continue;
            };
            let Ok(candidates) = self.candidates(view, &waiting.request) else {
                continue;
            };
            let need = need_of(view, &self.outputs, &waiting.request);
            self.reserve(now, attempt, need, &candidates);
        }
    }

    /// Keeps the memory of the fewest engines that hold a request: one, or a group.
    fn reserve(&mut self, now: Time, attempt: AttemptId, need: Need, candidates: &[UpstreamId]) {
        let mut left = need.kv_bytes;
        while left > KvBytes::ZERO {
            let Some(upstream) = self.to_reserve(now, candidates) else {
                return;
            };
            let Some(account) = self.accounts.get_mut(&upstream) else {
                return;
            };
            let kept = left.min(account.kv_total());
            account.reserved = Some((attempt, kept));
            left = left.saturating_sub(kept);
        }
    }

    fn to_reserve(&self, now: Time, candidates: &[UpstreamId]) -> Option<UpstreamId> {
        let accounts = candidates
            .iter()
            .filter_map(|id| self.accounts.get_key_value(id));
        let open = accounts.filter(|(_, account)| account.reserved.is_none());
        let best = open.max_by_key(|(_, account)| account.kv_free(now));
        best.map(|(id, _)| id.clone())
    }

    fn try_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: &AttemptId) -> bool {
        let Some(waiting) = self.queue.get(attempt) else {
            return false;
        };
        let candidates = match self.candidates(view, &waiting.request) {
            Ok(candidates) => candidates,
            Err(denial) => return self.deny_waiting(ctx, view, attempt, denial),
        };
        let need = need_of(view, &self.outputs, &waiting.request);
        if self.needs_group(need, &candidates) {
            return self.try_waiting_group(ctx, view, attempt, need);
        }
        let Some(choice) = self.choose(ctx.now, &waiting.request, need, &candidates) else {
            return false;
        };
        if !self.is_in_time(ctx.now, waiting.deadline, &choice) {
            let denial = self.busy(ctx.now, view, Lane::of(waiting.class), choice.predicted_ms);
            return self.deny_waiting(ctx, view, attempt, denial);
        }
        let Some(mut waiting) = self.queue.serve(attempt) else {
            return false;
        };
        waiting.request.remaining_ms = waiting.deadline.since(ctx.now);
        let offer = self.grant(ctx, &waiting.entry, &waiting.request, choice);
        Self::answer(
            ctx,
            view,
            &waiting.entry,
            *attempt,
            GrantAnswer::Granted(offer),
        );
        true
    }

    fn try_waiting_group(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: &AttemptId,
        need: Need,
    ) -> bool {
        let Some(mut waiting) = self.queue.get(attempt).cloned() else {
            return false;
        };
        waiting.request.remaining_ms = waiting.deadline.since(ctx.now);
        let formed = self.try_group(ctx, view, &waiting.entry, &waiting.request, need);
        if formed {
            self.queue.serve(attempt);
        }
        formed
    }

    fn deny_waiting(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: &AttemptId,
        denial: GrantDenial,
    ) -> bool {
        if let Some(waiting) = self.queue.remove(attempt) {
            Self::answer(
                ctx,
                view,
                &waiting.entry,
                *attempt,
                GrantAnswer::Denied(denial),
            );
        }
        true
    }

    /// Sets the time of the next pass, when the first engine's prefill is nearly done.
    pub(super) fn schedule_pump(&mut self, now: Time) {
        if self.queue.len() == 0 || self.settings.policy != RoutingPolicy::Cost {
            return;
        }
        let heads = Lane::ALL.map(|lane| {
            self.queue
                .lane(lane)
                .next()
                .map(|w| self.level_for(&w.request))
        });
        let waits = heads.into_iter().flatten().flat_map(|level| {
            let accounts = self.accounts.values();
            accounts.map(move |account| account.backlog.ahead(now, level))
        });
        let waits = waits.map(|ahead| ahead.saturating_sub(self.settings.prefill_ahead_ms));
        let next = waits.filter(|wait| *wait > Millis::ZERO).min();
        let next = next
            .unwrap_or(PASS_MOST_MS)
            .clamp(PASS_LEAST_MS, PASS_MOST_MS);
        self.timers.replace(now + next, Timer::Pump);
    }

    pub(super) fn on_pump(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.pump(ctx, view);
        for lane in Lane::ALL {
            self.move_last(ctx, view, lane);
        }
    }

    /// Sends the last waiting requests of a lane to an owner that can take them sooner.
    fn move_last(&mut self, ctx: &mut Context<'_>, view: &View<'_>, lane: Lane) {
        let (least_ms, most) = match lane {
            Lane::Short => (SHORT_MOVE_MS, SHORT_MOVES_COUNT),
            Lane::Long => (LONG_MOVE_MS, 1),
        };
        if self.queue.prefill_ms(lane) < least_ms {
            return;
        }
        let wait_ms = self.lane_wait(ctx.now, view, lane);
        let within = wait_ms.saturating_sub(least_ms);
        let better = match lane {
            Lane::Short => self.better_for_short(view, within),
            Lane::Long => self.better_for_long(view, within),
        };
        if better.is_none() || within == Millis::ZERO {
            return;
        }
        let last = self.queue.lane(lane).rev().take(most);
        let movable = last
            .map(|w| w.request.attempt)
            .filter(|a| a.number.get() < MOVES_COUNT);
        for attempt in movable.collect::<Vec<_>>() {
            let better = better.clone();
            self.deny_waiting(ctx, view, &attempt, GrantDenial::NotOwner { better });
        }
    }

    /// Denies the waiting requests that no owned upstream can take any more.
    pub(super) fn recheck_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let denial = |w: &Waiting| {
            let denial = self.candidates(view, &w.request).err()?;
            Some((w.request.attempt, denial))
        };
        let denied: Vec<_> = self.queue.iter().filter_map(denial).collect();
        for (attempt, denial) in denied {
            self.deny_waiting(ctx, view, &attempt, denial);
        }
    }

    pub(super) fn on_wait_over(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: &AttemptId,
    ) {
        let Some(waiting) = self.queue.get(attempt) else {
            return;
        };
        let wait_ms = self.wait_ahead(ctx.now, view, &waiting.request);
        let denial = self.busy(ctx.now, view, Lane::of(waiting.class), wait_ms);
        self.deny_waiting(ctx, view, attempt, denial);
    }
}
