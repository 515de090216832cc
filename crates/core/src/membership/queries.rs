//! What other parts read of the members.

use super::{peer::Peer, Membership};
use crate::{
    ids::{FailureDomain, Generation, Incarnation, VmId},
    message::{Member, OwnerSummary},
};
use std::collections::BTreeSet;

impl Membership {
    /// The live members with the generation last heard from each, this daemon included.
    pub fn members(&self) -> Vec<(Member, Generation)> {
        let peers = self.peers.values().filter(|peer| peer.alive);
        let mut members: Vec<_> = peers.map(|p| (p.member.clone(), p.generation)).collect();
        members.push((self.me.clone(), self.generation));
        members.sort();
        members
    }

    /// Failure domains that are known to have VMs and where no live member is known.
    pub fn unreachable_domains(&self) -> Vec<FailureDomain> {
        let hinted = self.hints.values().map(|hint| &hint.domain);
        let known = self.peers.values().map(|peer| &peer.member.domain);
        let domains: BTreeSet<_> = hinted.chain(known).collect();
        let alone = |domain: &&FailureDomain| {
            let mut alive = self.peers.values().filter(|peer| peer.alive);
            **domain != self.me.domain && !alive.any(|peer| peer.member.domain == **domain)
        };
        domains.into_iter().filter(alone).cloned().collect()
    }

    /// Whether a failure domain has no daemon: none is heard, and the platform listed no live VM twice.
    pub fn has_no_daemons(&self, domain: &FailureDomain) -> bool {
        let alive = |peer: &Peer| peer.alive && peer.member.domain == *domain;
        let absent = |listed: &Option<BTreeSet<FailureDomain>>| {
            listed
                .as_ref()
                .is_some_and(|listed| !listed.contains(domain))
        };
        *domain != self.me.domain
            && self.listed.iter().all(absent)
            && !self.peers.values().any(alive)
    }

    /// A member that is alive and not leaving.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.me.vm {
            return (!self.leaving).then_some(&self.me);
        }
        let peer = self.peers.get(vm)?;
        (peer.alive && !peer.leaving).then_some(&peer.member)
    }

    /// A member that is alive, this daemon included; a leaving one counts.
    pub fn peer(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.me.vm {
            return Some(&self.me);
        }
        self.peers
            .get(vm)
            .filter(|peer| peer.alive)
            .map(|peer| &peer.member)
    }

    /// Whether a run is alive; a leaving one counts.
    pub fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        if *vm == self.me.vm {
            return incarnation == self.me.incarnation;
        }
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| peer.alive && peer.member.incarnation == incarnation)
    }

    /// The live members of a failure domain, in the order of their names.
    pub fn live_in(&self, domain: &FailureDomain) -> &[Member] {
        self.live.get(domain).map_or(&[], Vec::as_slice)
    }

    /// The last summary heard from an owner.
    pub fn summary_of(&self, vm: &VmId) -> Option<&OwnerSummary> {
        self.peers
            .get(vm)
            .filter(|peer| peer.alive)?
            .summary
            .as_ref()
    }

    /// The live member that sent a message in this run, this daemon included; a leaving one counts.
    pub fn sender(&self, vm: &VmId, incarnation: Incarnation) -> Option<&Member> {
        let member = match *vm == self.me.vm {
            true => &self.me,
            false => &self.peers.get(vm).filter(|peer| peer.alive)?.member,
        };
        (member.incarnation == incarnation).then_some(member)
    }
}
