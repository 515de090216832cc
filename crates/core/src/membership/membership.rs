//! The members that one daemon knows.

use super::{news::News, peer::Peer, LocalState, MemberChange, MembershipSettings};
use crate::{
    decision::Record,
    ids::{FailureDomain, Generation, Incarnation, VmId},
    message::{Heartbeat, Member, PeerMessage},
    platform::{PlatformError, VmRecord, VmState},
    units::Time,
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
    pub(super) peers: BTreeMap<VmId, Peer>,
    pub(super) live: BTreeMap<FailureDomain, Vec<Member>>,
    watched: BTreeSet<VmId>,
    news: News,
    changes: Vec<MemberChange>,
    pub(super) generation: Generation,
    pub(super) leaving: bool,
    seq_index: u64,
    next_heartbeat: Time,
    next_list: Time,
}

impl Membership {
    /// A daemon that knows itself and the seeds.
    pub fn new(me: Member, settings: MembershipSettings, seeds: Vec<VmRecord>) -> Self {
        let mut membership = Self {
            me,
            settings,
            hints: by_vm(seeds.iter()),
            seeds,
            peers: BTreeMap::new(),
            live: BTreeMap::new(),
            watched: BTreeSet::new(),
            news: News::default(),
            changes: Vec::new(),
            generation: Generation::default(),
            leaving: false,
            seq_index: 0,
            next_heartbeat: Time::START,
            next_list: Time::START,
        };
        membership.index();
        membership
    }

