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
pub struct FaultRates {
    /// A message to a peer is lost.
    pub peer_loss_percent: u32,
    /// A message to a peer or a piece of an answer comes twice.
    pub duplicate_percent: u32,
    /// An upstream refuses an attempt before any byte.
    pub refused_percent: u32,
    /// An upstream says that it did not run an attempt.
    pub not_run_percent: u32,
    /// The connection to an upstream breaks after it took the attempt.
    pub broken_percent: u32,
    /// An upstream's answer never comes.
    pub no_answer_percent: u32,
    /// The store takes effect and its answer is lost.
    pub store_answer_loss_percent: u32,
    /// The store refuses a call.
    pub store_unavailable_percent: u32,
    /// The store never answers a call, which may take effect late.
    pub store_late_percent: u32,
}

/// The network.
#[derive(Debug)]
pub struct Network {
    /// Longest delay of a message.
    pub max_delay: Millis,
    /// Random faults.
    pub fault_rates: FaultRates,
    partitioned_domains: BTreeSet<FailureDomain>,
    isolated_vms: BTreeSet<VmId>,
    domains_without_platform: BTreeSet<FailureDomain>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            max_delay: Millis::new(3),
            fault_rates: FaultRates::default(),
            partitioned_domains: BTreeSet::new(),
            isolated_vms: BTreeSet::new(),
            domains_without_platform: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Cuts a failure domain off from the others and from the platform, or joins it again.
    pub fn set_partitioned(&mut self, domain: &FailureDomain, is_partitioned: bool) {
        set(&mut self.partitioned_domains, domain, is_partitioned);
        set(&mut self.domains_without_platform, domain, is_partitioned);
    }

    /// Loses all that a VM sends to and gets from its peers, or no more.
    pub fn set_isolated(&mut self, vm: &VmId, is_isolated: bool) {
        set(&mut self.isolated_vms, vm, is_isolated);
    }

    /// Whether two VMs reach each other.
    pub fn vms_connected(
        &self,
        one: (&VmId, &FailureDomain),
        other: (&VmId, &FailureDomain),
    ) -> bool {
        let heard = |vm| !self.isolated_vms.contains(vm);
        heard(one.0) && heard(other.0) && self.domains_connected(one.1, other.1)
    }

    /// Whether two failure domains reach each other.
    pub fn domains_connected(&self, one: &FailureDomain, other: &FailureDomain) -> bool {
        one == other
            || !(self.partitioned_domains.contains(one) || self.partitioned_domains.contains(other))
    }

    /// Whether a failure domain reaches the platform.
    pub fn platform_reachable(&self, domain: &FailureDomain) -> bool {
        !self.domains_without_platform.contains(domain)
    }

    /// The delay of one message.
    pub fn sample_delay(&self, rng: &mut ChaCha8Rng) -> Millis {
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
pub(crate) fn fault_occurs(rng: &mut ChaCha8Rng, percent: u32) -> bool {
    percent > 0 && rng.next_u64() % 100 < u64::from(percent)
}
