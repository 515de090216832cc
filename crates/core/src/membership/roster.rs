//! The members of the own failure domain in an agreed order, and who tells whom in which round.

use crate::{ids::VmId, message::Member};
use xxhash_rust::xxh3::Xxh3;

/// Cycles of rounds from one spread of summaries to the next.
const SUMMARY_CYCLES_COUNT: u64 = 2;

/// Rounds of a cycle up to which rounds come half as often.
const SHORT_CYCLE_ROUNDS: u64 = 3;

/// The members of the own failure domain, in the order of their names.
///
/// Round `k` of a cycle tells the member `2^k` places on (in every second cycle: back). After
/// `log2` of their number, rounded up, each has heard of all, whether or not that number is a power
/// of two.
#[derive(Debug, Default)]
pub(super) struct Roster {
    members: Vec<Member>,
    place: usize,
    pub(super) list_id: u32,
}

impl Roster {
    /// The list of `members`, which include `me`.
    pub(super) fn new(mut members: Vec<Member>, me: &VmId) -> Self {
        members.sort();
        let mut hasher = Xxh3::new();
        for member in &members {
            hasher.update(member.vm.as_str().as_bytes());
            hasher.update(&member.incarnation.get().to_le_bytes());
        }
        Self {
            place: members.iter().position(|m| m.vm == *me).unwrap_or(0),
            list_id: hasher.digest() as u32,
            members,
        }
    }

    pub(super) fn members(&self) -> &[Member] {
        &self.members
    }

    /// Rounds after which each has heard of all.
    fn cycle(&self) -> u64 {
        let others = self.members.len().saturating_sub(1);
        u64::from(others.checked_ilog2().map_or(1, |top| top + 1))
    }

    /// Heartbeat intervals from one round to the next: few members need fewer rounds.
    pub(super) fn stretch(&self) -> u64 {
        match self.cycle() {
            0..=SHORT_CYCLE_ROUNDS => 2,
            _ => 1,
        }
    }

    /// Whom to tell in a round.
    pub(super) fn partner(&self, round_index: u64) -> Option<&Member> {
        let count = self.members.len();
        if count < 2 {
            return None;
        }
        let cycle = self.cycle();
        let step = (1 << (round_index % cycle)) % count;
        let place = match (round_index / cycle) % 2 {
            0 => self.place + step,
            _ => self.place + count - step,
        };
        self.members.get(place % count)
    }

    /// The spread of summaries that a round belongs to, if any.
    pub(super) fn spread(&self, round_index: u64) -> Option<u64> {
        let span = self.cycle() * SUMMARY_CYCLES_COUNT;
        (round_index % span < self.cycle()).then_some(round_index / span)
    }
}
