//! A daemon's view of the membership, with heartbeats and failure detection.

use super::{gossip_ring::GossipRing, peer::Peer, LocalState, MemberChange, MembershipSettings};
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

/// A daemon's view of the membership. Heartbeats keep the view up to date and detect failures.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: Member,
    pub(super) settings: MembershipSettings,
    seeds: Vec<VmRecord>,
    /// Seeds and the VMs of the platform's last list: candidates to contact.
    pub(super) listed_vms: BTreeMap<VmId, VmRecord>,
    /// Failure domains with a live VM in the platform's last two lists, the newer one first.
    pub(super) listed_domains: [Option<BTreeSet<FailureDomain>>; 2],
    pub(super) peers: BTreeMap<VmId, Peer>,
    /// Live members that are not leaving, by failure domain.
    pub(super) live: BTreeMap<FailureDomain, Vec<Member>>,
    pub(super) gossip_ring: GossipRing,
    /// Peers that need fast failure detection in any failure domain.
    pub(super) watched: BTreeSet<VmId>,
    pub(super) changes: Vec<MemberChange>,
    pub(super) generation: Generation,
    pub(super) leaving: bool,
    /// The listed VM that was contacted last; the rotation continues after it.
    pub(super) last_contacted: Option<VmId>,
    /// The remote member that was relayed last; the rotation continues after it.
    pub(super) last_relayed: Option<VmId>,
    round_index: u64,
    next_round: Time,
    next_direct: Time,
    next_list: Time,
    /// When the process last resumed from a pause. Silence before that time does not count, since
    /// nothing could be received during the pause.
    resumed_at: Time,
}

/// Heartbeat intervals between two checks for peers that need a heartbeat outside the gossip
/// rounds.
const DIRECT_INTERVAL_ROUNDS: u64 = 4;

/// Heartbeat intervals of silence after which an undeliverable message marks the peer as dead.
const SILENT_ROUNDS_COUNT: u64 = 12;

impl Membership {
    /// Creates a view that contains only this daemon, with `seeds` as the VMs to contact.
    pub fn new(me: Member, settings: MembershipSettings, seeds: Vec<VmRecord>) -> Self {
        let mut membership = Self {
            me,
            settings,
            listed_vms: by_vm(seeds.iter()),
            seeds,
            listed_domains: [None, None],
            peers: BTreeMap::new(),
            live: BTreeMap::new(),
            gossip_ring: GossipRing::default(),
            watched: BTreeSet::new(),
            changes: Vec::new(),
            generation: Generation::default(),
            leaving: false,
            last_contacted: None,
            last_relayed: None,
            round_index: 0,
            next_round: Time::START,
            next_direct: Time::START,
            next_list: Time::START,
            resumed_at: Time::START,
        };
        membership.rebuild_indexes();
        membership
    }

    /// Handles a heartbeat from a peer.
    pub fn on_heartbeat(
        &mut self,
        ctx: &mut Context<'_>,
        heartbeat: Heartbeat,
        local: &LocalState,
    ) {
        if heartbeat.member.vm == self.me.vm || !self.record_heartbeat(ctx, &heartbeat.member) {
            return;
        }
        let mut generation_advanced = false;
        if let Some(peer) = self.peers.get_mut(&heartbeat.member.vm) {
            generation_advanced = peer.update_generation(heartbeat.generation);
            if heartbeat.summary.is_some() {
                peer.summary.clone_from(&heartbeat.summary);
            }
        }
        if heartbeat.leaving {
            self.on_leaving(ctx, &heartbeat.member);
        }
        let same_domain = heartbeat.member.domain == self.me.domain;
        if same_domain {
            self.on_digest(ctx, &heartbeat, local);
        } else if generation_advanced {
            self.bring_round_forward(ctx.now);
        }
        for relayed in &heartbeat.members {
            self.on_relayed(ctx, relayed);
        }
        if heartbeat.wants_answer {
            let address = heartbeat.member.peer_address;
            self.send_heartbeat(ctx, &heartbeat.member.vm, address, local, None, false);
        } else if same_domain && heartbeat.seq_index >= self.round_index {
            self.round_index = heartbeat.seq_index;
            self.run_round(ctx, local);
        }
    }

    /// Counts any other message from a peer as a sign of life.
    pub fn on_traffic(&mut self, now: Time, vm: &VmId, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(vm) {
            if peer.alive && peer.member.incarnation == incarnation {
                peer.last_heard = Some(now);
            }
        }
    }

