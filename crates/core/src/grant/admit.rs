//! Admission control: grants a request, queues it, or denies it immediately.

use super::{
    account::{GrantState, UpstreamAccount},
    candidates::{requirements_of, Requirements},
    choose::Choice,
    owner::Owner,
    queue::{Lane, QueueCost, QueuedRequest},
    summary::shortest_wait,
    timers::Timer,
};
use crate::{
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial, GrantRequest, Member},
    routing::RoutingPolicy,
    units::{Millis, Time, Tokens},
};

/// Lower bound of the retry-after time in a denial.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(100);

impl Owner {
    pub(super) fn on_request(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        request: GrantRequest,
    ) {
        let attempt = request.attempt;
        if self.is_finished(&attempt) || !is_alive(view, from) {
            return;
        }
        if let Some(answer) = self.repeat_answer(ctx.now, view, &attempt) {
            Self::answer(ctx, view, from, attempt, answer);
            return;
        }
        let answer = self.admit(ctx, view, from, request);
        Self::answer(ctx, view, from, attempt, answer);
    }

    fn repeat_answer(
        &self,
        now: Time,
        view: &View<'_>,
        attempt: &AttemptId,
    ) -> Option<GrantAnswer> {
        if let Some(waiting) = self.queue.get(attempt) {
            let wait_ms = self.queue_wait(now, view, &waiting.request);
            return Some(GrantAnswer::Queued { wait_ms });
        }
        if self.groups.is_forming(attempt) {
            return Some(GrantAnswer::Queued {
                wait_ms: self.settings.poll_ms,
            });
        }
        let account = self.accounts.get(self.granted.get(attempt)?)?;
        let active = account.active_grant(attempt)?;
        Some(match active.state {
            GrantState::Running => GrantAnswer::Granted(active.offer.clone()),
            GrantState::Cancelling(_) => GrantAnswer::Denied(self.busy_denial(
                now,
                view,
                Lane::Short,
                self.settings.cancel_retry_ms,
            )),
        })
    }

    fn admit(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        request: GrantRequest,
    ) -> GrantAnswer {
        let candidates = match self.candidates(view, &request) {
            Ok(candidates) => candidates,
            Err(denial) => return GrantAnswer::Denied(denial),
        };
        let deadline = ctx.now + request.remaining_ms;
        let required = requirements_of(view, &self.output_lengths, &request);
        let cost = queue_cost_of(view, &request, required);
        self.grant_waiting(ctx, view);
        let resumed = self.choose_for_resume(ctx.now, view, &request);
        let choice = resumed.or_else(|| self.choose(ctx.now, &request, required, &candidates));
        if let Some(choice) = choice {
            if self.meets_deadline(ctx.now, deadline, &choice) {
                self.queue
                    .charge_immediate_grant(self.class_for(&request), &cost);
                let offer = self.grant(ctx, from, &request, choice);
                return GrantAnswer::Granted(offer);
            }
            return GrantAnswer::Denied(self.busy_denial(
                ctx.now,
                view,
                Lane::of(self.class_for(&request)),
                choice.predicted_ms,
            ));
        }
        let wait_ms = self.queue_wait(ctx.now, view, &request);
        let exceeds_every_engine = self.needs_group(required, &candidates);
        if exceeds_every_engine && self.try_group(ctx, view, from, &request, required) {
            let wait_ms = self.min_idle_estimate(&candidates, required);
            return GrantAnswer::Queued { wait_ms };
        }
        let min_total_ms = wait_ms + self.min_idle_estimate(&candidates, required);
        let queue_full = self.queue.len() >= self.settings.queue_requests as usize;
        if queue_full || ctx.now + min_total_ms > deadline {
            return GrantAnswer::Denied(self.busy_denial(
                ctx.now,
                view,
                Lane::of(self.class_for(&request)),
                wait_ms,
            ));
        }
        self.enqueue(ctx.now, from, request, required, &cost);
        GrantAnswer::Queued { wait_ms }
    }

    fn enqueue(
        &mut self,
        now: Time,
        from: &Member,
        request: GrantRequest,
        required: Requirements,
        cost: &QueueCost,
    ) {
        let deadline = now + request.remaining_ms;
        let class = self.class_for(&request);
        let spans = self
            .accounts
            .values()
            .map(|a| a.prefill_estimate(required.prompt_tokens));
        let prefill_ms = spans.max().unwrap_or_default();
        self.timers.set(deadline, Timer::Waiting(request.attempt));
        let waiting = QueuedRequest {
            entry: from.clone(),
            class,
            request,
            prefill_ms,
            since: now,
            deadline,
        };
        self.queue.push(waiting, cost);
        self.schedule_queue_pass(now);
    }

    /// Whether a request granted now is expected to end before its deadline. Only the cost policy
    /// counts the time after the first token.
    pub(super) fn meets_deadline(&self, now: Time, deadline: Time, choice: &Choice) -> bool {
        let run_ms = match self.settings.policy {
            RoutingPolicy::Cost => choice.run_ms,
            RoutingPolicy::LeastOutstanding | RoutingPolicy::RoundRobin => Millis::ZERO,
        };
        now + choice.predicted_ms + run_ms <= deadline
    }

