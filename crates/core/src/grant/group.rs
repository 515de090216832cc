//! Groups of engines that together serve a prompt that exceeds the KV memory of each engine.
//!
//! All members belong to one owner, which reserves their memory in one step, all or nothing, so
//! that two owners cannot deadlock on partial reservations. Each member but the last prefills one
//! segment and keeps its KV cache; every member imports the segments before its own; the last
//! member answers the request.

use super::{
    account::{ActiveGrant, GrantState},
    candidates::Requirements,
    choose::Choice,
    owner::Owner,
    priority_level::PriorityLevel,
    queue::Lane,
    segments::{orders_of, Segment},
    timers::Timer,
};
use crate::{
    action::Action,
    context::{Context, View},
    ids::{AttemptId, UpstreamId},
    message::{GrantAnswer, GrantRequest, Member},
    platform::{CallToken, Component},
    units::{Millis, Time},
    upstream::{Order, OrderKind},
};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of groups of an owner at a time, from reservation to end.
const MAX_GROUPS: usize = 1;

/// A group of engines, from its reservation to its end.
#[derive(Clone, Debug)]
pub(super) struct Group {
    entry: Member,
    request: GrantRequest,
    required: Requirements,
    segments: Vec<Segment>,
    orders: VecDeque<(UpstreamId, OrderKind)>,
    is_granted: bool,
    deadline: Time,
}

/// The groups of an owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    by_attempt: BTreeMap<AttemptId, Group>,
    tokens: BTreeMap<CallToken, AttemptId>,
}

impl Groups {
    /// Whether a request's group is still prefilling, before the grant.
    pub(super) fn is_forming(&self, attempt: &AttemptId) -> bool {
        self.by_attempt
            .get(attempt)
            .is_some_and(|group| !group.is_granted)
    }

    /// Whether a request has a group.
    pub(super) fn contains(&self, attempt: &AttemptId) -> bool {
        self.by_attempt.contains_key(attempt)
    }

    /// The attempts whose entry daemon matches a predicate.
    pub(super) fn of_entries(&self, matches: impl Fn(&Member) -> bool) -> Vec<AttemptId> {
        let attempts = self
            .by_attempt
            .iter()
            .filter(|(_, group)| matches(&group.entry));
        attempts.map(|(attempt, _)| *attempt).collect()
    }

    /// The attempts whose group includes an upstream.
    fn with_member(&self, upstream: &UpstreamId) -> Vec<AttemptId> {
        let includes = |group: &Group| group.segments.iter().any(|s| s.upstream == *upstream);
        let attempts = self.by_attempt.iter().filter(|(_, group)| includes(group));
        attempts.map(|(attempt, _)| *attempt).collect()
    }
}

impl Owner {
    /// Reserves a group for a request, all or nothing, and starts its prefill. Returns whether a
    /// group was formed.
    pub(super) fn try_group(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        entry: &Member,
        request: &GrantRequest,
        required: Requirements,
    ) -> bool {
        if self.groups.by_attempt.len() >= MAX_GROUPS {
            return false;
        }
        let Some(segments) = self.segments(ctx.now, view, request, required) else {
            return false;
        };
        let attempt = request.attempt;
        let deadline = ctx.now + request.remaining_ms;
        for segment in &segments {
            self.reserve_segment(ctx.now, entry, request, required, segment);
        }
        if let Some(last) = segments.last() {
            self.granted.insert(attempt, last.upstream.clone());
        }
        let group = Group {
            entry: entry.clone(),
            request: request.clone(),
            required,
            orders: orders_of(view, attempt, &segments),
            segments,
            is_granted: false,
            deadline,
        };
        self.groups.by_attempt.insert(attempt, group);
        let end = deadline + self.settings.lapse_slack_ms;
        self.timers.set(end, Timer::Group(attempt));
        self.next_order(ctx, view, attempt);
        true
    }

    fn reserve_segment(
        &mut self,
        now: Time,
        entry: &Member,
        request: &GrantRequest,
        required: Requirements,
        segment: &Segment,
    ) {
        let Some(account) = self.accounts.get_mut(&segment.upstream) else {
            return;
        };
        let expected_first = now + account.prefill_estimate(required.prompt_tokens);
        let expected_end = expected_first + account.run_estimate(required.output_tokens);
        let offer = account.offer(segment.upstream.clone(), PriorityLevel::Huge);
        let active = ActiveGrant {
            entry: entry.clone(),
            model: request.model.clone(),
            level: PriorityLevel::Huge,
            kv_bytes: segment.kv_bytes,
            prefill_ms: Millis::ZERO,
            max_output_tokens: required.max_output_tokens,
            offer,
            expected_first,
            expected_end,
            state: GrantState::Running,
        };
        account.add_grant(request.attempt, active);
    }

