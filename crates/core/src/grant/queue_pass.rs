//! Passes over the queue that grant free capacity to queued requests.

use super::{
    candidates::{requirements_of, Requirements},
    owner::Owner,
    priority_level::PriorityLevel,
    queue::{Lane, QueuedRequest},
    timers::Timer,
};
use crate::{
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial},
    routing::RoutingPolicy,
    units::{KvBytes, Millis, Time},
};

/// Maximum number of queued requests of a lane that one pass tries.
const MAX_TRIES_PER_PASS: usize = 64;
/// Number of requests that cannot be granted after which a pass over a lane ends.
const MAX_FAILURES_PER_PASS: usize = 16;
/// Time in the queue after which KV memory is reserved for a long prompt instead of being granted
/// to other requests.
const KV_RESERVATION_WAIT_MS: Millis = Millis::new(1_000);
/// Shortest time between two timed passes.
const MIN_PASS_INTERVAL_MS: Millis = Millis::new(5);
/// Longest time between two timed passes while requests are queued.
const MAX_PASS_INTERVAL_MS: Millis = Millis::new(100);
/// Minimum wait that redirecting a queued long prompt to another owner has to save.
const LONG_MIN_SAVED_WAIT_MS: Millis = Millis::new(500);
/// Minimum wait that redirecting queued short prompts to another owner has to save.
const SHORT_MIN_SAVED_WAIT_MS: Millis = Millis::new(100);
/// Maximum number of short prompts that one pass redirects to another owner.
const MAX_SHORT_REDIRECTS: usize = 4;
/// Number of attempts of a request that may be redirected; later ones stay in the queue.
const MAX_REDIRECTED_ATTEMPTS: u32 = 2;

