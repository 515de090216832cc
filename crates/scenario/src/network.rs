//! Message delays, losses and partitions between processes.

use persimmon_core::{
    ids::{FailureDomain, VmId},
    units::Millis,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Probabilities of random faults, each in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// A message to a peer is lost.
    pub peer_loss_percent: u32,
    /// A message to a peer or a chunk of an answer is delivered twice.
    pub duplicate_percent: u32,
    /// An upstream refuses the connection of an attempt.
    pub refused_percent: u32,
    /// An upstream rejects an attempt as overloaded, without running it.
    pub not_run_percent: u32,
    /// The connection to an upstream breaks after the upstream accepted the attempt.
    pub broken_percent: u32,
    /// An upstream accepts an attempt and never answers.
    pub no_answer_percent: u32,
    /// A call of the store takes effect and its answer is lost.
    pub store_answer_loss_percent: u32,
    /// The store refuses a call as unavailable.
    pub store_unavailable_percent: u32,
    /// The store never answers a call, which takes effect late.
    pub store_late_percent: u32,
}

/// The network between VMs, upstreams and the platform.
#[derive(Debug)]
pub struct Network {
    /// Maximum delay of a message.
    pub max_delay: Millis,
    /// Probabilities of random faults.
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
    /// Partitions a failure domain from the other domains and from the platform, or reconnects it.
    pub fn set_partitioned(&mut self, domain: &FailureDomain, is_partitioned: bool) {
        insert_or_remove(&mut self.partitioned_domains, domain, is_partitioned);
        insert_or_remove(&mut self.domains_without_platform, domain, is_partitioned);
    }

    /// Drops all messages between a VM and its peers, or stops doing so.
    pub fn set_isolated(&mut self, vm: &VmId, is_isolated: bool) {
        insert_or_remove(&mut self.isolated_vms, vm, is_isolated);
    }

    /// Whether two VMs can reach each other.
    pub fn vms_connected(
        &self,
        one: (&VmId, &FailureDomain),
        other: (&VmId, &FailureDomain),
    ) -> bool {
        let reachable = |vm| !self.isolated_vms.contains(vm);
        reachable(one.0) && reachable(other.0) && self.domains_connected(one.1, other.1)
    }

    /// Whether two failure domains can reach each other.
    pub fn domains_connected(&self, one: &FailureDomain, other: &FailureDomain) -> bool {
        one == other
            || !(self.partitioned_domains.contains(one) || self.partitioned_domains.contains(other))
    }

    /// Whether a failure domain can reach the platform.
    pub fn platform_reachable(&self, domain: &FailureDomain) -> bool {
        !self.domains_without_platform.contains(domain)
    }

    /// Draws the delay of one message: 1 ms to `max_delay`.
    pub fn sample_delay(&self, rng: &mut ChaCha8Rng) -> Millis {
        Millis::new(1 + rng.next_u64() % self.max_delay.get().max(1))
    }
}

fn insert_or_remove<T: Clone + Ord>(items: &mut BTreeSet<T>, item: &T, is_member: bool) {
    if is_member {
        items.insert(item.clone());
    } else {
        items.remove(item);
    }
}

/// Draws whether a fault with a probability of `percent` occurs. Draws nothing at 0 %.
pub(crate) fn fault_occurs(rng: &mut ChaCha8Rng, percent: u32) -> bool {
    percent > 0 && rng.next_u64() % 100 < u64::from(percent)
}
