//! Recipients of heartbeats outside the gossip rounds: watched peers, links between failure domains
//! and VMs that may join. Also selects the remote members that heartbeats relay.

use super::{peer::Peer, Membership};
use crate::{
    ids::{FailureDomain, VmId},
    message::RemoteMember,
    units::{Millis, Time},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of listed VMs, not yet heard from, that are contacted at a time.
const JOIN_TARGETS_VMS: usize = 4;

/// Maximum number of remote members that a heartbeat relays because of a new generation.
const GENERATION_UPDATES_LEN: usize = 4;

/// Minimum time between two heartbeats over a link to another failure domain.
const LINK_GAP: Millis = Millis::new(1_300);

/// Minimum time between two heartbeats to a watched peer in another failure domain.
const WATCH_GAP: Millis = Millis::new(400);

impl Membership {
    /// Returns the due recipients: watched peers, partners in those failure domains that this
    /// daemon links to, and listed VMs that were not heard from.
    pub(super) fn direct_targets(&mut self, now: Time) -> BTreeMap<VmId, SocketAddr> {
        let mut targets = BTreeMap::new();
        let watched = self.watched.iter().filter_map(|vm| self.peers.get(vm));
        let watched = watched.filter(|peer| self.is_due(now, &peer.member.vm, WATCH_GAP));
        for peer in watched.filter(|peer| peer.alive && peer.member.domain != self.me.domain) {
            targets.insert(peer.member.vm.clone(), peer.member.peer_address);
        }
        let listed_vm_domains = self.listed_vms.values().map(|listed_vm| &listed_vm.domain);
        let known = self.peers.values().map(|peer| &peer.member.domain);
        let domains: BTreeSet<FailureDomain> = listed_vm_domains.chain(known).cloned().collect();
        for domain in domains.iter().filter(|domain| **domain != self.me.domain) {
            if self.links_to(domain) {
                let links = self.link_targets(domain).into_iter();
                targets.extend(links.filter(|(vm, _)| self.is_due(now, vm, LINK_GAP)));
            }
        }
        targets.extend(self.join_targets());
        targets
    }

    /// Reports whether no heartbeat was sent to a peer within `gap`. Answers to the peer's own
    /// heartbeats count as sent.
    fn is_due(&self, now: Time, vm: &VmId, gap: Millis) -> bool {
        let sent = self.peers.get(vm).and_then(|peer| peer.last_sent);
        sent.is_none_or(|sent| sent + gap <= now)
    }

    /// Reports whether this daemon is among the members of its failure domain, chosen by rendezvous
    /// hashing, that link to `domain`.
    fn links_to(&self, domain: &FailureDomain) -> bool {
        let mut ranked: Vec<_> = self.live_in(&self.me.domain).iter().collect();
        ranked.sort_by_key(|member| Reverse(rendezvous_weight(domain.as_str(), &member.vm)));
        let mut first = ranked.into_iter().take(self.settings.domain_links() + 1);
        first.any(|member| member.vm == self.me.vm)
    }

    /// Returns this daemon's partners in another failure domain: live members first, then listed
    /// VMs.
    fn link_targets(&self, domain: &FailureDomain) -> Vec<(VmId, SocketAddr)> {
        let alive = self.live_in(domain).iter();
        let alive = alive.map(|member| (true, member.vm.clone(), member.peer_address));
        let listed = self
            .listed_vms
            .values()
            .filter(|listed_vm| listed_vm.domain == *domain);
        let listed = listed.filter(|listed_vm| self.member(&listed_vm.vm).is_none());
        let listed = listed.map(|listed_vm| (false, listed_vm.vm.clone(), listed_vm.peer_address));
        let mut all: Vec<_> = alive.chain(listed).collect();
        let me = self.me.vm.as_str();
        all.sort_by_key(|(alive, vm, _)| Reverse((*alive, rendezvous_weight(me, vm))));
        all.truncate(self.settings.domain_links());
        all.into_iter()
            .map(|(_, vm, address)| (vm, address))
            .collect()
    }

    /// Returns a few listed VMs of this failure domain without a live member, in rotation.
    fn join_targets(&mut self) -> Vec<(VmId, SocketAddr)> {
        let unseen = self.listed_vms.values().filter(|listed_vm| {
            let alive = self.peers.get(&listed_vm.vm).is_some_and(|peer| peer.alive);
            !alive && listed_vm.domain == self.me.domain && listed_vm.vm != self.me.vm
        });
        let unseen: Vec<_> = unseen.map(|h| (h.vm.clone(), h.peer_address)).collect();
        let after = unseen
            .iter()
            .position(|(vm, _)| Some(vm) > self.last_contacted.as_ref());
        let start = after.unwrap_or(0);
        let rotation = unseen.iter().cycle().skip(start);
        let chosen: Vec<_> = rotation
            .take(unseen.len().min(JOIN_TARGETS_VMS))
            .cloned()
            .collect();
        self.last_contacted = chosen.last().map(|(vm, _)| vm.clone());
        chosen
    }

    /// Returns the remote members to relay in a heartbeat: those with a new generation, and a few
    /// others in rotation.
    pub(super) fn relayed_members(&mut self, now: Time) -> Vec<RemoteMember> {
        let mut chosen = self.generation_updates(now);
        let known = self
            .peers
            .values()
            .filter_map(|peer| self.to_relayed_member(now, peer));
        let known: Vec<_> = known.collect();
        let after = known
            .iter()
            .position(|relayed| Some(&relayed.member.vm) > self.last_relayed.as_ref());
        let rotation = known.iter().cycle().skip(after.unwrap_or(0));
        let count = known.len().min(self.settings.max_relayed_members());
        chosen.extend(rotation.take(count).cloned());
        self.last_relayed = chosen.last().map(|relayed| relayed.member.vm.clone());
        chosen
    }

    /// Returns remote members whose new generation is still to be relayed.
    fn generation_updates(&mut self, now: Time) -> Vec<RemoteMember> {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.generation_relays_left_count > 0);
        let fresh = fresh.filter_map(|peer| self.to_relayed_member(now, peer));
        let updates: Vec<_> = fresh.take(GENERATION_UPDATES_LEN).collect();
        for relayed in &updates {
            if let Some(peer) = self.peers.get_mut(&relayed.member.vm) {
                peer.generation_relays_left_count -= 1;
            }
        }
        updates
    }

    fn to_relayed_member(&self, now: Time, peer: &Peer) -> Option<RemoteMember> {
        let age_ms = now.since(peer.last_heard?);
        let eligible = peer.alive && !peer.leaving && peer.member.domain != self.me.domain;
        let recent = age_ms.get() * 2 <= self.settings.relayed_timeout().get();
        (eligible && recent).then(|| RemoteMember {
            member: peer.member.clone(),
            age_ms,
            generation: peer.generation,
        })
    }
}

fn rendezvous_weight(name: &str, vm: &VmId) -> u64 {
    xxh3_64(format!("{name}\n{vm}").as_bytes())
}
