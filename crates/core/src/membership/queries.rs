//! Read access to the membership.

use super::{peer::Peer, Membership};
use crate::{
    ids::{FailureDomain, Generation, Incarnation, VmId},
    message::{CapacitySummary, Member},
};
use std::collections::BTreeSet;

impl Membership {
    /// Returns the live members, including this daemon, with the generation last reported by each.
    pub fn members(&self) -> Vec<(Member, Generation)> {
        let peers = self.peers.values().filter(|peer| peer.alive);
        let mut members: Vec<_> = peers.map(|p| (p.member.clone(), p.generation)).collect();
        members.push((self.me.clone(), self.generation));
        members.sort();
        members
    }

    /// Returns the failure domains that have known VMs but no known live member.
    pub fn unreachable_domains(&self) -> Vec<FailureDomain> {
        let listed_vm_domains = self.listed_vms.values().map(|listed_vm| &listed_vm.domain);
        let known = self.peers.values().map(|peer| &peer.member.domain);
        let domains: BTreeSet<_> = listed_vm_domains.chain(known).collect();
        let unreachable = |domain: &&FailureDomain| {
            let mut alive = self.peers.values().filter(|peer| peer.alive);
            **domain != self.me.domain && !alive.any(|peer| peer.member.domain == **domain)
        };
        domains.into_iter().filter(unreachable).cloned().collect()
    }

    /// Reports whether a failure domain has no daemons: no member is alive, and the platform's last
    /// two lists contain no live VM of the domain.
    pub fn has_no_daemons(&self, domain: &FailureDomain) -> bool {
        let alive = |peer: &Peer| peer.alive && peer.member.domain == *domain;
        let absent = |listed: &Option<BTreeSet<FailureDomain>>| {
            listed
                .as_ref()
                .is_some_and(|listed| !listed.contains(domain))
        };
        *domain != self.me.domain
            && self.listed_domains.iter().all(absent)
            && !self.peers.values().any(alive)
    }

    /// Returns a member that is alive and not leaving.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.me.vm {
            return (!self.leaving).then_some(&self.me);
        }
        let peer = self.peers.get(vm)?;
        (peer.alive && !peer.leaving).then_some(&peer.member)
    }

    /// Returns a live member, including this daemon and members that are leaving.
    pub fn peer(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.me.vm {
            return Some(&self.me);
        }
        self.peers
            .get(vm)
            .filter(|peer| peer.alive)
            .map(|peer| &peer.member)
    }

    /// Reports whether a run of a daemon is alive, including runs that are leaving.
    pub fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        if *vm == self.me.vm {
            return incarnation == self.me.incarnation;
        }
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| peer.alive && peer.member.incarnation == incarnation)
    }

    /// Returns the live members of a failure domain that are not leaving, ordered by name.
    pub fn live_in(&self, domain: &FailureDomain) -> &[Member] {
        self.live.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the last summary received from a live owner.
    pub fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary> {
        self.peers
            .get(vm)
            .filter(|peer| peer.alive)?
            .summary
            .as_ref()
    }

    /// Returns the live member behind a message from the given run, including this daemon and
    /// members that are leaving.
    pub fn sender(&self, vm: &VmId, incarnation: Incarnation) -> Option<&Member> {
        let member = match *vm == self.me.vm {
            true => &self.me,
            false => &self.peers.get(vm).filter(|peer| peer.alive)?.member,
        };
        (member.incarnation == incarnation).then_some(member)
    }
}