    /// Stores the platform's list of VMs. The list only names VMs to contact; it does not decide
    /// which members are alive.
    pub fn on_vms(&mut self, _: &mut Context<'_>, answer: Result<Vec<VmRecord>, PlatformError>) {
        if let Ok(vms) = answer {
            let live = vms.iter().filter(|vm| vm.state == VmState::Live);
            let live = live.map(|vm| vm.domain.clone()).collect();
            self.listed_domains = [Some(live), self.listed_domains[0].take()];
            self.listed_vms = by_vm(self.seeds.iter().chain(&vms));
        }
    }

    /// Handles a message that could not be delivered: a peer that has also been silent for
    /// `SILENT_ROUNDS_COUNT` heartbeat intervals is marked as dead.
    pub fn on_unreachable(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let max_silence =
            Millis::new(self.settings.heartbeat_interval().get() * SILENT_ROUNDS_COUNT);
        let Some(peer) = self.peers.get(vm) else {
            return;
        };
        if peer.alive
            && peer
                .last_heard
                .is_none_or(|heard| heard + max_silence < ctx.now)
        {
            self.mark_dead(ctx, &vm.clone());
        }
    }

    /// Sends due heartbeats, requests the VM list and marks silent peers as dead.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        if self.generation < local.generation {
            self.generation = local.generation;
            self.announce_generation(ctx.now);
        }
        if self.leaving != local.leaving {
            self.leaving = local.leaving;
            self.rebuild_indexes();
        }
        self.expire_silent(ctx);
        if ctx.now >= self.next_list {
            self.next_list = ctx.now + self.settings.vm_list_interval();
            ctx.act(Action::ListVms);
        }
        if ctx.now >= self.next_round {
            self.run_round(ctx, local);
        }
        if ctx.now >= self.next_direct {
            let gap_ms = self.settings.heartbeat_interval().get() * DIRECT_INTERVAL_ROUNDS;
            self.next_direct = ctx.now + Millis::new(gap_ms);
            for (vm, address) in self.direct_targets(ctx.now) {
                self.send_heartbeat(ctx, &vm, address, local, None, true);
            }
        }
    }

    /// Sets the peers that get fast failure detection and direct heartbeats in any failure domain.
    pub fn watch(&mut self, peers: BTreeSet<VmId>) {
        self.watched = peers;
    }

    /// Returns the membership changes since the last call of this method.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Announces to all live peers that this daemon is leaving.
    pub fn leave(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        self.leaving = true;
        self.rebuild_indexes();
        let local = LocalState {
            leaving: true,
            ..local.clone()
        };
        let alive = self.peers.values().filter(|peer| peer.alive);
        let recipients: Vec<_> = alive.map(|peer| peer.member.clone()).collect();
        for member in recipients {
            self.send_heartbeat(ctx, &member.vm, member.peer_address, &local, None, false);
        }
    }

    /// Handles a pause of this process. Nothing was received during the pause, so failure timeouts
    /// start anew and heartbeats are sent at once.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        self.resumed_at = ctx.now;
        self.next_round = ctx.now;
        self.next_direct = ctx.now;
    }

    /// Returns the time at which `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let alive = self.peers.values().filter(|peer| peer.alive);
        let expiry = alive
            .map(|peer| {
                peer.expires_at(
                    &self.settings,
                    self.needs_fast_detection(&peer.member),
                    self.resumed_at,
                )
            })
            .min();
        let due = self.next_round.min(self.next_direct).min(self.next_list);
        Some(expiry.map_or(due, |expiry| expiry.min(due)))
    }

    /// Makes heartbeats due on all links, so that a new generation spreads at once.
    fn announce_generation(&mut self, now: Time) {
        self.next_direct = now;
        self.bring_round_forward(now);
        for peer in self.peers.values_mut() {
            peer.last_sent = None;
        }
    }

    /// Makes the next gossip round due within half a heartbeat interval.
    fn bring_round_forward(&mut self, now: Time) {
        let delay_ms = self.settings.heartbeat_interval().get() / 2;
        self.next_round = self.next_round.min(now + Millis::new(delay_ms));
    }

    /// Reports whether the short failure timeout applies: to members of this failure domain and to
    /// watched peers.
    fn needs_fast_detection(&self, member: &Member) -> bool {
        member.domain == self.me.domain || self.watched.contains(&member.vm)
    }

    fn expire_silent(&mut self, ctx: &mut Context<'_>) {
        let expired = |peer: &&Peer| {
            let fast_detection = self.needs_fast_detection(&peer.member);
            peer.alive
                && peer.expires_at(&self.settings, fast_detection, self.resumed_at) <= ctx.now
        };
        let expired: Vec<VmId> = self.peers.values().filter(expired).map(vm_of).collect();
        for vm in expired {
            self.mark_dead(ctx, &vm);
        }
    }

    /// Records a heartbeat received directly from `member`. Returns false if it is from an earlier
    /// run of that daemon.
    fn record_heartbeat(&mut self, ctx: &mut Context<'_>, member: &Member) -> bool {
        if !self.accept_sign_of_life(ctx, member, ctx.now, true) {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.last_heard = Some(ctx.now);
        }
        true
    }

    /// Handles a report, relayed by another member, about a member of another failure domain.
    fn on_relayed(&mut self, ctx: &mut Context<'_>, relayed: &RemoteMember) {
        let member = &relayed.member;
        if member.domain == self.me.domain {
            return;
        }
        let heard = ctx.now - relayed.age_ms;
        let fresh = relayed.age_ms.get() * 2 <= self.settings.relayed_timeout().get();
        if self.accept_sign_of_life(ctx, member, heard, fresh) {
            if let Some(peer) = self.peers.get_mut(&member.vm) {
                peer.last_heard = peer.last_heard.max(Some(heard));
                let generation_advanced = peer.update_generation(relayed.generation);
                if generation_advanced {
                    self.bring_round_forward(ctx.now);
                }
            }
        }
    }

    pub(super) fn add_member(&mut self, ctx: &mut Context<'_>, member: &Member) {
        self.peers
            .insert(member.vm.clone(), Peer::new(member.clone()));
        self.changes.push(MemberChange::Joined(member.clone()));
        log(ctx, member, "joined");
        self.rebuild_indexes();
    }

    pub(super) fn mark_dead(&mut self, ctx: &mut Context<'_>, vm: &VmId) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.alive = false;
        peer.died_at = Some(ctx.now);
        let member = peer.member.clone();
        self.changes.push(MemberChange::Died(member.clone()));
        log(ctx, &member, "died");
        self.rebuild_indexes();
    }

    pub(super) fn rebuild_indexes(&mut self) {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.alive && !peer.leaving);
        let mut members: Vec<Member> = peers.map(|peer| peer.member.clone()).collect();
        if !self.leaving {
            members.push(self.me.clone());
        }
        members.sort();
        let same_domain = self.peers.values().filter(|peer| peer.alive);
        let same_domain = same_domain.map(|peer| &peer.member).chain([&self.me]);
        let same_domain = same_domain.filter(|member| member.domain == self.me.domain);
        self.gossip_ring = GossipRing::new(same_domain.cloned().collect(), &self.me.vm);
        self.live.clear();
        for member in members {
            self.live
                .entry(member.domain.clone())
                .or_default()
                .push(member);
        }
    }

    /// Sends a heartbeat to the partner of the current gossip round and advances to the next round.
    fn run_round(&mut self, ctx: &mut Context<'_>, local: &LocalState) {
        let round_index = self.round_index;
        let partner = self.gossip_ring.partner(round_index).cloned();
        if let Some(to) = partner {
            self.send_heartbeat(
                ctx,
                &to.vm,
                to.peer_address,
                local,
                Some(round_index),
                false,
            );
        }
        self.round_index += 1;
        let gap_ms =
            self.settings.heartbeat_interval().get() * self.gossip_ring.interval_multiplier();
        self.next_round = ctx.now + Millis::new(gap_ms);
    }

    fn send_heartbeat(
        &mut self,
        ctx: &mut Context<'_>,
        to: &VmId,
        address: SocketAddr,
        local: &LocalState,
        round_index: Option<u64>,
        wants_answer: bool,
    ) {
        let known = self.peers.get(to).map(|peer| &peer.member.domain);
        let domain = known.or_else(|| self.listed_vms.get(to).map(|listed_vm| &listed_vm.domain));
        let same_domain = domain == Some(&self.me.domain);
        let digest =
            same_domain.then(|| Box::new(self.digest_for(ctx.now, to, local, round_index)));
        let members = match round_index {
            Some(_) => self.relayed_members(ctx.now),
            None => Vec::new(),
        };
        if let Some(peer) = self.peers.get_mut(to) {
            peer.last_sent = Some(ctx.now);
        }
        let heartbeat = Heartbeat {
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
            message: PeerMessage::Heartbeat(Box::new(heartbeat)),
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
