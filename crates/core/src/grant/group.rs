//! Groups of engines for prompts that no engine holds alone.
//!
//! All members belong to one owner, so that it reserves their memory in one step, all or nothing,
//! and no two owners wait for each other. Each member but the last prefills one segment and keeps
//! its KV; every member imports the segments before its own; the last one answers.

use super::{
    choose::Choice,
    fit::Need,
    ledger::{HoldState, Holding},
    level::Level,
    owner::Owner,
    timers::Timer,
    waiting::Lane,
};
use crate::{
    action::Action,
    config::{EngineConfig, UpstreamKind},
    context::{Context, View},
    ids::{AttemptId, UpstreamId, VmId},
    message::{GrantAnswer, GrantOffer, GrantRequest, Member},
    platform::{CallToken, Part},
    units::{KvBytes, Millis, Time, Tokens},
    upstream::{Order, OrderKind},
};
use std::collections::{BTreeMap, VecDeque};

/// Groups that an owner forms at a time.
const GROUPS_COUNT: usize = 1;

/// One member's share of a prompt.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    upstream: UpstreamId,
    from_tokens: Tokens,
    to_tokens: Tokens,
    kv_bytes: KvBytes,
}

/// A group from its reservation to its end.
#[derive(Clone, Debug)]
pub(super) struct Group {
    entry: Member,
    request: GrantRequest,
    need: Need,
    segments: Vec<Segment>,
    orders: VecDeque<(UpstreamId, OrderKind)>,
    answered: bool,
    deadline: Time,
}

/// The groups of an owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    by_attempt: BTreeMap<AttemptId, Group>,
    tokens: BTreeMap<CallToken, AttemptId>,
}

impl Groups {
    /// Whether a request's group is being prefilled.
    pub(super) fn is_forming(&self, attempt: &AttemptId) -> bool {
        self.by_attempt
            .get(attempt)
            .is_some_and(|group| !group.answered)
    }

    /// Whether a request has a group.
    pub(super) fn contains(&self, attempt: &AttemptId) -> bool {
        self.by_attempt.contains_key(attempt)
    }

    /// The groups of some entry daemons.
    pub(super) fn of_entries(&self, wanted: impl Fn(&Member) -> bool) -> Vec<AttemptId> {
        let found = self
            .by_attempt
            .iter()
            .filter(|(_, group)| wanted(&group.entry));
        found.map(|(attempt, _)| *attempt).collect()
    }

    /// The groups that have a member.
    fn with_member(&self, upstream: &UpstreamId) -> Vec<AttemptId> {
        let has = |group: &Group| group.segments.iter().any(|s| s.upstream == *upstream);
        let found = self.by_attempt.iter().filter(|(_, group)| has(group));
        found.map(|(attempt, _)| *attempt).collect()
    }
}

/// Most members of a group among so many engines: one is left to others where it can be.
fn most_members(engines_count: usize) -> usize {
    engines_count.saturating_sub(1).max(2).min(engines_count)
}

/// Tokens that the largest group of engines of these sizes holds.
pub(super) fn group_tokens(mut held: Vec<u64>) -> Tokens {
    held.sort_unstable_by(|a, b| b.cmp(a));
    let members = most_members(held.len());
    Tokens::new(held.into_iter().take(members).sum())
}

impl Owner {
    /// Reserves a group for a request, all or nothing, and starts its prefill.
    pub(super) fn try_group(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        entry: &Member,
        request: &GrantRequest,
        need: Need,
    ) -> bool {
        if self.groups.by_attempt.len() >= GROUPS_COUNT {
            return false;
        }
        let Some(segments) = self.segments(ctx.now, view, request, need) else {
            return false;
        };
        let attempt = request.attempt;
        let deadline = ctx.now + request.remaining_ms;
        for segment in &segments {
            self.hold_segment(ctx.now, entry, request, need, segment);
        }
        if let Some(last) = segments.last() {
            self.granted.insert(attempt, last.upstream.clone());
        }
        let group = Group {
            entry: entry.clone(),
            request: request.clone(),
            need,
            orders: orders_of(view, attempt, &segments),
            segments,
            answered: false,
            deadline,
        };
        self.groups.by_attempt.insert(attempt, group);
        let end = deadline + self.settings.lapse_slack_ms;
        self.timers.set(end, Timer::Group(attempt));
        self.next_order(ctx, view, attempt);
        true
    }

