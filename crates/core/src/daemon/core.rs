//! The daemon's core.

use super::{
    known::{Known, Peers},
    strangers::Strangers,
    DaemonSettings,
};
use crate::{
    action::Action,
    config::ConfigStore,
    context::Context,
    entry::Entry,
    event::Event,
    grant::Owner,
    ids::{Incarnation, UpstreamId, VmId},
    membership::{LocalState, Membership},
    message::{GrantMessage, Heartbeat, Member, PeerMessage},
    operator::OperatorCommand,
    ownership::Ownership,
    placement::Placement,
    plan::Planner,
    platform::{CallToken, Part, PlatformError, TableAnswer},
    request::UpstreamError,
    routing,
    units::{Millis, Time},
    upstream::LoadReport,
};
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::collections::{BTreeSet, VecDeque};

/// Longest time between two ticks.
const TICK_MS: Millis = Millis::new(200);

/// A longer time between two events means that the process was paused.
const PAUSE_MS: Millis = Millis::new(1_000);

/// Time after the last request for the announcement of leaving to spread.
const LINGER_MS: Millis = Millis::new(500);

/// One daemon's core: events go in, actions come out.
#[derive(Debug)]
pub struct Daemon {
    pub(super) known: Known,
    pub(super) owner: Owner,
    pub(super) entry: Entry,
    pub(super) planner: Planner,
    placement: Placement,
    strangers: Strangers,
    local: LocalState,
    watched: BTreeSet<VmId>,
    rng: ChaCha8Rng,
    last_token: u64,
    last_event: Time,
    last_tick: Time,
    pub(super) readiness: Option<(bool, Vec<String>)>,
    shutdown: Option<Shutdown>,
    shutdown_grace_ms: Millis,
}

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    deadline: Time,
    idle_since: Option<Time>,
}

impl Daemon {
    /// A daemon that has heard nothing yet.
    pub fn new(settings: DaemonSettings) -> Self {
        let DaemonSettings { me, seeds, seed, parts, shutdown_grace_ms } = settings;
        let router = routing::router(&parts.routing);
        let membership = Membership::new(me.clone(), parts.membership, seeds);
        let ownership = Ownership::new(parts.ownership, me.clone());
        let config = ConfigStore::new(parts.config);
        Self {
            owner: Owner::new(parts.grant),
            entry: Entry::new(parts.entry, router, &me),
            planner: Planner::new(parts.plan),
            placement: Placement::new(parts.placement),
            strangers: Strangers::default(),
            local: LocalState::default(),
            watched: BTreeSet::new(),
            known: Known { me, peers: Peers { membership, ownership }, config },
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_token: 0,
            last_event: Time::START,
            last_tick: Time::START,
            readiness: None,
            shutdown: None,
            shutdown_grace_ms,
        }
    }

