//! Rendezvous (highest random weight) hashing.

use crate::{
    ids::{FailureDomain, UpstreamId, VmId},
    message::Member,
};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the member that owns an upstream: the one with the highest hash of both names.
pub fn rendezvous_owner<'a>(upstream: &UpstreamId, members: &'a [Member]) -> Option<&'a Member> {
    members
        .iter()
        .max_by_key(|member| (weight(upstream, &member.vm), Reverse(&member.vm)))
}

/// Returns the failure domain, out of `domains`, whose daemons adopt an upstream of a domain that
/// has no daemons.
pub(super) fn adopting_domain<'a>(
    upstream: &UpstreamId,
    domains: impl Iterator<Item = &'a FailureDomain>,
) -> Option<&'a FailureDomain> {
    domains.max_by_key(|domain| (hash(upstream, domain.as_str()), Reverse(*domain)))
}

fn weight(upstream: &UpstreamId, vm: &VmId) -> u64 {
    hash(upstream, vm.as_str())
}

fn hash(upstream: &UpstreamId, name: &str) -> u64 {
    xxh3_64(format!("{name}\n{upstream}").as_bytes())
}