    /// The fewest members with free memory for the whole prompt and answer, in the order of names.
    fn segments(
        &self,
        now: Time,
        view: &View<'_>,
        request: &GrantRequest,
        need: Need,
    ) -> Option<Vec<Segment>> {
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token;
        let engines = self.groupable(request);
        let most = most_members(engines.len());
        let mut free: Vec<(u64, UpstreamId)> = Vec::new();
        for upstream in engines {
            let ledger = self.ledgers.get(&upstream)?;
            let percent = self.settings.learning_percent;
            if ledger.busy(now) < ledger.allowed(now, percent) {
                let bytes = ledger.kv_free_for(now, &request.attempt).get();
                free.push((bytes / per_token.get().max(1), upstream));
            }
        }
        free.sort_unstable_by(|a, b| b.cmp(a));
        let whole = need.prompt_tokens.get() + need.max_output_tokens.get();
        let mut members: Vec<(u64, UpstreamId)> = Vec::new();
        while members.iter().map(|(tokens, _)| tokens).sum::<u64>() < whole {
            members.push(free.get(members.len()).cloned()?);
        }
        if members.len() > most {
            return None;
        }
        members.sort_unstable_by(|a, b| a.1.cmp(&b.1));
        Some(cut(&members, need, per_token))
    }

    /// The owned engines that hold the model and can join a group.
    pub(super) fn groupable(&self, request: &GrantRequest) -> Vec<UpstreamId> {
        let fits = self.ledgers.iter().filter(|(id, ledger)| {
            ledger.can_group()
                && ledger.has_model(request)
                && ledger.drained_since.is_none()
                && !request.avoid.contains(id)
        });
        fits.map(|(id, _)| id.clone()).collect()
    }

    fn hold_segment(
        &mut self,
        now: Time,
        entry: &Member,
        request: &GrantRequest,
        need: Need,
        segment: &Segment,
    ) {
        let Some(ledger) = self.ledgers.get_mut(&segment.upstream) else {
            return;
        };
        let expected_first = now + ledger.prefill_span(need.prompt_tokens);
        let expected_end = expected_first + ledger.run_span(need.output_tokens);
        let offer = GrantOffer {
            upstream: segment.upstream.clone(),
            address: ledger.config.address,
            fencing: ledger.fencing,
            priority: Level::Huge.priority(),
            predicted_ms: Millis::ZERO,
            runner_up: None,
            cached_tokens: Tokens::ZERO,
            resume: false,
        };
        let holding = Holding {
            entry: entry.clone(),
            model: request.model.clone(),
            level: Level::Huge,
            kv_bytes: segment.kv_bytes,
            prefill_ms: Millis::ZERO,
            max_output_tokens: need.max_output_tokens,
            offer,
            expected_first,
            expected_end,
            state: HoldState::Running,
        };
        ledger.hold(request.attempt, holding);
    }

    /// Sends a group's next order, or grants the request to its last member.
    fn next_order(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: AttemptId) {
        let Some(group) = self.groups.by_attempt.get_mut(&attempt) else {
            return;
        };
        let Some((upstream, kind)) = group.orders.pop_front() else {
            return self.grant_group(ctx, view, attempt);
        };
        let Some(ledger) = self.ledgers.get_mut(&upstream) else {
            return self.end_group(ctx, view, attempt);
        };
        if let OrderKind::PrefillSegment {
            from_tokens,
            to_tokens,
            ..
        } = &kind
        {
            let span = ledger.prefill_span(to_tokens.saturating_sub(*from_tokens));
            ledger.backlog.add(ctx.now, Level::Huge, span);
        }
        let token = ctx.token(Part::Grant);
        self.groups.tokens.insert(token, attempt);
        ctx.act(Action::Order(Box::new(Order {
            token,
            upstream,
            address: ledger.config.address,
            fencing: ledger.fencing,
            kind,
        })));
    }

