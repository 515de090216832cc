//! The owner of upstreams: handles events and dispatches grant messages.

use super::{
    account::{GrantState, UpstreamAccount},
    estimates::OutputLengths,
    group::Groups,
    long_prompt_engines::{Demand, LongPromptEngines},
    queue::{Lane, Queue},
    settings::GrantSettings,
    timers::{Timer, Timers},
};
use crate::{
    config::{UpstreamConfig, UpstreamKind},
    context::{Context, View},
    ids::{AttemptId, RequestId, UpstreamId, VmId},
    message::{GrantAnswer, GrantMessage, HeldGrant, Member, PeerMessage},
    ownership::OwnershipChange,
    platform::CallToken,
    request::UpstreamError,
    units::Time,
    upstream::{CacheBatch, LoadReport},
};
use std::collections::{BTreeMap, BTreeSet};

/// Grants calls to the upstreams that this daemon owns: one account for each upstream, and a
/// common queue.
#[derive(Clone, Debug)]
pub struct Owner {
    pub(super) settings: GrantSettings,
    pub(super) accounts: BTreeMap<UpstreamId, UpstreamAccount>,
    pub(super) granted: BTreeMap<AttemptId, UpstreamId>,
    pub(super) queue: Queue,
    pub(super) cancels: BTreeMap<CallToken, (UpstreamId, AttemptId)>,
    pub(super) orphan_cancels: BTreeMap<CallToken, (UpstreamId, RequestId)>,
    pub(super) timers: Timers,
    pub(super) leaving: bool,
    pub(super) grants_count: u64,
    pub(super) demand: [Demand; Lane::ALL.len()],
    pub(super) long_prompt_engines: LongPromptEngines,
    pub(super) output_lengths: OutputLengths,
    pub(super) groups: Groups,
    pub(super) finished: BTreeSet<AttemptId>,
}