    /// A peer sent a heartbeat.
    pub fn on_heartbeat(&mut self, ctx: &mut Context<'_>, beat: Heartbeat, local: &LocalState) {
        if beat.member.vm == self.me.vm || !self.hear(ctx, &beat.member) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&beat.member.vm) {
            peer.generation = peer.generation.max(beat.generation);
            if beat.summary.is_some() {
                peer.summary = beat.summary;
            }
            if beat.leaving && !peer.leaving {
                peer.leaving = true;
                self.changes
                    .push(MemberChange::Leaving(beat.member.clone()));
                log(ctx, &beat.member, "leaving");
                self.index();
            }
        }
        for (member, alive) in &beat.members {
            self.on_relayed(ctx, member, *alive);
        }
        if beat.wants_answer {
            let address = beat.member.peer_address;
            self.send(ctx, &beat.member.vm, address, local, false);
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
            self.hints = by_vm(self.seeds.iter().chain(&listed));
        }
    }

    /// A message could not be delivered: a member already late by two heartbeats is dead.
    pub fn on_unreachable(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let late = self.settings.heartbeat() + self.settings.heartbeat();
        let Some(peer) = self.peers.get(vm) else {
            return;
        };
        if peer.alive && peer.heard.is_none_or(|heard| heard + late < ctx.now) {
            self.bury(ctx, &vm.clone());
        }
    }

    /// Sends heartbeats that are due and finds the dead.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        self.generation = local.generation;
        if self.leaving != local.leaving {
            self.leaving = local.leaving;
            self.index();
        }
        self.bury_silent(ctx);
        if ctx.now >= self.next_list {
            self.next_list = ctx.now + self.settings.list();
            ctx.act(Action::ListVms);
        }
        if ctx.now >= self.next_heartbeat {
            self.next_heartbeat = ctx.now + self.settings.heartbeat();
            self.beat(ctx, local);
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
        self.beat(ctx, &local);
    }

    /// The process was paused: nobody could be heard meanwhile, so ask before judging.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        for peer in self.peers.values_mut().filter(|peer| peer.alive) {
            peer.heard = peer.heard.map(|_| now);
            peer.relayed = peer.relayed.map(|_| now);
        }
        self.next_heartbeat = now;
    }

    /// When `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let alive = self.peers.values().filter(|peer| peer.alive);
        let expiry = alive
            .map(|peer| peer.expires(&self.settings, self.is_near(&peer.member)))
            .min();
        let due = self.next_heartbeat.min(self.next_list);
        Some(expiry.map_or(due, |expiry| expiry.min(due)))
    }

    /// Whether a member gets heartbeats from here and so must be heard itself.
    fn is_near(&self, member: &Member) -> bool {
        member.domain == self.me.domain || self.watched.contains(&member.vm)
    }

    fn bury_silent(&mut self, ctx: &mut Context<'_>) {
        let silent = |peer: &&Peer| {
            let expires = peer.expires(&self.settings, self.is_near(&peer.member));
            peer.alive && expires <= ctx.now
        };
        let silent: Vec<VmId> = self.peers.values().filter(silent).map(vm_of).collect();
        for vm in silent {
            self.bury(ctx, &vm);
        }
        let settings = &self.settings;
        for peer in self.peers.values_mut() {
            let direct = peer.is_direct(ctx.now, settings);
            peer.heard = peer.heard.filter(|_| direct);
        }
    }

    /// Notes that a member was heard directly. False for an old run.
    fn hear(&mut self, ctx: &mut Context<'_>, member: &Member) -> bool {
        let known = self.peers.get(&member.vm);
        match known.map(|peer| (peer.member.incarnation, peer.alive)) {
            Some((incarnation, _)) if incarnation > member.incarnation => return false,
            Some((incarnation, true)) if incarnation < member.incarnation => {
                self.bury(ctx, &member.vm);
                self.join(ctx, member);
            }
            Some((_, true)) => {}
            _ => self.join(ctx, member),
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.heard = Some(ctx.now);
        }
        true
    }

    /// Another member tells of this one.
    fn on_relayed(&mut self, ctx: &mut Context<'_>, member: &Member, alive: bool) {
        if member.vm == self.me.vm {
            return;
        }
        if member.domain == self.me.domain {
            return self.hint(member, alive);
        }
        let known = self.peers.get(&member.vm);
        let known_run = known.map_or(Incarnation::default(), |peer| peer.member.incarnation);
        let same_run = known.is_some() && known_run == member.incarnation;
        let direct = known.is_some_and(|peer| peer.is_direct(ctx.now, &self.settings));
        let buried = known.and_then(|peer| peer.died);
        let just_buried = buried.is_some_and(|died| died + self.settings.relay() > ctx.now);
        let lives = known.is_some_and(|peer| peer.alive);
        if known.is_some() && known_run > member.incarnation {
            return;
        }
        if !alive {
            if same_run && lives && !direct {
                self.bury(ctx, &member.vm);
            }
            return;
        }
        if same_run && !lives && just_buried {
            return;
        }
        if !(same_run && lives) {
            if lives {
                self.bury(ctx, &member.vm);
            }
            self.join(ctx, member);
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.relayed = Some(ctx.now);
        }
    }

    /// A member of the own failure domain must be heard itself: the word of others is a hint.
    fn hint(&mut self, member: &Member, alive: bool) {
        if alive && !self.hints.contains_key(&member.vm) {
            let record = VmRecord {
                vm: member.vm.clone(),
                domain: member.domain.clone(),
                peer_address: member.peer_address,
                state: VmState::Live,
            };
            self.hints.insert(member.vm.clone(), record);
        }
    }

    fn join(&mut self, ctx: &mut Context<'_>, member: &Member) {
        self.peers
            .insert(member.vm.clone(), Peer::new(member.clone()));
        self.changes.push(MemberChange::Joined(member.clone()));
        self.news.add(member, true);
        log(ctx, member, "joined");
        self.index();
    }

    fn bury(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.alive = false;
        peer.died = Some(ctx.now);
        let member = peer.member.clone();
        self.changes.push(MemberChange::Died(member.clone()));
        self.news.add(&member, false);
        log(ctx, &member, "died");
        self.index();
    }

    fn index(&mut self) {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.alive && !peer.leaving);
        let mut members: Vec<Member> = peers.map(|peer| peer.member.clone()).collect();
        if !self.leaving {
            members.push(self.me.clone());
        }
        members.sort();
        self.live.clear();
        for member in members {
            self.live
                .entry(member.domain.clone())
                .or_default()
                .push(member);
        }
    }

    /// Sends a heartbeat to every peer that is due one.
    fn beat(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        for (vm, address) in self.targets() {
            let heard = self.peers.get(&vm).and_then(|peer| peer.heard);
            let fresh = heard.is_some_and(|heard| heard + self.settings.heartbeat() > ctx.now);
            self.send(ctx, &vm, address, local, !fresh);
        }
    }

    /// The own failure domain, watched peers, a few links to other domains, and unheard hints.
    fn targets(&self) -> BTreeMap<VmId, SocketAddr> {
        let mut targets = BTreeMap::new();
        let mut links: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.alive) {
            let member = &peer.member;
            let linked = links.entry(&member.domain).or_default();
            if self.is_near(member) || *linked < self.settings.domain_links() {
                *linked += 1;
                targets.insert(member.vm.clone(), member.peer_address);
            }
        }
        for hint in self.hints.values().filter(|hint| hint.vm != self.me.vm) {
            let alive = self.peers.get(&hint.vm).is_some_and(|peer| peer.alive);
            let linked = links.entry(&hint.domain).or_default();
            let near = hint.domain == self.me.domain;
            if !alive && (near || *linked < self.settings.domain_links()) {
                targets.insert(hint.vm.clone(), hint.peer_address);
            }
        }
        targets
    }

    fn send(
        &mut self,
        ctx: &mut Context<'_>,
        to: &VmId,
        address: SocketAddr,
        local: &LocalState,
        wants_answer: bool,
    ) {
        let direct = |peer: &&Peer| peer.alive && peer.is_direct(ctx.now, &self.settings);
        let known = self.peers.values().filter(direct);
        let known = known
            .map(|peer| (peer.member.vm.clone(), peer.member.clone()))
            .collect();
        let beat = Heartbeat {
            member: self.me.clone(),
            seq_index: self.seq_index,
            leaving: local.leaving || self.leaving,
            generation: local.generation,
            summary: Some(local.summary.clone()),
            members: self.news.take(self.settings.relayed(), &known),
            wants_answer,
        };
        self.seq_index += 1;
        ctx.act(Action::SendPeer {
            to: to.clone(),
            address,
            message: PeerMessage::Heartbeat(beat),
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

fn log(ctx: &mut Context<'_>, member: &Member, what: &str) {
    ctx.log(Record::Membership {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        what: what.into(),
    });
}
