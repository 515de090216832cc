//! A node that runs only the entry component.

use super::{member, vm, ENTRIES, OWNERS};
use persimmon_core::{
    config::Configuration,
    entry::{Entry, RawEntrySettings},
    ids::{FailureDomain, Incarnation, UpstreamId, VmId},
    membership::MemberChange,
    message::{CapacitySummary, GrantAnswer, GrantReport, Member, PeerMessage},
    request::{CallTarget, Refusal, RefusalCode},
    routing::{Route, RouteQuery, Router},
    units::{Millis, Time},
    Action, Context, Directory, Event, View,
};
use persimmon_scenario::Node;
use rand::Rng;
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::{collections::BTreeMap, sync::Arc};

/// Routes to a random owner that was not tried yet.
#[derive(Debug)]
struct RandomRouter;

impl Router for RandomRouter {
    fn route(
        &mut self,
        ctx: &mut Context<'_>,
        _: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        let left = OWNERS.iter().map(|owner| vm(owner));
        let mut left: Vec<VmId> = left.filter(|owner| !query.tried.contains(owner)).collect();
        if left.is_empty() {
            let text = "all owners were tried: retry later";
            return Err(Refusal::not_run(RefusalCode::NoCapacity, text));
        }
        let index = ctx.rng.next_u64() as usize % left.len();
        let model = match &query.spec.target {
            CallTarget::Model(_) => Some("m@1".parse().expect("version")),
            CallTarget::Service(_) => None,
        };
        Ok(Route {
            owner: left.swap_remove(index),
            model,
            runner_up: None,
            reason: "any",
        })
    }

    fn on_answer(&mut self, _: &mut Context<'_>, _: &VmId, _: &GrantAnswer) {}

    fn on_end(&mut self, _: &VmId, _: &UpstreamId, _: &GrantReport) {}
}

/// A directory of known members, without owners of upstreams and without capacity summaries.
#[derive(Debug)]
struct MemberDirectory(BTreeMap<VmId, Member>);

impl Directory for MemberDirectory {
    fn member(&self, vm: &VmId) -> Option<&Member> {
        self.0.get(vm)
    }
    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.0.get(vm).is_some_and(|m| m.incarnation == incarnation)
    }
    fn live_in(&self, _: &FailureDomain) -> &[Member] {
        &[]
    }
    fn owner_of(&self, _: &UpstreamId) -> Option<&VmId> {
        None
    }
    fn summary_of(&self, _: &VmId) -> Option<&CapacitySummary> {
        None
    }
}

/// The entry component of one daemon.
#[derive(Debug)]
pub struct EntryNode {
    entry: Entry,
    me: Member,
    members: MemberDirectory,
    config: Arc<Configuration>,
    rng: ChaCha8Rng,
    last_token: u64,
}

impl EntryNode {
    pub fn new(me: &Member, seed: u64, raw: RawEntrySettings, config: &Arc<Configuration>) -> Self {
        let known = ENTRIES.into_iter().chain(OWNERS).map(member);
        let mut members: BTreeMap<VmId, Member> = known.map(|m| (m.vm.clone(), m)).collect();
        members.insert(me.vm.clone(), me.clone());
        let settings = raw.try_into().expect("settings");
        Self {
            entry: Entry::new(settings, Box::new(RandomRouter), me),
            me: me.clone(),
            members: MemberDirectory(members),
            config: config.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_token: 0,
        }
    }

    fn dispatch(&mut self, ctx: &mut Context<'_>, event: Event) {
        let config = self.config.clone();
        let me = self.me.clone();
        let view = View {
            me: &me,
            config: &config,
            directory: &self.members,
        };
        let entry = &mut self.entry;
        match event {
            Event::Tick => entry.on_tick(ctx, &view),
            Event::Request(spec) => entry.on_request(ctx, &view, *spec),
            Event::CallerDisconnected { request } => {
                entry.on_caller_disconnected(ctx, &view, request)
            }
            Event::TicketRequested { request } => entry.on_ticket_requested(ctx, &view, request),
            Event::Progress {
                attempt,
                delivered_tokens,
            } => entry.on_progress(ctx, &view, attempt, delivered_tokens),
            Event::AttemptEnded { attempt, end } => {
                entry.on_attempt_ended(ctx, &view, attempt, end);
            }
            Event::Platform { token, answer } => entry.on_platform(ctx, &view, token, answer),
            Event::PeerUnreachable { vm } => entry.on_unreachable(ctx, &view, &vm),
            Event::Shutdown => entry.on_shutdown(ctx, &view),
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_peer(ctx, &from, incarnation, message),
            _ => {}
        }
    }

    /// Handles a peer message. A message with a newer incarnation announces the sender's restart, as a
    /// heartbeat would.
    fn on_peer(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        let config = self.config.clone();
        let me = self.me.clone();
        let known = self.members.0.get(from).cloned();
        let Some(previous) = known.filter(|previous| previous.incarnation <= incarnation) else {
            return;
        };
        let sender = Member {
            incarnation,
            ..previous.clone()
        };
        self.members.0.insert(from.clone(), sender.clone());
        let view = View {
            me: &me,
            config: &config,
            directory: &self.members,
        };
        if previous.incarnation < incarnation {
            let died = MemberChange::Died(previous);
            self.entry.on_member(ctx, &view, &died);
        }
        match message {
            PeerMessage::Grant(message) => self.entry.on_message(ctx, &view, &sender, message),
            PeerMessage::Ticket(message) => self.entry.on_ticket(ctx, &view, &sender, message),
            _ => {}
        }
    }
}

impl Node for EntryNode {
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut rng = self.rng.clone();
        let mut last_token = self.last_token;
        let mut ctx = Context {
            now,
            rng: &mut rng,
            actions: &mut actions,
            last_token: &mut last_token,
        };
        self.dispatch(&mut ctx, event);
        self.rng = rng;
        self.last_token = last_token;
        let has_open_requests = self.entry.open_requests() > 0;
        assert!(
            !has_open_requests || self.entry.next_wakeup().is_some(),
            "open requests without a timer"
        );
        actions
    }

    fn next_wakeup(&self) -> Option<Time> {
        self.entry.next_wakeup()
    }

    fn open_requests(&self) -> u32 {
        self.entry.open_requests()
    }

    fn oldest_overdue_ms(&self, now: Time) -> Millis {
        self.entry.oldest_overdue_ms(now)
    }
}
