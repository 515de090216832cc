//! The daemon's core.

use super::{
    known::{Known, Peers},
    shutdown::Shutdown,
    strangers::Strangers,
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
    platform::{CallToken, Part, PlatformError, TableAnswer},
    request::UpstreamError,
    routing,
    units::{Millis, Time},
    upstream::LoadReport,
};
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::collections::BTreeSet;

/// A longer time between two events means that the process was paused.
const PAUSE_MS: Millis = Millis::new(1_000);

/// One daemon's core: events go in, actions come out.
#[derive(Debug)]
pub struct Daemon {
    pub(super) known: Known,
    pub(super) owner: Owner,
    pub(super) entry: Entry,
    pub(super) planner: Planner,
    pub(super) placement: Placement,
    pub(super) strangers: Strangers,
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
    /// A daemon that has heard nothing yet.
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
            strangers: Strangers::default(),
            local: LocalState::default(),
            watched: BTreeSet::new(),
            known: Known {
                me,
                peers: Peers {
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

    /// Takes an event in and adds the actions that it brings about.
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
        self.notice_pause(&mut ctx);
        self.dispatch(&mut ctx, event);
        self.settle(&mut ctx, first);
        self.rng = rng;
        self.last_token = last_token;
    }

    /// Requests without a last word.
    pub fn open_requests(&self) -> u32 {
        self.entry.open_requests()
    }

    /// How far the oldest open request is past its caller's deadline: above zero is a fault.
    pub fn oldest_overdue_ms(&self, now: Time) -> Millis {
        self.entry.oldest_overdue_ms(now)
    }

    /// When the next `Tick` is due.
    pub fn next_wakeup(&self) -> Time {
        let components = [
            self.known.peers.membership.next_wakeup(),
            self.known.peers.ownership.next_wakeup(),
            self.known.config.next_wakeup(),
            self.owner.next_wakeup(),
            self.entry.next_wakeup(),
            self.planner.next_wakeup(),
            self.placement.next_wakeup(),
        ];
        let tick = self.last_tick + TICK_MS;
        components.into_iter().flatten().fold(tick, Time::min)
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
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                self.on_peer(ctx, from, incarnation, message);
            }
            Event::Platform { token, answer } => self.on_platform(ctx, token, answer),
            Event::Vms { answer } => self.known.peers.membership.on_vms(ctx, answer),
            Event::OrderAnswered {
                upstream,
                token,
                answer,
            } => {
                self.on_order(ctx, &upstream, token, answer);
            }
            Event::Load { upstream, answer } => {
                self.on_load(ctx, &upstream, answer.as_deref().map_err(Clone::clone));
            }
            Event::Cache { upstream, batch } => {
                self.owner
                    .on_cache(ctx, &self.known.view(), &upstream, batch);
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
            Event::CallerGone { request } => self.entry.on_caller_disconnected(ctx, &view, request),
            Event::TicketWanted { request } => self.entry.on_ticket_requested(ctx, &view, request),
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
                self.known.peers.membership.on_unreachable(ctx, &vm);
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
        match token.part() {
            Part::Config => {
                let Known { me, peers, config } = &mut self.known;
                config.on_platform(ctx, me, peers, token, answer);
            }
            Part::Ownership => self.known.peers.ownership.on_platform(ctx, token, answer),
            Part::Plan => self
                .planner
                .on_platform(ctx, &self.known.view(), token, answer),
            Part::Claim => self
                .entry
                .on_platform(ctx, &self.known.view(), token, answer),
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
                self.known
                    .peers
                    .ownership
                    .on_fencing_seen(upstream, fencing);
            }
            self.placement
                .on_load(ctx, &self.known.view(), upstream, report);
        }
        self.owner
            .on_load(ctx, &self.known.view(), upstream, answer);
    }
}
