//! The core of a daemon: dispatches events to the components and collects their actions.

use super::{
    cluster_state::{ClusterState, PeerDirectory},
    early_messages::EarlyMessages,
    shutdown::Shutdown,
    ticks::TICK_MS,
    DaemonSettings,
};
use crate::{
    action::Action,
    config::ConfigStore,
    context::Context,
    entry::Entry,
    event::Event,
    grant::Owner,
    ids::{UpstreamId, VmId},
    membership::{LocalState, Membership},
    operator::OperatorCommand,
    ownership::Ownership,
    placement::Placement,
    plan::Planner,
    platform::{CallToken, Component, PlatformError, TableAnswer},
    request::UpstreamError,
    routing,
    units::{Millis, Time},
    upstream::LoadReport,
};
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::collections::BTreeSet;

/// Time between two events above which the process is considered to have been paused.
const PAUSE_THRESHOLD_MS: Millis = Millis::new(1_000);

/// The core of a daemon. It performs no input or output: it takes events and returns actions.
#[derive(Debug)]
pub struct Daemon {
    pub(super) cluster: ClusterState,
    pub(super) owner: Owner,
    pub(super) entry: Entry,
    pub(super) planner: Planner,
    pub(super) placement: Placement,
    pub(super) early_messages: EarlyMessages,
    pub(super) local: LocalState,
    pub(super) watched: BTreeSet<VmId>,
    rng: ChaCha8Rng,
    last_token: u64,
    last_event: Time,
    pub(super) last_tick: Time,
    pub(super) readiness: Option<(bool, Vec<String>)>,
    pub(super) shutdown: Option<Shutdown>,
}