impl Owner {
    /// Grants free capacity to queued requests.
    pub(super) fn grant_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        if self.queue.len() == 0 {
            return;
        }
        self.reserve_kv_for_long_waits(ctx.now, view);
        for lane in Lane::ALL {
            self.grant_waiting_in_lane(ctx, view, lane);
        }
        self.schedule_queue_pass(ctx.now);
    }

    fn grant_waiting_in_lane(&mut self, ctx: &mut Context<'_>, view: &View<'_>, lane: Lane) {
        let mut failures = 0;
        let waiting = self.queue.lane(lane).take(MAX_TRIES_PER_PASS);
        let waiting: Vec<AttemptId> = waiting.map(|w| w.request.attempt).collect();
        for attempt in waiting {
            if failures >= MAX_FAILURES_PER_PASS || !self.can_grant_in_lane(ctx.now, lane) {
                return;
            }
            if !self.try_waiting(ctx, view, &attempt) {
                failures += 1;
            }
        }
    }

    /// Whether any upstream could take the shortest class of request in a lane.
    fn can_grant_in_lane(&self, now: Time, lane: Lane) -> bool {
        let Some(class) = self
            .queue
            .lane(lane)
            .take(MAX_TRIES_PER_PASS)
            .map(|w| w.class)
            .min()
        else {
            return false;
        };
        let percent = self.settings.learning_percent;
        self.accounts.values().any(|account| {
            account.slots_in_use(now) < account.in_flight_limit(now, percent)
                && self.can_start_prefill(now, account, PriorityLevel::of(class))
        })
    }

    /// Reserves KV memory for the long prompts that have waited for `KV_RESERVATION_WAIT_MS`.
    fn reserve_kv_for_long_waits(&mut self, now: Time, view: &View<'_>) {
        for account in self.accounts.values_mut() {
            account.kv_reservation = None;
        }
        let waiting = self.queue.lane(Lane::Long).take(self.accounts.len());
        let waited_long = waiting.filter(|w| now.since(w.since) >= KV_RESERVATION_WAIT_MS);
        let waited_long: Vec<AttemptId> = waited_long.map(|w| w.request.attempt).collect();
        for attempt in waited_long {
            let Some(waiting) = self.queue.get(&attempt) else {
                continue;
            };
            let Ok(candidates) = self.candidates(view, &waiting.request) else {
                continue;
            };
            let required = requirements_of(view, &self.output_lengths, &waiting.request);
            self.reserve_kv(now, attempt, required, &candidates);
        }
    }

    /// Reserves KV memory for a request at as few engines as hold it: one, or a group.
    fn reserve_kv(
        &mut self,
        now: Time,
        attempt: AttemptId,
        required: Requirements,
        candidates: &[UpstreamId],
    ) {
        let mut remaining_bytes = required.kv_bytes;
        while remaining_bytes > KvBytes::ZERO {
            let Some(upstream) = self.engine_to_reserve(now, candidates) else {
                return;
            };
            let Some(account) = self.accounts.get_mut(&upstream) else {
                return;
            };
            let reserved = remaining_bytes.min(account.kv_total());
            account.kv_reservation = Some((attempt, reserved));
            remaining_bytes = remaining_bytes.saturating_sub(reserved);
        }
    }

    fn engine_to_reserve(&self, now: Time, candidates: &[UpstreamId]) -> Option<UpstreamId> {
        let accounts = candidates
            .iter()
            .filter_map(|id| self.accounts.get_key_value(id));
        let unreserved = accounts.filter(|(_, account)| account.kv_reservation.is_none());
        let best = unreserved.max_by_key(|(_, account)| account.kv_free(now));
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
        let required = requirements_of(view, &self.output_lengths, &waiting.request);
        if self.needs_group(required, &candidates) {
            return self.try_waiting_group(ctx, view, attempt, required);
        }
        let Some(choice) = self.choose(ctx.now, &waiting.request, required, &candidates) else {
            return false;
        };
        if !self.meets_deadline(ctx.now, waiting.deadline, &choice) {
            let denial =
                self.busy_denial(ctx.now, view, Lane::of(waiting.class), choice.predicted_ms);
            return self.deny_waiting(ctx, view, attempt, denial);
        }
        let Some(mut waiting) = self.queue.take_granted(attempt) else {
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
        required: Requirements,
    ) -> bool {
        let Some(mut waiting) = self.queue.get(attempt).cloned() else {
            return false;
        };
        waiting.request.remaining_ms = waiting.deadline.since(ctx.now);
        let formed = self.try_group(ctx, view, &waiting.entry, &waiting.request, required);
        if formed {
            self.queue.take_granted(attempt);
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

    /// Schedules the next pass for when the first engine's prefill backlog falls to
    /// `prefill_ahead_ms`.
    pub(super) fn schedule_queue_pass(&mut self, now: Time) {
        if self.queue.len() == 0 || self.settings.policy != RoutingPolicy::Cost {
            return;
        }
        let first_levels = Lane::ALL.map(|lane| {
            self.queue
                .lane(lane)
                .next()
                .map(|w| self.level_for(&w.request))
        });
        let waits = first_levels.into_iter().flatten().flat_map(|level| {
            let accounts = self.accounts.values();
            accounts.map(move |account| account.backlog.wait_for(now, level))
        });
        let waits = waits.map(|ahead| ahead.saturating_sub(self.settings.prefill_ahead_ms));
        let next = waits.filter(|wait| *wait > Millis::ZERO).min();
        let next = next
            .unwrap_or(MAX_PASS_INTERVAL_MS)
            .clamp(MIN_PASS_INTERVAL_MS, MAX_PASS_INTERVAL_MS);
        self.timers.replace(now + next, Timer::QueuePass);
    }

    pub(super) fn on_queue_pass(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.grant_waiting(ctx, view);
        for lane in Lane::ALL {
            self.redirect_last(ctx, view, lane);
        }
    }

    /// Redirects the last requests of a lane to an owner with a sufficiently shorter wait.
    fn redirect_last(&mut self, ctx: &mut Context<'_>, view: &View<'_>, lane: Lane) {
        let (min_saved_ms, max_count) = match lane {
            Lane::Short => (SHORT_MIN_SAVED_WAIT_MS, MAX_SHORT_REDIRECTS),
            Lane::Long => (LONG_MIN_SAVED_WAIT_MS, 1),
        };
        if self.queue.prefill_ms(lane) < min_saved_ms {
            return;
        }
        let wait_ms = self.lane_wait(ctx.now, view, lane);
        let max_wait = wait_ms.saturating_sub(min_saved_ms);
        let better = match lane {
            Lane::Short => self.owner_for_short_prompt(view, max_wait),
            Lane::Long => self.owner_for_long_prompt(view, max_wait),
        };
        if better.is_none() || max_wait == Millis::ZERO {
            return;
        }
        let last = self.queue.lane(lane).rev().take(max_count);
        let redirectable = last
            .map(|w| w.request.attempt)
            .filter(|a| a.number.get() < MAX_REDIRECTED_ATTEMPTS);
        for attempt in redirectable.collect::<Vec<_>>() {
            let better = better.clone();
            self.deny_waiting(ctx, view, &attempt, GrantDenial::NotOwner { better });
        }
    }

    /// Denies the queued requests that no owned upstream can take any more.
    pub(super) fn recheck_waiting(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let denial = |w: &QueuedRequest| {
            let denial = self.candidates(view, &w.request).err()?;
            Some((w.request.attempt, denial))
        };
        let denied: Vec<_> = self.queue.iter().filter_map(denial).collect();
        for (attempt, denial) in denied {
            self.deny_waiting(ctx, view, &attempt, denial);
        }
    }

    pub(super) fn on_wait_timeout(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        attempt: &AttemptId,
    ) {
        let Some(waiting) = self.queue.get(attempt) else {
            return;
        };
        let wait_ms = self.queue_wait(ctx.now, view, &waiting.request);
        let denial = self.busy_denial(ctx.now, view, Lane::of(waiting.class), wait_ms);
        self.deny_waiting(ctx, view, attempt, denial);
    }
}