    /// Takes an event in and adds the actions that it brings about.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let mut rng = self.rng.clone();
        let mut last_token = self.last_token;
        let first = actions.len();
        let mut ctx = Context { now, rng: &mut rng, actions, last_token: &mut last_token };
        self.notice_pause(&mut ctx);
        self.dispatch(&mut ctx, event);
        self.settle(&mut ctx, first);
        self.rng = rng;
        self.last_token = last_token;
    }

    /// When the next `Tick` is due.
    pub fn next_wakeup(&self) -> Time {
        let parts = [
            self.known.peers.membership.next_wakeup(),
            self.known.peers.ownership.next_wakeup(),
            self.known.config.next_wakeup(),
            self.owner.next_wakeup(),
            self.entry.next_wakeup(),
            self.planner.next_wakeup(),
            self.placement.next_wakeup(),
        ];
        let tick = self.last_tick + TICK_MS;
        parts.into_iter().flatten().fold(tick, Time::min)
    }

    fn notice_pause(&mut self, ctx: &mut Context<'_>) {
        let gap_ms = ctx.now.since(self.last_event);
        self.last_event = ctx.now;
        if gap_ms <= PAUSE_MS {
            return;
        }
        self.known.peers.membership.on_paused(ctx);
        self.known.peers.ownership.on_paused(ctx);
        self.owner.on_paused(ctx);
    }

    fn dispatch(&mut self, ctx: &mut Context<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(ctx),
            Event::Shutdown => self.start_shutdown(ctx),
            Event::Peer { from, incarnation, message } => {
                self.on_peer(ctx, from, incarnation, message);
            }
            Event::Platform { token, answer } => self.on_platform(ctx, token, answer),
            Event::Vms { answer } => self.known.peers.membership.on_vms(ctx, answer),
            Event::OrderAnswered { upstream, token, answer } => {
                self.on_order(ctx, &upstream, token, answer);
            }
            Event::Load { upstream, answer } => {
                self.on_load(ctx, &upstream, answer.as_deref().map_err(Clone::clone));
            }
            Event::Cache { upstream, batch } => {
                self.owner.on_cache(ctx, &self.known.view(), &upstream, batch);
            }
            Event::Operator { call, operator, command, unix_ms } => match command {
                OperatorCommand::Status
                | OperatorCommand::Fleet
                | OperatorCommand::ConfigShow
                | OperatorCommand::ConfigHistory => self.report(ctx, call, &command),
                command => self.plan(ctx, call, operator, command, unix_ms),
            },
            event => self.on_request_event(ctx, event),
        }
    }

    fn on_request_event(&mut self, ctx: &mut Context<'_>, event: Event) {
        let view = self.known.view();
        match event {
            Event::Request(spec) => self.entry.on_request(ctx, &view, *spec),
            Event::CallerGone { request } => self.entry.on_caller_gone(ctx, &view, request),
            Event::TicketWanted { request } => self.entry.on_ticket_wanted(ctx, &view, request),
            Event::Progress { attempt, delivered_tokens } => {
                self.entry.on_progress(ctx, &view, attempt, delivered_tokens);
            }
            Event::AttemptEnded { attempt, end } => {
                self.entry.on_attempt_ended(ctx, &view, attempt, end);
            }
            Event::PeerUnreachable { vm } => {
                self.entry.on_unreachable(ctx, &view, &vm);
                self.known.peers.membership.on_unreachable(ctx, &vm);
            }
            _ => {}
        }
    }

    fn tick(&mut self, ctx: &mut Context<'_>) {
        let due = |wakeup: Option<Time>| wakeup.is_some_and(|at| at <= ctx.now);
        let periodic = ctx.now.since(self.last_tick) >= TICK_MS;
        if periodic {
            self.last_tick = ctx.now;
            self.strangers.expire(ctx.now);
            self.refresh_local(ctx.now);
            self.watch();
        }
        if periodic || due(self.known.peers.membership.next_wakeup()) {
            self.known.peers.membership.on_tick(ctx, &self.local);
        }
        if periodic || due(self.known.peers.ownership.next_wakeup()) {
            self.known.refresh_ownership(ctx);
        }
        if due(self.known.config.next_wakeup()) {
            let Known { me, peers, config } = &mut self.known;
            config.on_tick(ctx, me, peers);
        }
        let view = self.known.view();
        if due(self.owner.next_wakeup()) {
            self.owner.on_tick(ctx, &view);
        }
        if due(self.entry.next_wakeup()) {
            self.entry.on_tick(ctx, &view);
        }
        if due(self.placement.next_wakeup()) {
            self.placement.on_tick(ctx, &view);
        }
        if periodic || due(self.planner.next_wakeup()) {
            let members = self.known.peers.membership.members();
            self.planner.on_tick(ctx, &view, &members);
        }
        self.advance_shutdown(ctx);
    }

    fn refresh_local(&mut self, now: Time) {
        let view = self.known.view();
        self.local.generation = view.config.generation;
        self.local.summary = self.owner.summary(now, &view);
        self.local.leaving = self.shutdown.is_some();
    }

    /// Peers that share grants with this daemon must be heard directly.
    fn watch(&mut self) {
        self.watched = self.owner.peers();
        self.watched.append(&mut self.entry.peers());
        self.watched.remove(&self.known.me.vm);
        self.known.peers.membership.watch(self.watched.clone());
    }

    fn on_peer(
        &mut self,
        ctx: &mut Context<'_>,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        if let PeerMessage::Heartbeat(heartbeat) = message {
            return self.on_heartbeat(ctx, from, heartbeat);
        }
        self.known.peers.membership.on_traffic(ctx.now, &from, incarnation);
        let member = self.known.peers.membership.sender(&from, incarnation).cloned();
        match member {
            Some(member) => self.on_message(ctx, &member, message),
            None => self.strangers.hold(ctx.now, from, incarnation, message),
        }
    }

    fn on_heartbeat(
        &mut self,
        ctx: &mut Context<'_>,
        from: VmId,
        heartbeat: Heartbeat,
    ) {
        if heartbeat.member.vm != from {
            return;
        }
        let (member, generation) = (heartbeat.member.clone(), heartbeat.generation);
        self.known.peers.membership.on_heartbeat(ctx, heartbeat, &self.local);
        self.known.with_config(|config, view| config.on_heard(ctx, view, &member, generation));
        for (incarnation, message) in self.strangers.take(&from) {
            if incarnation == member.incarnation {
                self.on_message(ctx, &member, message);
            }
        }
    }

    fn on_message(&mut self, ctx: &mut Context<'_>, from: &Member, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(_) => {}
            PeerMessage::Grant(message) => self.on_grant(ctx, from, message),
            PeerMessage::Config(message) => {
                self.known.with_config(|config, view| config.on_message(ctx, view, from, message));
            }
            PeerMessage::Ticket(message) => {
                self.entry.on_ticket(ctx, &self.known.view(), from, message);
            }
        }
    }

    fn on_grant(&mut self, ctx: &mut Context<'_>, from: &Member, message: GrantMessage) {
        if let GrantMessage::Held { grants, fencing } = &message {
            for grant in grants {
                self.known.peers.ownership.on_fencing_seen(&grant.upstream, *fencing);
            }
        }
        let view = self.known.view();
        match message {
            GrantMessage::Answer { .. }
            | GrantMessage::Collect { .. }
            | GrantMessage::Revoke { .. } => self.entry.on_message(ctx, &view, from, message),
            GrantMessage::Held { .. }
            | GrantMessage::Release { .. }
            | GrantMessage::Request(_)
            | GrantMessage::Withdraw { .. } => self.owner.on_message(ctx, &view, from, message),
        }
    }

    fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        match token.part() {
            Part::Config => {
                let Known { me, peers, config } = &mut self.known;
                config.on_platform(ctx, me, peers, token, answer);
            }
            Part::Ownership => self.known.peers.ownership.on_platform(ctx, token, answer),
            Part::Plan => self.planner.on_platform(ctx, &self.known.view(), token, answer),
            Part::Claim => self.entry.on_platform(ctx, &self.known.view(), token, answer),
            Part::Grant | Part::Outside | Part::Placement => {}
        }
    }

    fn on_order(
        &mut self,
        ctx: &mut Context<'_>,
        upstream: &UpstreamId,
        token: CallToken,
        answer: Result<(), UpstreamError>,
    ) {
        let view = self.known.view();
        match token.part() {
            Part::Grant => self.owner.on_order(ctx, &view, upstream, token, answer),
            Part::Placement => self.placement.on_order(ctx, &view, upstream, token, answer),
            _ => {}
        }
    }

    fn on_load(
        &mut self,
        ctx: &mut Context<'_>,
        upstream: &UpstreamId,
        answer: Result<&LoadReport, UpstreamError>,
    ) {
        if let Ok(report) = &answer {
            if let Some(fencing) = report.fencing {
                self.known.peers.ownership.on_fencing_seen(upstream, fencing);
            }
            self.placement.on_load(ctx, &self.known.view(), upstream, report);
        }
        self.owner.on_load(ctx, &self.known.view(), upstream, answer);
    }

    fn start_shutdown(&mut self, ctx: &mut Context<'_>) {
        if self.shutdown.is_some() {
            return;
        }
        let deadline = ctx.now + self.shutdown_grace_ms;
        self.shutdown = Some(Shutdown { deadline, idle_since: None });
        self.owner.set_leaving();
        self.refresh_local(ctx.now);
        self.known.peers.membership.leave(ctx, &self.local);
        self.entry.on_shutdown(ctx, &self.known.view());
    }

    fn advance_shutdown(&mut self, ctx: &mut Context<'_>) {
        let Some(shutdown) = &mut self.shutdown else { return };
        if self.entry.open_requests() == 0 {
            let since = *shutdown.idle_since.get_or_insert(ctx.now);
            if ctx.now.since(since) >= LINGER_MS {
                ctx.act(Action::Exit);
            }
        } else if ctx.now >= shutdown.deadline {
            ctx.act(Action::Exit);
        }
    }

    /// Carries what one part found out to the others until nothing is left.
    fn settle(&mut self, ctx: &mut Context<'_>, mut first: usize) {
        loop {
            let mut changed = self.settle_members(ctx);
            self.settle_plans(ctx);
            changed |= self.settle_config(ctx);
            changed |= self.settle_ownership(ctx);
            let messages = self.take_local_messages(ctx, &mut first);
            changed |= !messages.is_empty();
            for message in messages {
                let me = self.known.me.clone();
                self.on_message(ctx, &me, message);
            }
            if !changed {
                break;
            }
        }
        self.announce_readiness(ctx);
    }

    fn settle_members(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.known.peers.membership.take_changes();
        if changes.is_empty() {
            return false;
        }
        self.known.refresh_ownership(ctx);
        let view = self.known.view();
        for change in &changes {
            self.owner.on_member(ctx, &view, change);
            self.entry.on_member(ctx, &view, change);
        }
        true
    }

    fn settle_plans(&mut self, ctx: &mut Context<'_>) {
        for record in self.planner.take_committed() {
            self.known.with_config(|config, view| config.on_committed(ctx, view, record));
        }
    }

    fn settle_config(&mut self, ctx: &mut Context<'_>) -> bool {
        if self.known.config.take_applied().is_empty() {
            return false;
        }
        self.known.refresh_ownership(ctx);
        self.refresh_local(ctx.now);
        let view = self.known.view();
        self.owner.on_config(ctx, &view);
        self.entry.on_config(ctx, &view);
        self.placement.on_config(ctx, &view);
        true
    }

    fn settle_ownership(&mut self, ctx: &mut Context<'_>) -> bool {
        let changes = self.known.peers.ownership.take_changes();
        let view = self.known.view();
        for change in &changes {
            self.owner.on_ownership(ctx, &view, change);
            self.placement.on_ownership(ctx, &view, change);
        }
        !changes.is_empty()
    }

    /// Takes messages to this daemon out of the actions, and watches the peers of new grants.
    fn take_local_messages(
        &mut self,
        ctx: &mut Context<'_>,
        first: &mut usize,
    ) -> Vec<PeerMessage> {
        let mut queue = VecDeque::from(ctx.actions.split_off(*first));
        let mut local = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::SendPeer { to, message, .. } if to == self.known.me.vm => {
                    local.push(message);
                }
                Action::SendPeer { to, address, message } => {
                    if matches!(message, PeerMessage::Grant(_)) && self.watched.insert(to.clone()) {
                        self.known.peers.membership.watch(self.watched.clone());
                    }
                    ctx.actions.push(Action::SendPeer { to, address, message });
                }
                action => ctx.actions.push(action),
            }
        }
        *first = ctx.actions.len();
        local
    }

    fn announce_readiness(&mut self, ctx: &mut Context<'_>) {
        let readiness = self.current_readiness();
        if self.readiness.as_ref() == Some(&readiness) {
            return;
        }
        let (ready, notes) = readiness.clone();
        self.readiness = Some(readiness);
        ctx.act(Action::Ready { ready, notes });
    }

    fn current_readiness(&self) -> (bool, Vec<String>) {
        let mut notes = Vec::new();
        let configured = self.known.config.current().generation.get() > 0;
        if !configured {
            notes.push("no configuration yet: plan and confirm one, or wait for the store".into());
        }
        if self.shutdown.is_some() {
            notes.push("shutting down".into());
        }
        if !self.known.config.store_reachable() {
            notes.push("the platform's store is unavailable: configuration stays as it is".into());
        }
        for domain in self.known.peers.membership.unreachable_domains() {
            notes.push(format!("failure domain {domain} can't be reached"));
        }
        (configured && self.shutdown.is_none(), notes)
    }
}
