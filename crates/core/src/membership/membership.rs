//! The members that one daemon knows.

use super::{peer::Peer, roster::Roster, LocalState, MemberChange, MembershipSettings};
use crate::{
    decision::Record,
    ids::{FailureDomain, Generation, Incarnation, VmId},
    message::{Heartbeat, Member, PeerMessage, RemoteMember},
    platform::{PlatformError, VmRecord, VmState},
    units::{Millis, Time},
    Action, Context,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The members that one daemon knows, and the heartbeats that keep the knowledge fresh.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: Member,
    pub(super) settings: MembershipSettings,
    seeds: Vec<VmRecord>,
    pub(super) hints: BTreeMap<VmId, VmRecord>,
    /// Failure domains with a live VM in the platform's last list and in the one before.
    pub(super) listed: [Option<BTreeSet<FailureDomain>>; 2],
    pub(super) peers: BTreeMap<VmId, Peer>,
    pub(super) live: BTreeMap<FailureDomain, Vec<Member>>,
    pub(super) roster: Roster,
    pub(super) watched: BTreeSet<VmId>,
    pub(super) changes: Vec<MemberChange>,
    pub(super) generation: Generation,
    pub(super) leaving: bool,
    /// The listed VM asked last, and the far member told of last.
    pub(super) contacted: Option<VmId>,
    pub(super) told: Option<VmId>,
    round_index: u64,
    next_round: Time,
    next_far: Time,
    next_list: Time,
    /// Silence before the process last woke proves nothing.
    woke: Time,
}

/// Rounds between two heartbeats to one peer outside of the rounds.
const FAR_ROUNDS_COUNT: u64 = 4;

/// Rounds of silence after which an undeliverable message is proof of death.
const LATE_ROUNDS_COUNT: u64 = 12;

impl Membership {
    /// A daemon that knows itself and the seeds.
    pub fn new(me: Member, settings: MembershipSettings, seeds: Vec<VmRecord>) -> Self {
        let mut membership = Self {
            me,
            settings,
            hints: by_vm(seeds.iter()),
            seeds,
            listed: [None, None],
            peers: BTreeMap::new(),
            live: BTreeMap::new(),
            roster: Roster::default(),
            watched: BTreeSet::new(),
            changes: Vec::new(),
            generation: Generation::default(),
            leaving: false,
            contacted: None,
            told: None,
            round_index: 0,
            next_round: Time::START,
            next_far: Time::START,
            next_list: Time::START,
            woke: Time::START,
        };
        membership.index();
        membership
    }

    /// A peer sent a heartbeat.
    pub fn on_heartbeat(&mut self, ctx: &mut Context<'_>, beat: Heartbeat, local: &LocalState) {
        if beat.member.vm == self.me.vm || !self.hear(ctx, &beat.member) {
            return;
        }
        let mut news = false;
        if let Some(peer) = self.peers.get_mut(&beat.member.vm) {
            news = peer.applies(beat.generation);
            if beat.summary.is_some() {
                peer.summary.clone_from(&beat.summary);
            }
        }
        if beat.leaving {
            self.on_leaving(ctx, &beat.member);
        }
        let near = beat.member.domain == self.me.domain;
        if near {
            self.on_digest(ctx, &beat, local);
        } else if news {
            self.hasten(ctx.now);
        }
        for far in &beat.members {
            self.on_far(ctx, far);
        }
        if beat.wants_answer {
            let address = beat.member.peer_address;
            self.send(ctx, &beat.member.vm, address, local, None, false);
        } else if near && beat.seq_index >= self.round_index {
            self.round_index = beat.seq_index;
            self.round(ctx, local);
        }
    }

    /// Other traffic of a peer counts as a sign of life.
    pub fn on_traffic(&mut self, now: Time, vm: &VmId, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(vm) {
            if peer.alive && peer.member.incarnation == incarnation {
                peer.heard = Some(now);
            }
        }
    }

