//! Who gets heartbeats beside the rounds: watched peers, links between failure domains, new VMs.

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

/// VMs that were not heard yet and are asked at a time.
const CONTACTS_VMS: usize = 4;

/// Most members of other failure domains told of for a new generation in one heartbeat.
const NEWS_LEN: usize = 4;

/// Least time between two heartbeats over a link to another failure domain.
const LINK_GAP: Millis = Millis::new(1_300);

/// Least time between two heartbeats to a watched peer of another failure domain.
const WATCH_GAP: Millis = Millis::new(400);

impl Membership {
    /// Watched peers, links to other failure domains if they fall to this daemon, and VMs unheard.
    pub(super) fn targets(&mut self, now: Time) -> BTreeMap<VmId, SocketAddr> {
        let mut targets = BTreeMap::new();
        let watched = self.watched.iter().filter_map(|vm| self.peers.get(vm));
        let watched = watched.filter(|peer| self.is_due(now, &peer.member.vm, WATCH_GAP));
        for peer in watched.filter(|peer| peer.alive && peer.member.domain != self.me.domain) {
            targets.insert(peer.member.vm.clone(), peer.member.peer_address);
        }
        let hinted = self.hints.values().map(|hint| &hint.domain);
        let known = self.peers.values().map(|peer| &peer.member.domain);
        let domains: BTreeSet<FailureDomain> = hinted.chain(known).cloned().collect();
        for domain in domains.iter().filter(|domain| **domain != self.me.domain) {
            if self.links_to(domain) {
                let links = self.links(domain).into_iter();
                targets.extend(links.filter(|(vm, _)| self.is_due(now, vm, LINK_GAP)));
            }
        }
        targets.extend(self.contacts());
        targets
    }

    /// Whether a peer was sent nothing for a while: an answer to its own heartbeat counts.
    fn is_due(&self, now: Time, vm: &VmId, gap: Millis) -> bool {
        let sent = self.peers.get(vm).and_then(|peer| peer.sent);
        sent.is_none_or(|sent| sent + gap <= now)
    }

    /// Whether this daemon is one of those of its failure domain that link to another one.
    fn links_to(&self, domain: &FailureDomain) -> bool {
        let mut ranked: Vec<_> = self.live_in(&self.me.domain).iter().collect();
        ranked.sort_by_key(|member| Reverse(weight(domain.as_str(), &member.vm)));
        let mut first = ranked.into_iter().take(self.settings.domain_links() + 1);
        first.any(|member| member.vm == self.me.vm)
    }

    /// Its few partners in another failure domain: those alive, else those only listed.
    fn links(&self, domain: &FailureDomain) -> Vec<(VmId, SocketAddr)> {
        let alive = self.live_in(domain).iter();
        let alive = alive.map(|member| (true, member.vm.clone(), member.peer_address));
        let listed = self.hints.values().filter(|hint| hint.domain == *domain);
        let listed = listed.filter(|hint| self.member(&hint.vm).is_none());
        let listed = listed.map(|hint| (false, hint.vm.clone(), hint.peer_address));
        let mut all: Vec<_> = alive.chain(listed).collect();
        let me = self.me.vm.as_str();
        all.sort_by_key(|(alive, vm, _)| Reverse((*alive, weight(me, vm))));
        all.truncate(self.settings.domain_links());
        all.into_iter()
            .map(|(_, vm, address)| (vm, address))
            .collect()
    }

    /// A few listed VMs of the own failure domain that were not heard yet, in turn.
    fn contacts(&mut self) -> Vec<(VmId, SocketAddr)> {
        let unheard = self.hints.values().filter(|hint| {
            let alive = self.peers.get(&hint.vm).is_some_and(|peer| peer.alive);
            !alive && hint.domain == self.me.domain && hint.vm != self.me.vm
        });
        let unheard: Vec<_> = unheard.map(|h| (h.vm.clone(), h.peer_address)).collect();
        let after = unheard
            .iter()
            .position(|(vm, _)| Some(vm) > self.contacted.as_ref());
        let start = after.unwrap_or(0);
        let turn = unheard.iter().cycle().skip(start);
        let chosen: Vec<_> = turn
            .take(unheard.len().min(CONTACTS_VMS))
            .cloned()
            .collect();
        self.contacted = chosen.last().map(|(vm, _)| vm.clone());
        chosen
    }

    /// A few members of other failure domains to tell of, in turn.
    pub(super) fn far_members(&mut self, now: Time) -> Vec<RemoteMember> {
        let mut chosen = self.far_news(now);
        let known = self
            .peers
            .values()
            .filter_map(|peer| self.far_member(now, peer));
        let known: Vec<_> = known.collect();
        let after = known
            .iter()
            .position(|far| Some(&far.member.vm) > self.told.as_ref());
        let turn = known.iter().cycle().skip(after.unwrap_or(0));
        let count = known.len().min(self.settings.relayed());
        chosen.extend(turn.take(count).cloned());
        self.told = chosen.last().map(|far| far.member.vm.clone());
        chosen
    }

    /// Members of other failure domains that apply a new generation.
    fn far_news(&mut self, now: Time) -> Vec<RemoteMember> {
        let fresh = self.peers.values().filter(|peer| peer.news_count > 0);
        let fresh = fresh.filter_map(|peer| self.far_member(now, peer));
        let news: Vec<_> = fresh.take(NEWS_LEN).collect();
        for far in &news {
            if let Some(peer) = self.peers.get_mut(&far.member.vm) {
                peer.news_count -= 1;
            }
        }
        news
    }

    fn far_member(&self, now: Time, peer: &Peer) -> Option<RemoteMember> {
        let age_ms = now.since(peer.heard?);
        let far = peer.alive && !peer.leaving && peer.member.domain != self.me.domain;
        let young = age_ms.get() * 2 <= self.settings.relay().get();
        (far && young).then(|| RemoteMember {
            member: peer.member.clone(),
            age_ms,
            generation: peer.generation,
        })
    }
}

fn weight(name: &str, vm: &VmId) -> u64 {
    xxh3_64(format!("{name}\n{vm}").as_bytes())
}