    /// Shortest expected time from grant to end at any candidate, were it idle.
    fn min_idle_estimate(&self, candidates: &[UpstreamId], required: Requirements) -> Millis {
        if self.settings.policy != RoutingPolicy::Cost {
            return Millis::ZERO;
        }
        let accounts = candidates.iter().filter_map(|id| self.accounts.get(id));
        let span = |a: &UpstreamAccount| {
            a.prefill_estimate(required.prompt_tokens) + a.run_estimate(required.output_tokens)
        };
        accounts.map(span).min().unwrap_or_default()
    }

    /// Lets a resumed stream take over the slot and memory of the earlier attempt that it
    /// continues.
    fn choose_for_resume(
        &mut self,
        now: Time,
        view: &View<'_>,
        request: &GrantRequest,
    ) -> Option<Choice> {
        let upstream = request.resume_at.as_ref()?;
        let account = self.accounts.get(upstream)?;
        let earlier_attempts = account.running_of(request.attempt.request);
        if earlier_attempts.is_empty() {
            return None;
        }
        let required = requirements_of(view, &self.output_lengths, request);
        let run_ms = account.run_estimate(required.output_tokens);
        for attempt in earlier_attempts {
            self.finish(now, attempt);
        }
        Some(Choice {
            upstream: upstream.clone(),
            runner_up: None,
            predicted_ms: Millis::ZERO,
            run_ms,
            required: Requirements {
                prompt_tokens: Tokens::ZERO,
                ..required
            },
        })
    }

    /// A denial for lack of capacity. Names another owner if its predicted wait is at most half.
    pub(super) fn busy_denial(
        &self,
        now: Time,
        view: &View<'_>,
        lane: Lane,
        retry_ms: Millis,
    ) -> GrantDenial {
        let summary = self.summary(now, view);
        let wait_ms = shortest_wait(&summary, lane).unwrap_or(retry_ms);
        let max_wait = Millis::new(wait_ms.get() / 2);
        let better = match lane {
            Lane::Short => self.owner_for_short_prompt(view, max_wait),
            Lane::Long => self.owner_for_long_prompt(view, max_wait),
        };
        GrantDenial::Busy {
            better,
            retry_after_ms: retry_ms.max(MIN_RETRY_AFTER_MS),
            summary,
        }
    }

    /// Predicted time until a request is granted, given the requests that are ahead in the queue.
    pub(super) fn queue_wait(&self, now: Time, view: &View<'_>, request: &GrantRequest) -> Millis {
        let Ok(candidates) = self.candidates(view, request) else {
            return self.settings.poll_ms;
        };
        let class = self.class_for(request);
        let level = self.level_for(request);
        let (ahead_count, ahead_ms) = self
            .queue
            .ahead_of_next(Lane::of(class), &request.spec.workspace);
        let accounts = candidates.iter().filter_map(|id| self.accounts.get(id));
        let backlog = accounts
            .clone()
            .map(|account| account.backlog.wait_for(now, level));
        let backlog_ms: u64 = backlog.map(Millis::get).sum();
        let prefill_ms = (backlog_ms + ahead_ms.get()) / candidates.len().max(1) as u64;
        let percent = self.settings.learning_percent;
        let required = requirements_of(view, &self.output_lengths, request);
        let has_capacity = |account: &UpstreamAccount| {
            account.slots_in_use(now) < account.in_flight_limit(now, percent)
                && required.kv_bytes <= account.kv_free_for(now, &request.attempt)
        };
        if accounts.clone().any(has_capacity) {
            return Millis::new(prefill_ms.max(1));
        }
        let expected_ends =
            accounts.flat_map(|account| account.active_grants().map(|(_, h)| h.expected_end));
        let mut expected_ends: Vec<Time> = expected_ends.collect();
        expected_ends.sort_unstable();
        let (Some(last), count) = (expected_ends.last(), expected_ends.len()) else {
            return self.settings.poll_ms;
        };
        let round_ms = last.since(now).get().max(1);
        let wait = expected_ends[ahead_count % count].since(now).get().max(1);
        Millis::new((wait + round_ms * (ahead_count / count) as u64).max(prefill_ms))
    }
}

fn queue_cost_of(view: &View<'_>, request: &GrantRequest, required: Requirements) -> QueueCost {
    let workspace = &request.spec.workspace;
    let config = view.config.workspaces.get(workspace);
    QueueCost {
        workspace: workspace.clone(),
        weight_count: config.map_or(1, |config| config.weight_count),
        cost_tokens: required.prompt_tokens.get() + required.output_tokens.get(),
    }
}

fn is_alive(view: &View<'_>, member: &Member) -> bool {
    member == view.me || view.directory.is_alive(&member.vm, member.incarnation)
}
