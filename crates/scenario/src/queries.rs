//! Queries about the state of a fleet.

use crate::{Caller, Fleet};
use persimmon_core::{
    decision::Record,
    ids::{FailureDomain, UpstreamId, VmId},
    units::{Millis, Time, Tokens},
};

/// Time that a process has after a pause to end its overdue requests.
const RESUME_MARGIN_MS: Millis = Millis::new(20);

impl Fleet {
    /// Latest time at which a request must have ended: its deadline, or shortly after the last pause
    /// of its VM, because a paused process answers only after it resumes.
    pub fn must_end_by(&self, caller: &Caller) -> Time {
        let resumed_at = self.vms.get(&caller.vm).and_then(|vm| vm.resumed_at);
        let after_resume = resumed_at.map(|at| at + RESUME_MARGIN_MS);
        caller.deadline().max(after_resume.unwrap_or_default())
    }

    /// Returns the failure domain of a VM, if the VM exists.
    pub fn domain_of(&self, vm: &VmId) -> Option<&FailureDomain> {
        self.vms.get(vm).map(|state| &state.member.domain)
    }

    /// KV memory that the streams of all engines hold, in tokens.
    pub fn held_tokens(&self) -> Tokens {
        let held = self.upstreams.values().map(|u| u.held_kv_bytes().get());
        Tokens::new(held.sum())
    }

    /// Number of attempts that were routed to upstreams of a failure domain at or after `since`.
    pub fn routed_to_domain_since(&self, domain: &FailureDomain, since: Time) -> usize {
        let is_in_domain = |upstream: &&UpstreamId| {
            let state = self.upstreams.get(*upstream);
            state.is_some_and(|state| state.config.domain == *domain)
        };
        self.routed_upstreams_since(since)
            .filter(is_in_domain)
            .count()
    }

    /// Number of attempts that were routed to an upstream at or after `since`.
    pub fn routed_to_upstream_since(&self, upstream: &UpstreamId, since: Time) -> usize {
        self.routed_upstreams_since(since)
            .filter(|to| *to == upstream)
            .count()
    }

    fn routed_upstreams_since(&self, since: Time) -> impl Iterator<Item = &UpstreamId> {
        let recent = self.log.iter().filter(move |(at, _, _)| *at >= since);
        recent.filter_map(|(_, _, record)| match record {
            Record::Routed(routed) => Some(&routed.upstream),
            _ => None,
        })
    }
}
