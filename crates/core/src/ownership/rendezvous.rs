//! Rendezvous hashing.

use crate::{
    ids::{UpstreamId, VmId},
    message::Member,
};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// The member that owns an upstream: the one with the highest hash of both names.
pub fn rendezvous<'a>(upstream: &UpstreamId, members: &'a [Member]) -> Option<&'a Member> {
    members
        .iter()
        .max_by_key(|member| (weight(upstream, &member.vm), Reverse(&member.vm)))
}

fn weight(upstream: &UpstreamId, vm: &VmId) -> u64 {
    let text = format!("{vm}\n{upstream}");
    xxh3_64(text.as_bytes())
}