impl Owner {
    /// Creates an owner without upstreams.
    pub fn new(settings: GrantSettings) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
            granted: BTreeMap::new(),
            queue: Queue::default(),
            cancels: BTreeMap::new(),
            orphan_cancels: BTreeMap::new(),
            timers: Timers::default(),
            leaving: false,
            grants_count: 0,
            demand: Default::default(),
            long_prompt_engines: LongPromptEngines::default(),
            output_lengths: OutputLengths::default(),
            groups: Groups::default(),
            finished: BTreeSet::new(),
        }
    }

    /// Applies a new configuration generation.
    pub fn on_config(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let owned: Vec<UpstreamId> = self.accounts.keys().cloned().collect();
        for upstream in owned {
            match view.config.upstreams.get(&upstream) {
                Some(config) => self.refresh_account(ctx, view, &upstream, config),
                None => {
                    self.remove_account(&upstream);
                    self.end_groups_of(ctx, view, &upstream);
                }
            }
        }
        self.long_prompt_engines.rebuild_order(view);
        self.refresh_long_prompt_engines(ctx.now, view);
        self.recheck_waiting(ctx, view);
        self.grant_waiting(ctx, view);
    }

    fn refresh_account(
        &mut self,
        ctx: &Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        config: &UpstreamConfig,
    ) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        account.limit_requests = limit_of(view, config);
        account.config = config.clone();
        if view.config.serves_upstream(upstream) {
            if account.drained_since.take().is_some() {
                account.slow_start.reset(ctx.now);
            }
        } else if account.drained_since.is_none() {
            account.drained_since = Some(ctx.now);
            let end = ctx.now + self.settings.drain_grace_ms;
            self.timers.set(end, Timer::Drain(upstream.clone()));
        }
    }

    /// Handles the gain or loss of an upstream.
    pub fn on_ownership(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        change: &OwnershipChange,
    ) {
        match change {
            OwnershipChange::Gained {
                upstream,
                fencing,
                learning_until,
            } => {
                let Some(config) = view.config.upstreams.get(upstream) else {
                    return;
                };
                let limit_requests = limit_of(view, config);
                let start = self.settings.ramp_start_requests;
                let new_account = || {
                    UpstreamAccount::new(
                        config.clone(),
                        limit_requests,
                        *fencing,
                        *learning_until,
                        start,
                    )
                };
                let account = self
                    .accounts
                    .entry(upstream.clone())
                    .or_insert_with(new_account);
                account.fencing = *fencing;
                self.refresh_account(ctx, view, upstream, config);
                self.start_collecting(ctx, view, upstream, *learning_until);
                self.timers.replace(ctx.now, Timer::Poll(upstream.clone()));
                let cache = Timer::PollCache(upstream.clone());
                self.timers.replace(ctx.now, cache);
                self.timers.replace(ctx.now, Timer::LongPromptEngines);
                self.long_prompt_engines.rebuild_order(view);
                self.refresh_long_prompt_engines(ctx.now, view);
            }
            OwnershipChange::Lost { upstream } => {
                self.remove_account(upstream);
                self.end_groups_of(ctx, view, upstream);
                self.recheck_waiting(ctx, view);
            }
        }
    }

    fn start_collecting(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        end: Time,
    ) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        account.learning_until = end;
        self.timers.set(end, Timer::Learning(upstream.clone()));
        for domain in view.config.domains.keys() {
            for member in view.directory.live_in(domain) {
                self.collect(ctx, view, upstream, member);
            }
        }
    }

    /// Asks an entry daemon for its outstanding grants at an upstream.
    pub(super) fn collect(
        &self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        from: &Member,
    ) {
        let Some(account) = self.accounts.get(upstream) else {
            return;
        };
        let message = GrantMessage::Collect {
            upstreams: vec![upstream.clone()],
            fencing: account.fencing,
        };
        view.send(ctx, &from.vm, PeerMessage::Grant(message));
    }

    fn remove_account(&mut self, upstream: &UpstreamId) {
        self.accounts.remove(upstream);
        self.granted.retain(|_, at| at != upstream);
        self.cancels.retain(|_, (at, _)| at != upstream);
        self.orphan_cancels.retain(|_, (at, _)| at != upstream);
    }

    /// Handles a pause of the process: grants less until outstanding grants are known again,
    /// because this view of them may be outdated.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        let end = ctx.now + self.settings.learning_ms;
        for (upstream, account) in &mut self.accounts {
            account.learning_until = account.learning_until.max(end);
            self.timers.set(end, Timer::Learning(upstream.clone()));
        }
    }

    /// Handles a grant message of an entry daemon.
    pub fn on_message(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: GrantMessage,
    ) {
        match message {
            GrantMessage::Request(request) => self.on_request(ctx, view, from, *request),
            GrantMessage::Withdraw { attempt } => {
                self.queue.remove(&attempt);
                if self.groups.is_forming(&attempt) {
                    self.end_group(ctx, view, attempt);
                } else {
                    self.finish(ctx.now, attempt);
                }
                self.grant_waiting(ctx, view);
            }
            GrantMessage::Release { attempt, end, .. } => {
                self.on_release(ctx, view, attempt, &end);
            }
            GrantMessage::Held { grants, .. } => {
                for grant in grants {
                    self.restore_held_grant(ctx, from, grant);
                }
            }
            GrantMessage::Answer { .. }
            | GrantMessage::Collect { .. }
            | GrantMessage::Revoke { .. } => {}
        }
    }

    fn restore_held_grant(&mut self, ctx: &Context<'_>, from: &Member, grant: HeldGrant) {
        let known =
            self.finished.contains(&grant.attempt) || self.granted.contains_key(&grant.attempt);
        let Some(account) = self.accounts.get_mut(&grant.upstream) else {
            return;
        };
        if known {
            return;
        }
        let (attempt, upstream) = (grant.attempt, grant.upstream.clone());
        let lease_end = ctx.now + grant.remaining_ms + self.settings.lapse_slack_ms;
        account.restore_grant(ctx.now, from, grant);
        account.slow_start.raise_to(account.in_flight());
        self.granted.insert(attempt, upstream.clone());
        self.timers
            .set(lease_end, Timer::LeaseExpiry(upstream, attempt));
    }

    /// Handles an upstream's answer to a load poll, or its failure.
    pub fn on_load(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        answer: Result<&LoadReport, UpstreamError>,
    ) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        let report = match answer {
            Ok(report) => report,
            // The poll was not sent, so its failure says nothing about the upstream.
            Err(UpstreamError::NotRun { .. }) => return,
            Err(_) => return account.breaker.on_poll(false),
        };
        account.breaker.on_poll(true);
        let restarted = account
            .incarnation()
            .is_some_and(|i| i != report.incarnation);
        let first = account.report.is_none();
        account.report = Some(report.clone());
        if first {
            account.slow_start.raise_to(report.in_flight_requests);
        }
        if restarted {
            account.on_restart(ctx.now);
        }
        if let Some(bearable) = report.bearable_requests {
            account
                .slow_start
                .on_reported_limit(bearable, ctx.now - report.age_ms);
        }
        if restarted {
            self.resend_cancels(ctx, upstream);
            self.end_groups_of(ctx, view, upstream);
        }
        self.cancel_orphans(ctx, upstream);
        self.grant_waiting(ctx, view);
    }

    /// Applies cache events of an engine.
    pub fn on_cache(
        &mut self,
        _ctx: &mut Context<'_>,
        _view: &View<'_>,
        upstream: &UpstreamId,
        batch: CacheBatch,
    ) {
        if let Some(account) = self.accounts.get_mut(upstream) {
            account.cache.apply(&batch);
        }
    }

    /// Stops granting, because the daemon leaves.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The VMs whose entry daemons hold a grant from this owner or wait for one.
    pub fn vms_with_requests(&self) -> BTreeSet<VmId> {
        let active_grants = self
            .accounts
            .values()
            .flat_map(UpstreamAccount::active_grants);
        let held = active_grants.map(|(_, active)| active.entry.vm.clone());
        let waiting = self.queue.iter().map(|w| w.entry.vm.clone());
        held.chain(waiting).collect()
    }

    pub(super) fn is_running(&self, upstream: &UpstreamId, attempt: &AttemptId) -> bool {
        let account = self.accounts.get(upstream);
        let active = account.and_then(|account| account.active_grant(attempt));
        active.is_some_and(|active| active.state == GrantState::Running)
    }

    pub(super) fn is_finished(&self, attempt: &AttemptId) -> bool {
        self.finished.contains(attempt)
    }

    /// Releases an attempt's slot and memory, and remembers for `finished_ms` that it has ended, so
    /// that a late copy of its request is not granted.
    pub(super) fn finish(&mut self, now: Time, attempt: AttemptId) {
        if let Some(upstream) = self.granted.get(&attempt).cloned() {
            self.release_at(now, &upstream, attempt);
        }
        if self.finished.insert(attempt) {
            let end = now + self.settings.finished_ms;
            self.timers.set(end, Timer::Finished(attempt));
        }
    }

    /// Releases an attempt's slot and memory at one upstream.
    pub(super) fn release_at(&mut self, now: Time, upstream: &UpstreamId, attempt: AttemptId) {
        if let Some(account) = self.accounts.get_mut(upstream) {
            account.remove_grant(now, &attempt);
        }
        if self.granted.get(&attempt) == Some(upstream) {
            self.granted.remove(&attempt);
        }
    }

    pub(super) fn answer(
        ctx: &mut Context<'_>,
        view: &View<'_>,
        to: &Member,
        attempt: AttemptId,
        answer: GrantAnswer,
    ) {
        let message = GrantMessage::Answer { attempt, answer };
        view.send(ctx, &to.vm, PeerMessage::Grant(message));
    }
}

fn limit_of(view: &View<'_>, config: &UpstreamConfig) -> u32 {
    match &config.kind {
        UpstreamKind::Engine(engine) => engine.max_in_flight_requests,
        UpstreamKind::Service(name) => {
            let service = view.config.services.get(name);
            service.map_or(0, |service| service.max_in_flight_requests)
        }
    }
}
