//! Ways to tell all members of all: rounds, messages and bytes on the same counts.

use crate::fleet::PACKET_OVERHEAD_BYTES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of a heartbeat beside the ages: the sender, its round, generation and flags.
const FIXED_BYTES: u64 = 62;

/// Rounds after which a scheme has failed.
const MOST_ROUNDS: usize = 200;

/// A way to tell all members of all.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scheme {
    /// Each tells every other one.
    AllToAll,
    /// Each tells one other at random.
    Gossip,
    /// Each exchanges with the vertex that differs in one bit; absent vertices are skipped.
    Hypercube,
    /// Each tells the one `2^k` places on.
    Ring,
}

/// What a scheme took until all present members had heard of all.
pub(crate) struct Cost {
    pub(crate) rounds_count: usize,
    /// Messages and bytes sent by one member.
    pub(crate) messages_count: u64,
    pub(crate) sent_bytes: u64,
}

/// Runs a scheme among `count` listed members of which the last `missing` are gone; the worst
/// case over the rounds in which news may arise.
pub(crate) fn worst(scheme: Scheme, count: usize, missing: usize) -> Option<Cost> {
    let runs = (0..2 * bits(count) as u64).map(|start| rounds(scheme, count, missing, start));
    let worst = runs.collect::<Option<Vec<_>>>()?.into_iter().max()?;
    let (messages_count, ages) = match scheme {
        Scheme::AllToAll => ((count - 1) as u64, 0),
        _ => (worst as u64, count as u64),
    };
    Some(Cost {
        rounds_count: worst,
        messages_count,
        sent_bytes: messages_count * (FIXED_BYTES + PACKET_OVERHEAD_BYTES + ages),
    })
}

fn bits(count: usize) -> usize {
    (count - 1)
        .checked_ilog2()
        .map_or(1, |top| top as usize + 1)
}

fn rounds(scheme: Scheme, count: usize, missing: usize, start: u64) -> Option<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(start);
    let gone: Vec<bool> = (0..count)
        .map(|n| missing > 0 && n % count.div_ceil(missing) == 1)
        .collect();
    let present: Vec<usize> = (0..count).filter(|n| !gone[*n]).collect();
    let mut heard = vec![vec![false; count]; count];
    (0..count).for_each(|n| heard[n][n] = true);
    for round in 0..MOST_ROUNDS {
        let before = heard.clone();
        for &from in &present {
            for to in targets(scheme, count, from, start as usize + round, &mut rng) {
                let told = before[from].iter().zip(&mut heard[to]);
                told.for_each(|(told, known)| *known |= told);
            }
        }
        let whole = |n: &usize| present.iter().all(|other| heard[*n][*other]);
        if present.iter().all(whole) {
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
    let step = 1 << (round % bits(count));
    match scheme {
        Scheme::AllToAll => (0..count).collect(),
        Scheme::Gossip => vec![(from + rng.random_range(1..count)) % count],
        Scheme::Hypercube => Some(from ^ step)
            .filter(|to| *to < count)
            .into_iter()
            .collect(),
        Scheme::Ring if (round / bits(count)) % 2 == 0 => vec![(from + step) % count],
        Scheme::Ring => vec![(from + count - step % count) % count],
    }
}
