//! What can be asked of a fleet.

use crate::{Caller, Fleet};
use persimmon_core::{
    decision::Record,
    ids::{FailureDomain, UpstreamId, VmId},
    units::{Millis, Time, Tokens},
};

/// Time in which a process that was paused ends what is overdue.
const RESUME_MARGIN_MS: Millis = Millis::new(20);

impl Fleet {
    /// When a request must have ended at the latest: a paused process speaks when it goes on.
    pub fn must_end_by(&self, caller: &Caller) -> Time {
        let resumed_at = self.vms.get(&caller.vm).and_then(|vm| vm.resumed_at);
        let after_pause = resumed_at.map(|at| at + RESUME_MARGIN_MS);
        caller.deadline().max(after_pause.unwrap_or_default())
    }

    /// The failure domain of a VM.
    pub fn domain_of(&self, vm: &VmId) -> Option<&FailureDomain> {
        self.vms.get(vm).map(|state| &state.member.domain)
    }

    /// Memory that all engines' streams hold, in tokens.
    pub fn held_tokens(&self) -> Tokens {
        let held = self.upstreams.values().map(|u| u.held_kv_bytes().get());
        Tokens::new(held.sum())
    }

    /// Attempts that were routed to upstreams of a failure domain at or after a time.
    pub fn routed_to_domain_since(&self, domain: &FailureDomain, since: Time) -> usize {
        let is_inside = |upstream: &&UpstreamId| {
            let state = self.upstreams.get(*upstream);
            state.is_some_and(|state| state.config.domain == *domain)
        };
        self.routed_upstreams_since(since).filter(is_inside).count()
    }

    /// Attempts that were routed to an upstream at or after a time.
    pub fn routed_to_upstream_since(&self, upstream: &UpstreamId, since: Time) -> usize {
        self.routed_upstreams_since(since)
            .filter(|to| *to == upstream)
            .count()
    }

    fn routed_upstreams_since(&self, since: Time) -> impl Iterator<Item = &UpstreamId> {
        let late = self.log.iter().filter(move |(at, _, _)| *at >= since);
        late.filter_map(|(_, _, record)| match record {
            Record::Routed(routed) => Some(&routed.upstream),
            _ => None,
        })
    }
}
