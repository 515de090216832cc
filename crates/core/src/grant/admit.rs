//! Admission: a request is granted, waits, or is refused at once.

use super::{
    account::{GrantState, UpstreamAccount},
    candidates::{need_of, Need},
    choose::Choice,
    owner::Owner,
    queue::{Lane, Share, Waiting},
    summary::least_wait,
    timers::Timer,
};
use crate::{
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantDenial, GrantRequest, Member},
    routing::RoutingPolicy,
    units::{Millis, Time, Tokens},
};

/// Shortest time to come back that a refusal names.
const RETRY_LEAST_MS: Millis = Millis::new(100);

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
        if let Some(answer) = self.repeated(ctx.now, view, &attempt) {
            Self::answer(ctx, view, from, attempt, answer);
            return;
        }
        let answer = self.decide(ctx, view, from, request);
        Self::answer(ctx, view, from, attempt, answer);
    }

    fn repeated(&self, now: Time, view: &View<'_>, attempt: &AttemptId) -> Option<GrantAnswer> {
        if let Some(waiting) = self.queue.get(attempt) {
            let wait_ms = self.wait_ahead(now, view, &waiting.request);
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
            GrantState::Cancelling(_) => GrantAnswer::Denied(self.busy(
                now,
                view,
                Lane::Short,
                self.settings.cancel_retry_ms,
            )),
        })
    }

    fn decide(
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
        let need = need_of(view, &self.outputs, &request);
        let share = share_of(view, &request, need);
        self.pump(ctx, view);
        let resumed = self.resume(ctx.now, view, &request);
        let choice = resumed.or_else(|| self.choose(ctx.now, &request, need, &candidates));
        if let Some(choice) = choice {
            if self.is_in_time(ctx.now, deadline, &choice) {
                self.queue.pass(self.class_for(&request), &share);
                let offer = self.grant(ctx, from, &request, choice);
                return GrantAnswer::Granted(offer);
            }
            return GrantAnswer::Denied(self.busy(
                ctx.now,
                view,
                Lane::of(self.class_for(&request)),
                choice.predicted_ms,
            ));
        }
        let wait_ms = self.wait_ahead(ctx.now, view, &request);
        let grouped = self.needs_group(need, &candidates);
        if grouped && self.try_group(ctx, view, from, &request, need) {
            let wait_ms = self.least_span(&candidates, need);
            return GrantAnswer::Queued { wait_ms };
        }
        let least_ms = wait_ms + self.least_span(&candidates, need);
        let full = self.queue.len() >= self.settings.queue_requests as usize;
        if full || ctx.now + least_ms > deadline {
            return GrantAnswer::Denied(self.busy(
                ctx.now,
                view,
                Lane::of(self.class_for(&request)),
                wait_ms,
            ));
        }
        self.wait(ctx.now, from, request, need, &share);
        GrantAnswer::Queued { wait_ms }
    }

    fn wait(&mut self, now: Time, from: &Member, request: GrantRequest, need: Need, share: &Share) {
        let deadline = now + request.remaining_ms;
        let class = self.class_for(&request);
        let spans = self
            .accounts
            .values()
            .map(|l| l.prefill_span(need.prompt_tokens));
        let prefill_ms = spans.max().unwrap_or_default();
        self.timers.set(deadline, Timer::Waiting(request.attempt));
        let waiting = Waiting {
            entry: from.clone(),
            class,
            request,
            prefill_ms,
            since: now,
            deadline,
        };
        self.queue.push(waiting, share);
        self.schedule_pump(now);
    }

    /// Whether a request granted now would end before its deadline.
    pub(super) fn is_in_time(&self, now: Time, deadline: Time, choice: &Choice) -> bool {
        let run_ms = match self.settings.policy {
            RoutingPolicy::Cost => choice.run_ms,
            RoutingPolicy::LeastOutstanding | RoutingPolicy::RoundRobin => Millis::ZERO,
        };
        now + choice.predicted_ms + run_ms <= deadline
    }

    /// Shortest time from grant to end at an idle upstream.
    fn least_span(&self, candidates: &[UpstreamId], need: Need) -> Millis {
        if self.settings.policy != RoutingPolicy::Cost {
            return Millis::ZERO;
        }
        let accounts = candidates.iter().filter_map(|id| self.accounts.get(id));
        let span = |l: &UpstreamAccount| {
            l.prefill_span(need.prompt_tokens) + l.run_span(need.output_tokens)
        };
        accounts.map(span).min().unwrap_or_default()
    }

    /// A resumed stream takes the place of the attempt that it goes on for.
    fn resume(&mut self, now: Time, view: &View<'_>, request: &GrantRequest) -> Option<Choice> {
        let upstream = request.resume_at.as_ref()?;
        let account = self.accounts.get(upstream)?;
        let earlier = account.running_of(request.attempt.request);
        if earlier.is_empty() {
            return None;
        }
        let need = need_of(view, &self.outputs, request);
        let run_ms = account.run_span(need.output_tokens);
        for attempt in earlier {
            self.finish(now, attempt);
        }
        Some(Choice {
            upstream: upstream.clone(),
            runner_up: None,
            predicted_ms: Millis::ZERO,
            run_ms,
            need: Need {
                prompt_tokens: Tokens::ZERO,
                ..need
            },
        })
    }

    /// A denial for want of capacity that names an owner with half the wait, if there is one.
    pub(super) fn busy(
        &self,
        now: Time,
        view: &View<'_>,
        lane: Lane,
        retry_ms: Millis,
    ) -> GrantDenial {
        let summary = self.summary(now, view);
        let wait_ms = least_wait(&summary, lane).unwrap_or(retry_ms);
        let within = Millis::new(wait_ms.get() / 2);
        let better = match lane {
            Lane::Short => self.better_for_short(view, within),
            Lane::Long => self.better_for_long(view, within),
        };
        GrantDenial::Busy {
            better,
            retry_after_ms: retry_ms.max(RETRY_LEAST_MS),
            summary,
        }
    }

    /// Predicted wait of a request behind those that go before it.
    pub(super) fn wait_ahead(&self, now: Time, view: &View<'_>, request: &GrantRequest) -> Millis {
        let Ok(candidates) = self.candidates(view, request) else {
            return self.settings.poll_ms;
        };
        let class = self.class_for(request);
        let level = self.level_for(request);
        let (ahead_count, ahead_ms) = self
            .queue
            .ahead_of(Lane::of(class), &request.spec.workspace);
        let accounts = candidates.iter().filter_map(|id| self.accounts.get(id));
        let backlog = accounts
            .clone()
            .map(|account| account.backlog.ahead(now, level));
        let backlog_ms: u64 = backlog.map(Millis::get).sum();
        let prefill_ms = (backlog_ms + ahead_ms.get()) / candidates.len().max(1) as u64;
        let percent = self.settings.learning_percent;
        let need = need_of(view, &self.outputs, request);
        let has_room = |account: &UpstreamAccount| {
            account.busy(now) < account.allowed(now, percent)
                && need.kv_bytes <= account.kv_free_for(now, &request.attempt)
        };
        if accounts.clone().any(has_room) {
            return Millis::new(prefill_ms.max(1));
        }
        let ends =
            accounts.flat_map(|account| account.active_grants().map(|(_, h)| h.expected_end));
        let mut ends: Vec<Time> = ends.collect();
        ends.sort_unstable();
        let (Some(last), count) = (ends.last(), ends.len()) else {
            return self.settings.poll_ms;
        };
        let round = last.since(now).get().max(1);
        let wait = ends[ahead_count % count].since(now).get().max(1);
        Millis::new((wait + round * (ahead_count / count) as u64).max(prefill_ms))
    }
}

fn share_of(view: &View<'_>, request: &GrantRequest, need: Need) -> Share {
    let workspace = &request.spec.workspace;
    let config = view.config.workspaces.get(workspace);
    Share {
        workspace: workspace.clone(),
        weight_count: config.map_or(1, |config| config.weight_count),
        cost_tokens: need.prompt_tokens.get() + need.output_tokens.get(),
    }
}

fn is_alive(view: &View<'_>, member: &Member) -> bool {
    member == view.me || view.directory.is_alive(&member.vm, member.incarnation)
}
