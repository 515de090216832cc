//! Compares dissemination schemes by rounds, messages and bytes, for equal numbers of members.

use crate::fleet::PACKET_OVERHEAD_BYTES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size of a heartbeat without the ages: sender, round, generation and flags.
const FIXED_BYTES: u64 = 62;

/// Number of rounds after which a scheme counts as failed.
const MAX_ROUNDS: usize = 200;

/// A scheme that spreads information about each member to all members.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scheme {
    /// Each member sends to all others.
    AllToAll,
    /// Each member sends to one random other member.
    Gossip,
    /// Each member exchanges with the hypercube vertex that differs in one bit; absent vertices are
    /// skipped.
    Hypercube,
    /// Each member sends to the one `2^k` positions ahead, in every second cycle `2^k` positions
    /// back.
    Ring,
}

/// Cost of a scheme until all present members have information about all others.
pub(crate) struct Cost {
    pub(crate) rounds_count: usize,
    /// Messages sent per member.
    pub(crate) messages_count: u64,
    /// Bytes sent per member.
    pub(crate) sent_bytes: u64,
}

/// Runs a scheme among `count` listed members, `missing` of which, evenly spaced, are down. Returns
/// the worst case over the rounds in which new information may arise, or `None` if the scheme
/// fails.
pub(crate) fn worst_case(scheme: Scheme, count: usize, missing: usize) -> Option<Cost> {
    let runs =
        (0..2 * rounds_per_cycle(count) as u64).map(|start| rounds(scheme, count, missing, start));
    let worst_case = runs.collect::<Option<Vec<_>>>()?.into_iter().max()?;
    let (messages_count, ages) = match scheme {
        Scheme::AllToAll => ((count - 1) as u64, 0),
        _ => (worst_case as u64, count as u64),
    };
    Some(Cost {
        rounds_count: worst_case,
        messages_count,
        sent_bytes: messages_count * (FIXED_BYTES + PACKET_OVERHEAD_BYTES + ages),
    })
}

fn rounds_per_cycle(count: usize) -> usize {
    (count - 1)
        .checked_ilog2()
        .map_or(1, |top| top as usize + 1)
}

fn rounds(scheme: Scheme, count: usize, missing: usize, start: u64) -> Option<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(start);
    let down: Vec<bool> = (0..count)
        .map(|n| missing > 0 && n % count.div_ceil(missing) == 1)
        .collect();
    let present: Vec<usize> = (0..count).filter(|n| !down[*n]).collect();
    let mut known_by = vec![vec![false; count]; count];
    (0..count).for_each(|n| known_by[n][n] = true);
    for round in 0..MAX_ROUNDS {
        let before = known_by.clone();
        for &from in &present {
            for to in targets(scheme, count, from, start as usize + round, &mut rng) {
                let received = before[from].iter().zip(&mut known_by[to]);
                received.for_each(|(received, known)| *known |= received);
            }
        }
        let complete = |n: &usize| present.iter().all(|other| known_by[*n][*other]);
        if present.iter().all(complete) {
            return Some(round + 1);
        }
    }
    None
}

fn targets(
    scheme: Scheme,
    count: usize,
    from: usize,
    round: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<usize> {
    let step = 1 << (round % rounds_per_cycle(count));
    match scheme {
        Scheme::AllToAll => (0..count).collect(),
        Scheme::Gossip => vec![(from + rng.random_range(1..count)) % count],
        Scheme::Hypercube => Some(from ^ step)
            .filter(|to| *to < count)
            .into_iter()
            .collect(),
        Scheme::Ring if (round / rounds_per_cycle(count)) % 2 == 0 => vec![(from + step) % count],
        Scheme::Ring => vec![(from + count - step % count) % count],
    }
}