    /// Sends a group's next order, or grants the request to its last member.
    fn next_order(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: AttemptId) {
        let Some(group) = self.groups.by_attempt.get_mut(&attempt) else {
            return;
        };
        let Some((upstream, kind)) = group.orders.pop_front() else {
            return self.grant_group(ctx, view, attempt);
        };
        let Some(account) = self.accounts.get_mut(&upstream) else {
            return self.end_group(ctx, view, attempt);
        };
        if let OrderKind::PrefillSegment {
            from_tokens,
            to_tokens,
            ..
        } = &kind
        {
            let span = account.prefill_estimate(to_tokens.saturating_sub(*from_tokens));
            account.backlog.add(ctx.now, PriorityLevel::Huge, span);
        }
        let token = ctx.token(Component::Grant);
        self.groups.tokens.insert(token, attempt);
        ctx.act(Action::Order(Box::new(Order {
            token,
            upstream,
            address: account.config.address,
            fencing: account.fencing,
            kind,
        })));
    }

    /// Continues or ends the group that an answered order belongs to. Returns whether the order
    /// belongs to a group.
    pub(super) fn on_group_order(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        done: bool,
    ) -> bool {
        let Some(attempt) = self.groups.tokens.remove(&token) else {
            return false;
        };
        if done {
            self.next_order(ctx, view, attempt);
        } else {
            self.end_group(ctx, view, attempt);
        }
        true
    }

    fn grant_group(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: AttemptId) {
        let Some(group) = self.groups.by_attempt.get_mut(&attempt) else {
            return;
        };
        group.is_granted = true;
        let (entry, mut request) = (group.entry.clone(), group.request.clone());
        request.remaining_ms = group.deadline.since(ctx.now);
        let Some(last) = group.segments.last().cloned() else {
            return;
        };
        let unfilled_tokens = last.to_tokens.saturating_sub(last.from_tokens);
        let required = Requirements {
            kv_bytes: last.kv_bytes,
            prompt_tokens: unfilled_tokens,
            ..group.required
        };
        let Some(account) = self.accounts.get(&last.upstream) else {
            return;
        };
        let choice = Choice {
            predicted_ms: account.first_token_estimate(
                ctx.now,
                PriorityLevel::Huge,
                unfilled_tokens,
            ),
            run_ms: account.run_estimate(required.output_tokens),
            upstream: last.upstream,
            runner_up: None,
            required,
        };
        let offer = self.grant(ctx, &entry, &request, choice);
        Self::answer(ctx, view, &entry, attempt, GrantAnswer::Granted(offer));
    }

    /// Ends a group and cancels the request at its members, to free their memory. If the request
    /// was not granted yet, denies it; if it was, its last member is released with the grant.
    pub(super) fn end_group(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: AttemptId) {
        let Some(group) = self.groups.by_attempt.remove(&attempt) else {
            return;
        };
        self.groups.tokens.retain(|_, of| *of != attempt);
        let last_index = group.segments.len() - 1;
        for (index, segment) in group.segments.iter().enumerate() {
            if index < last_index || !group.is_granted {
                self.cancel(ctx, &segment.upstream, attempt);
            }
        }
        if !group.is_granted {
            let denial = self.busy_denial(ctx.now, view, Lane::Long, self.settings.cancel_retry_ms);
            Self::answer(
                ctx,
                view,
                &group.entry,
                attempt,
                GrantAnswer::Denied(denial),
            );
        }
    }

    /// Ends the groups of an engine that has restarted or is no longer owned, because their segment
    /// there is lost.
    pub(super) fn end_groups_of(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
    ) {
        for attempt in self.groups.with_member(upstream) {
            if !self.groups.is_forming(&attempt) {
                if let Some(last) = self.granted.get(&attempt).cloned() {
                    self.revoke(ctx, view, &last, &attempt);
                }
            }
            self.end_group(ctx, view, attempt);
        }
    }
}
