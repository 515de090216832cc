//! Gossip schedule inside a failure domain: members in an agreed order, and the partner per round.

use crate::{ids::VmId, message::Member};
use xxhash_rust::xxh3::Xxh3;

/// Number of gossip cycles from the start of one summary dissemination to the start of the next.
const SUMMARY_CYCLES_COUNT: u64 = 2;

/// Cycles of at most this many rounds run at half the round rate.
const SHORT_CYCLE_ROUNDS: u64 = 3;

/// The members of this failure domain as a ring, ordered by name.
///
/// In round `k` of a cycle each member sends to the member `2^k` positions ahead, in every second
/// cycle to the one `2^k` positions back. After `ceil(log2(n))` rounds each of the `n` members has
/// information about all others, also if `n` is not a power of two.
#[derive(Debug, Default)]
pub(super) struct GossipRing {
    members: Vec<Member>,
    /// Position of this daemon.
    position: usize,
    /// Hash of the members and their runs.
    pub(super) list_id: u32,
}

impl GossipRing {
    /// Creates the ring of `members`, which include `me`.
    pub(super) fn new(mut members: Vec<Member>, me: &VmId) -> Self {
        members.sort();
        let mut hasher = Xxh3::new();
        for member in &members {
            hasher.update(member.vm.as_str().as_bytes());
            hasher.update(&member.incarnation.get().to_le_bytes());
        }
        Self {
            position: members.iter().position(|m| m.vm == *me).unwrap_or(0),
            list_id: hasher.digest() as u32,
            members,
        }
    }

    pub(super) fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of rounds after which each member has information about all others.
    fn rounds_per_cycle(&self) -> u64 {
        let others = self.members.len().saturating_sub(1);
        u64::from(others.checked_ilog2().map_or(1, |top| top + 1))
    }

    /// Returns the number of heartbeat intervals between two rounds: 2 in a small domain, whose
    /// cycles have few rounds, otherwise 1.
    pub(super) fn interval_multiplier(&self) -> u64 {
        match self.rounds_per_cycle() {
            0..=SHORT_CYCLE_ROUNDS => 2,
            _ => 1,
        }
    }

    /// Returns the member that this daemon sends to in a round.
    pub(super) fn partner(&self, round_index: u64) -> Option<&Member> {
        let count = self.members.len();
        if count < 2 {
            return None;
        }
        let rounds_per_cycle = self.rounds_per_cycle();
        let step = (1 << (round_index % rounds_per_cycle)) % count;
        let position = match (round_index / rounds_per_cycle) % 2 {
            0 => self.position + step,
            _ => self.position + count - step,
        };
        self.members.get(position % count)
    }

    /// Returns the index of the summary dissemination that a round belongs to, if any: summaries
    /// travel during the first of every `SUMMARY_CYCLES_COUNT` cycles.
    pub(super) fn summary_dissemination(&self, round_index: u64) -> Option<u64> {
        let span = self.rounds_per_cycle() * SUMMARY_CYCLES_COUNT;
        (round_index % span < self.rounds_per_cycle()).then_some(round_index / span)
    }
}