    /// The platform's list of VMs: hints for joining, no proof of life or death.
    pub fn on_vms(&mut self, _: &mut Context<'_>, answer: Result<Vec<VmRecord>, PlatformError>) {
        if let Ok(listed) = answer {
            let live = listed.iter().filter(|vm| vm.state == VmState::Live);
            let live = live.map(|vm| vm.domain.clone()).collect();
            self.listed = [Some(live), self.listed[0].take()];
            self.hints = by_vm(self.seeds.iter().chain(&listed));
        }
    }

    /// A message could not be delivered: a member already late by two heartbeats is dead.
    pub fn on_unreachable(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let late = Millis::new(self.settings.heartbeat().get() * LATE_ROUNDS_COUNT);
        let Some(peer) = self.peers.get(vm) else {
            return;
        };
        if peer.alive && peer.heard.is_none_or(|heard| heard + late < ctx.now) {
            self.bury(ctx, &vm.clone());
        }
    }

    /// Sends heartbeats that are due and finds the dead.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        if self.generation < local.generation {
            self.generation = local.generation;
            self.announce_generation(ctx.now);
        }
        if self.leaving != local.leaving {
            self.leaving = local.leaving;
            self.index();
        }
        self.bury_silent(ctx);
        if ctx.now >= self.next_list {
            self.next_list = ctx.now + self.settings.list();
            ctx.act(Action::ListVms);
        }
        if ctx.now >= self.next_round {
            self.round(ctx, local);
        }
        if ctx.now >= self.next_far {
            let gap_ms = self.settings.heartbeat().get() * FAR_ROUNDS_COUNT;
            self.next_far = ctx.now + Millis::new(gap_ms);
            for (vm, address) in self.targets(ctx.now) {
                self.send(ctx, &vm, address, local, None, true);
            }
        }
    }

    /// Peers whose liveness must be known wherever they are.
    pub fn watch(&mut self, peers: BTreeSet<VmId>) {
        self.watched = peers;
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Announces that this daemon leaves.
    pub fn leave(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        self.leaving = true;
        self.index();
        let local = LocalState {
            leaving: true,
            ..local.clone()
        };
        let alive = self.peers.values().filter(|peer| peer.alive);
        let told: Vec<_> = alive.map(|peer| peer.member.clone()).collect();
        for member in told {
            self.send(ctx, &member.vm, member.peer_address, &local, None, false);
        }
    }

    /// The process was paused: nobody could be heard meanwhile, so ask before judging.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        self.woke = ctx.now;
        self.next_round = ctx.now;
        self.next_far = ctx.now;
    }

    /// When `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let alive = self.peers.values().filter(|peer| peer.alive);
        let expiry = alive
            .map(|peer| peer.expires(&self.settings, self.is_near(&peer.member), self.woke))
            .min();
        let due = self.next_round.min(self.next_far).min(self.next_list);
        Some(expiry.map_or(due, |expiry| expiry.min(due)))
    }

    /// A new generation is told over all links at once.
    fn announce_generation(&mut self, now: Time) {
        self.next_far = now;
        self.hasten(now);
        for peer in self.peers.values_mut() {
            peer.sent = None;
        }
    }

    /// There is news: the next round comes soon.
    fn hasten(&mut self, now: Time) {
        let soon_ms = self.settings.heartbeat().get() / 2;
        self.next_round = self.next_round.min(now + Millis::new(soon_ms));
    }

    /// Whether a member's death must be noticed soon.
    fn is_near(&self, member: &Member) -> bool {
        member.domain == self.me.domain || self.watched.contains(&member.vm)
    }

    fn bury_silent(&mut self, ctx: &mut Context<'_>) {
        let silent = |peer: &&Peer| {
            let near = self.is_near(&peer.member);
            peer.alive && peer.expires(&self.settings, near, self.woke) <= ctx.now
        };
        let silent: Vec<VmId> = self.peers.values().filter(silent).map(vm_of).collect();
        for vm in silent {
            self.bury(ctx, &vm);
        }
    }

    /// Notes that a member was heard directly. False for an old run.
    fn hear(&mut self, ctx: &mut Context<'_>, member: &Member) -> bool {
        if !self.accept(ctx, member, ctx.now, true) {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.heard = Some(ctx.now);
        }
        true
    }

    /// Another member tells of one in a failure domain that is not its own or not this daemon's.
    fn on_far(&mut self, ctx: &mut Context<'_>, far: &RemoteMember) {
        let member = &far.member;
        if member.domain == self.me.domain {
            return;
        }
        let heard = ctx.now - far.age_ms;
        let fresh = far.age_ms.get() * 2 <= self.settings.relay().get();
        if self.accept(ctx, member, heard, fresh) {
            if let Some(peer) = self.peers.get_mut(&member.vm) {
                peer.heard = peer.heard.max(Some(heard));
                let news = peer.applies(far.generation);
                if news {
                    self.hasten(ctx.now);
                }
            }
        }
    }

    pub(super) fn join(&mut self, ctx: &mut Context<'_>, member: &Member) {
        self.peers
            .insert(member.vm.clone(), Peer::new(member.clone()));
        self.changes.push(MemberChange::Joined(member.clone()));
        log(ctx, member, "joined");
        self.index();
    }

    pub(super) fn bury(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.alive = false;
        peer.died = Some(ctx.now);
        let member = peer.member.clone();
        self.changes.push(MemberChange::Died(member.clone()));
        log(ctx, &member, "died");
        self.index();
    }

    pub(super) fn index(&mut self) {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.alive && !peer.leaving);
        let mut members: Vec<Member> = peers.map(|peer| peer.member.clone()).collect();
        if !self.leaving {
            members.push(self.me.clone());
        }
        members.sort();
        let near = self.peers.values().filter(|peer| peer.alive);
        let near = near.map(|peer| &peer.member).chain([&self.me]);
        let near = near.filter(|member| member.domain == self.me.domain);
        self.roster = Roster::new(near.cloned().collect(), &self.me.vm);
        self.live.clear();
        for member in members {
            self.live
                .entry(member.domain.clone())
                .or_default()
                .push(member);
        }
    }

    /// Tells this round's partner, and goes on to the next round.
    fn round(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        let round_index = self.round_index;
        let partner = self.roster.partner(round_index).cloned();
        if let Some(to) = partner {
            self.send(
                ctx,
                &to.vm,
                to.peer_address,
                local,
                Some(round_index),
                false,
            );
        }
        self.round_index += 1;
        let gap_ms = self.settings.heartbeat().get() * self.roster.stretch();
        self.next_round = ctx.now + Millis::new(gap_ms);
    }

    fn send(
        &mut self,
        ctx: &mut Context<'_>,
        to: &VmId,
        address: SocketAddr,
        local: &LocalState,
        round_index: Option<u64>,
        wants_answer: bool,
    ) {
        let known = self.peers.get(to).map(|peer| &peer.member.domain);
        let domain = known.or_else(|| self.hints.get(to).map(|hint| &hint.domain));
        let near = domain == Some(&self.me.domain);
        let digest = near.then(|| Box::new(self.digest_for(ctx.now, to, local, round_index)));
        let members = match round_index {
            Some(_) => self.far_members(ctx.now),
            None => Vec::new(),
        };
        if let Some(peer) = self.peers.get_mut(to) {
            peer.sent = Some(ctx.now);
        }
        let beat = Heartbeat {
            member: self.me.clone(),
            seq_index: round_index.unwrap_or(0),
            leaving: local.leaving || self.leaving,
            generation: local.generation,
            summary: round_index.is_none().then(|| local.summary.clone()),
            digest,
            members,
            wants_answer,
        };
        ctx.act(Action::SendPeer {
            to: to.clone(),
            address,
            message: PeerMessage::Heartbeat(Box::new(beat)),
        });
    }
}

fn by_vm<'a>(records: impl Iterator<Item = &'a VmRecord>) -> BTreeMap<VmId, VmRecord> {
    records
        .map(|record| (record.vm.clone(), record.clone()))
        .collect()
}

fn vm_of(peer: &Peer) -> VmId {
    peer.member.vm.clone()
}

pub(super) fn log(ctx: &mut Context<'_>, member: &Member, what: &str) {
    ctx.log(Record::Membership {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        what: what.into(),
    });
}