impl Daemon {
    /// Creates a daemon that has not received any events.
    pub fn new(settings: DaemonSettings) -> Self {
        let DaemonSettings {
            me,
            seeds,
            seed,
            components,
        } = settings;
        let router = routing::router(&components.routing);
        let membership = Membership::new(me.clone(), components.membership, seeds);
        let ownership = Ownership::new(components.ownership, me.clone());
        let config = ConfigStore::new(components.config);
        Self {
            owner: Owner::new(components.grant),
            entry: Entry::new(components.entry, router, &me),
            planner: Planner::new(components.plan),
            placement: Placement::new(components.placement),
            early_messages: EarlyMessages::default(),
            local: LocalState::default(),
            watched: BTreeSet::new(),
            cluster: ClusterState {
                me,
                peers: PeerDirectory {
                    membership,
                    ownership,
                },
                config,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_token: 0,
            last_event: Time::START,
            last_tick: Time::START,
            readiness: None,
            shutdown: None,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let mut rng = self.rng.clone();
        let mut last_token = self.last_token;
        let first = actions.len();
        let mut ctx = Context {
            now,
            rng: &mut rng,
            actions,
            last_token: &mut last_token,
        };
        self.detect_pause(&mut ctx);
        self.dispatch(&mut ctx, event);
        self.propagate_changes(&mut ctx, first);
        self.rng = rng;
        self.last_token = last_token;
    }

    /// Returns the number of requests without a final response.
    pub fn open_requests(&self) -> u32 {
        self.entry.open_requests()
    }

    /// Returns by how much the oldest open request exceeds its caller's deadline. A value above
    /// zero indicates a fault.
    pub fn oldest_overdue_ms(&self, now: Time) -> Millis {
        self.entry.oldest_overdue_ms(now)
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_wakeup(&self) -> Time {
        let components = [
            self.cluster.peers.membership.next_wakeup(),
            self.cluster.peers.ownership.next_wakeup(),
            self.cluster.config.next_wakeup(),
            self.owner.next_wakeup(),
            self.entry.next_wakeup(),
            self.planner.next_wakeup(),
            self.placement.next_wakeup(),
        ];
        let tick = self.last_tick + TICK_MS;
        components.into_iter().flatten().fold(tick, Time::min)
    }

    fn detect_pause(&mut self, ctx: &mut Context<'_>) {
        let gap_ms = ctx.now.since(self.last_event);
        self.last_event = ctx.now;
        if gap_ms <= PAUSE_THRESHOLD_MS {
            return;
        }
        self.cluster.peers.membership.on_paused(ctx);
        self.cluster.peers.ownership.on_paused(ctx);
        self.owner.on_paused(ctx);
    }

    fn dispatch(&mut self, ctx: &mut Context<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(ctx),
            Event::Shutdown => self.start_shutdown(ctx),
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                self.on_peer(ctx, from, incarnation, message);
            }
            Event::Platform { token, answer } => self.on_platform(ctx, token, answer),
            Event::Vms { answer } => self.cluster.peers.membership.on_vms(ctx, answer),
            Event::OrderAnswered {
                upstream,
                token,
                answer,
            } => {
                self.on_order_answered(ctx, &upstream, token, answer);
            }
            Event::Load { upstream, answer } => {
                self.on_load(ctx, &upstream, answer.as_deref().map_err(Clone::clone));
            }
            Event::Cache { upstream, batch } => {
                self.owner
                    .on_cache(ctx, &self.cluster.view(), &upstream, batch);
            }
            Event::Operator {
                call,
                operator,
                command,
                unix_ms,
            } => match command {
                OperatorCommand::Status
                | OperatorCommand::Fleet
                | OperatorCommand::ConfigShow
                | OperatorCommand::ConfigHistory => self.reply_from_state(ctx, call, &command),
                command => self.on_plan_command(ctx, call, operator, command, unix_ms),
            },
            event => self.on_request_event(ctx, event),
        }
    }

    fn on_request_event(&mut self, ctx: &mut Context<'_>, event: Event) {
        let view = self.cluster.view();
        match event {
            Event::Request(spec) => self.entry.on_request(ctx, &view, *spec),
            Event::CallerDisconnected { request } => {
                self.entry.on_caller_disconnected(ctx, &view, request)
            }
            Event::TicketRequested { request } => {
                self.entry.on_ticket_requested(ctx, &view, request)
            }
            Event::Progress {
                attempt,
                delivered_tokens,
            } => {
                self.entry
                    .on_progress(ctx, &view, attempt, delivered_tokens);
            }
            Event::AttemptEnded { attempt, end } => {
                self.entry.on_attempt_ended(ctx, &view, attempt, end);
            }
            Event::PeerUnreachable { vm } => {
                self.entry.on_unreachable(ctx, &view, &vm);
                self.cluster.peers.membership.on_unreachable(ctx, &vm);
            }
            _ => {}
        }
    }

    fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        match token.component() {
            Component::Config => {
                let ClusterState { me, peers, config } = &mut self.cluster;
                config.on_platform(ctx, me, peers, token, answer);
            }
            Component::Ownership => self.cluster.peers.ownership.on_platform(ctx, token, answer),
            Component::Plan => self
                .planner
                .on_platform(ctx, &self.cluster.view(), token, answer),
            Component::Claim => self
                .entry
                .on_platform(ctx, &self.cluster.view(), token, answer),
            Component::Grant | Component::External | Component::Placement => {}
        }
    }

    fn on_order_answered(
        &mut self,
        ctx: &mut Context<'_>,
        upstream: &UpstreamId,
        token: CallToken,
        answer: Result<(), UpstreamError>,
    ) {
        let view = self.cluster.view();
        match token.component() {
            Component::Grant => self.owner.on_order(ctx, &view, upstream, token, answer),
            Component::Placement => self.placement.on_order(ctx, &view, upstream, token, answer),
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
                self.cluster
                    .peers
                    .ownership
                    .on_fencing_seen(upstream, fencing);
            }
            self.placement
                .on_load(ctx, &self.cluster.view(), upstream, report);
        }
        self.owner
            .on_load(ctx, &self.cluster.view(), upstream, answer);
    }
}
