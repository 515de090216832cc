//! Delays, losses and cuts between the processes.

use persimmon_core::{
    ids::{FailureDomain, VmId},
    units::Millis,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Random faults, each in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chances {
    /// A message to a peer is lost.
    pub lost_percent: u32,
    /// A message to a peer or a piece of an answer comes twice.
    pub twice_percent: u32,
    /// An upstream refuses an attempt before any byte.
    pub refused_percent: u32,
    /// An upstream says that it did not run an attempt.
    pub not_run_percent: u32,
    /// The connection to an upstream breaks after it took the attempt.
    pub broken_percent: u32,
    /// An upstream's answer never comes.
    pub silent_percent: u32,
    /// The store takes effect and its answer is lost.
    pub store_lost_percent: u32,
    /// The store refuses a call.
    pub store_down_percent: u32,
    /// The store never answers a call, which may take effect late.
    pub store_late_percent: u32,
}

/// The network.
#[derive(Debug)]
pub struct Network {
    /// Longest delay of a message.
    pub max_delay: Millis,
    /// Random faults.
    pub chances: Chances,
    cut_domains: BTreeSet<FailureDomain>,
    silent_vms: BTreeSet<VmId>,
    cut_from_platform: BTreeSet<FailureDomain>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            max_delay: Millis::new(3),
            chances: Chances::default(),
            cut_domains: BTreeSet::new(),
            silent_vms: BTreeSet::new(),
            cut_from_platform: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Cuts a failure domain off from the others and from the platform, or joins it again.
    pub fn cut(&mut self, domain: &FailureDomain, is_cut: bool) {
        set(&mut self.cut_domains, domain, is_cut);
        set(&mut self.cut_from_platform, domain, is_cut);
    }

    /// Loses all that a VM sends to and gets from its peers, or no more.
    pub fn silence(&mut self, vm: &VmId, is_silent: bool) {
        set(&mut self.silent_vms, vm, is_silent);
    }

    /// Whether two VMs reach each other.
    pub fn joins(&self, one: (&VmId, &FailureDomain), other: (&VmId, &FailureDomain)) -> bool {
        let heard = |vm| !self.silent_vms.contains(vm);
        heard(one.0) && heard(other.0) && self.joins_domains(one.1, other.1)
    }

    /// Whether two failure domains reach each other.
    pub fn joins_domains(&self, one: &FailureDomain, other: &FailureDomain) -> bool {
        one == other || !(self.cut_domains.contains(one) || self.cut_domains.contains(other))
    }

    /// Whether a failure domain reaches the platform.
    pub fn joins_platform(&self, domain: &FailureDomain) -> bool {
        !self.cut_from_platform.contains(domain)
    }

    /// The delay of one message.
    pub fn delay(&self, rng: &mut ChaCha8Rng) -> Millis {
        Millis::new(1 + rng.next_u64() % self.max_delay.get().max(1))
    }
}

fn set<T: Clone + Ord>(items: &mut BTreeSet<T>, item: &T, is_in: bool) {
    if is_in {
        items.insert(item.clone());
    } else {
        items.remove(item);
    }
}

/// True in `percent` of all calls.
pub(crate) fn happens(rng: &mut ChaCha8Rng, percent: u32) -> bool {
    percent > 0 && rng.next_u64() % 100 < u64::from(percent)
}