    /// Whether an answered order was a group's.
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
        group.answered = true;
        let (entry, mut request) = (group.entry.clone(), group.request.clone());
        request.remaining_ms = group.deadline.since(ctx.now);
        let Some(last) = group.segments.last().cloned() else {
            return;
        };
        let left = last.to_tokens.saturating_sub(last.from_tokens);
        let need = Need {
            kv_bytes: last.kv_bytes,
            prompt_tokens: left,
            ..group.need
        };
        let Some(ledger) = self.ledgers.get(&last.upstream) else {
            return;
        };
        let choice = Choice {
            predicted_ms: ledger.first_token_span(ctx.now, Level::Huge, left),
            run_ms: ledger.run_span(need.output_tokens),
            upstream: last.upstream,
            runner_up: None,
            need,
        };
        let offer = self.grant(ctx, &entry, &request, choice);
        Self::answer(ctx, view, &entry, attempt, GrantAnswer::Granted(offer));
    }

    /// Ends a group: every member gives its memory back. One that was forming is denied.
    pub(super) fn end_group(&mut self, ctx: &mut Context<'_>, view: &View<'_>, attempt: AttemptId) {
        let Some(group) = self.groups.by_attempt.remove(&attempt) else {
            return;
        };
        self.groups.tokens.retain(|_, of| *of != attempt);
        let last_index = group.segments.len() - 1;
        for (index, segment) in group.segments.iter().enumerate() {
            if index < last_index || !group.answered {
                self.cancel(ctx, &segment.upstream, attempt);
            }
        }
        if !group.answered {
            let denial = self.busy(ctx.now, view, Lane::Long, self.settings.cancel_retry_ms);
            Self::answer(
                ctx,
                view,
                &group.entry,
                attempt,
                GrantAnswer::Denied(denial),
            );
        }
    }

    /// An engine restarted or is owned no more: its groups have lost a segment.
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

    /// Another owner of the domain whose engines hold a prompt as a group.
    pub(super) fn better_for_group(&self, view: &View<'_>, request: &GrantRequest) -> Option<VmId> {
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token.get().max(1);
        let whole = super::fit::whole_tokens(request);
        let mut held: BTreeMap<&VmId, Vec<u64>> = BTreeMap::new();
        for (id, config) in &view.config.upstreams {
            let owner = view.directory.owner_of(id).filter(|vm| **vm != view.me.vm);
            if let (Some(owner), Some(engine)) = (owner, grouping(&config.kind)) {
                let engines = held.entry(owner).or_default();
                engines.push(engine.kv_bytes.get() / per_token);
            }
        }
        let large = held
            .into_iter()
            .find(|(_, held)| group_tokens(held.clone()) >= whole);
        large.map(|(owner, _)| owner.clone())
    }
}

fn grouping(kind: &UpstreamKind) -> Option<&EngineConfig> {
    match kind {
        UpstreamKind::Engine(engine) if engine.can_group => Some(engine),
        _ => None,
    }
}

/// Cuts a prompt into one segment a member; the last also takes the answer.
fn cut(members: &[(u64, UpstreamId)], need: Need, per_token: KvBytes) -> Vec<Segment> {
    let mut segments = Vec::new();
    let (prompt, output) = (need.prompt_tokens.get(), need.max_output_tokens.get());
    let free: u64 = members.iter().map(|(tokens, _)| tokens).sum();
    let mut spare = free - prompt - output;
    let mut from = 0;
    for (index, (tokens, upstream)) in members.iter().enumerate() {
        let last = index + 1 == members.len();
        let kept = if last { output } else { 0 };
        let unused = spare.min(tokens.saturating_sub(kept + 1));
        spare -= unused;
        let to = if last {
            prompt
        } else {
            (from + tokens - unused).min(prompt)
        };
        segments.push(Segment {
            upstream: upstream.clone(),
            from_tokens: Tokens::new(from),
            to_tokens: Tokens::new(to),
            kv_bytes: Tokens::new(to - from + kept).kv(per_token),
        });
        from = to;
    }
    segments
}

/// A group's orders: each member imports the segments before its own and prefills its own; the
/// last one prefills when the request comes.
fn orders_of(
    view: &View<'_>,
    attempt: AttemptId,
    segments: &[Segment],
) -> VecDeque<(UpstreamId, OrderKind)> {
    let mut orders = VecDeque::new();
    for (index, segment) in segments.iter().enumerate() {
        for earlier in &segments[..index] {
            let Some(source) = view.config.upstreams.get(&earlier.upstream) else {
                continue;
            };
            let kind = OrderKind::ImportKv {
                request: attempt.request,
                source: source.address,
                from_tokens: earlier.from_tokens,
                to_tokens: earlier.to_tokens,
            };
            orders.push_back((segment.upstream.clone(), kind));
        }
        if index + 1 < segments.len() {
            let kind = OrderKind::PrefillSegment {
                request: attempt.request,
                from_tokens: segment.from_tokens,
                to_tokens: segment.to_tokens,
            };
            orders.push_back((segment.upstream.clone(), kind));
        }
    }
    orders
}
