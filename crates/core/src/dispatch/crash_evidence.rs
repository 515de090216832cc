//! What counts as evidence that a fingerprint ends upstreams, what clears it, and how much it takes.
//!
//! Evidence: a request with the fingerprint had been sent to an upstream, had no answer that began more than
//! [`HARMLESS_AFTER_MS`] before, and the upstream's process ended. That says little by itself, as bystanders were
//! in flight too, and several daemons may report the same crash: reports of one process are one crash.
//!
//! Cleared: an upstream lived on for [`HARMLESS_AFTER_MS`] after it had begun to answer a request with the
//! fingerprint, or completed the answer. An answer that has only begun clears crashes that came before an event,
//! as one that ends upstreams so never has any. It does not clear those that came after an event: an upstream
//! may end while it writes the first ones.
//!
//! Proof: [`CRASHES_MIN_COUNT`] crashes since it was cleared, at [`MOMENTS_MIN_COUNT`] moments. Upstreams that end
//! at the same moment count once if a cause of their own is likely: they are of one failure domain, others ended
//! with them that had nothing of the fingerprint, or the request had no time to run there. A request that was sent
//! again in between and had time to run counts again.
//!
//! Fingerprints that were in flight at each of the crashes are as suspect. They are the companions: only a
//! request that has all of them is refused.

use super::Crash;
use crate::{
    ids::Fingerprint,
    units::{Millis, Time},
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Time for which an upstream has lived after it began to answer a request that does not end it. An upstream that
/// ends by what it writes on does so with the first events, which take it a few steps of tens of milliseconds;
/// the rest is for upstreams that are slowed down several times.
pub(super) const HARMLESS_AFTER_MS: Millis = Millis::new(500);

/// Number of crashes after which a fingerprint is to blame.
const CRASHES_MIN_COUNT: usize = 3;

/// Number of moments at which these happened.
const MOMENTS_MIN_COUNT: usize = 2;

/// Crashes within this time of each other happened at the same moment.
const SAME_MOMENT_MS: Millis = Millis::new(250);

/// Time within which the daemons notice that a process ended. Its successor may serve longer under the same entry
/// than this takes, until it has registered.
const SAME_CRASH_MS: Millis = Millis::new(1_000);

/// Shortest time from sending in which a request may have begun to run.
const RUN_MIN_MS: Millis = Millis::new(10);

/// Time from the first news of a crash until it counts: the other daemons that had requests there have reported
/// theirs.
const SETTLE_MS: Millis = Millis::new(250);

/// Time for which a crash is evidence: twice the longest time between two crashes under rare requests that are
/// still held to be related.
const EVIDENCE_MS: Millis = Millis::new(120_000);

/// Maximum number of crashes that are remembered.
const CRASHES_MAX_LEN: usize = 128;

/// Maximum number of suspect fingerprints that are remembered.
const FINGERPRINTS_MAX_LEN: usize = 4_096;

/// Maximum number of companions of a fingerprint.
const COMPANIONS_MAX_LEN: usize = 64;

/// A crash, and what is still suspect of what was in flight.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    counts_at: Time,
    is_settled: bool,
    /// Whether requests of this daemon were in flight.
    is_own: bool,
    /// What was cleared since: a late report of the same crash does not make it suspect again.
    cleared: BTreeSet<Fingerprint>,
}

/// What an answer shows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearing {
    /// An upstream began to answer it.
    Begun,
    /// The upstream lived on after that, or completed the answer.
    Survived,
}

/// A fingerprint that is to blame for crashes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Blamed {
    pub(super) fingerprint: Fingerprint,
    /// What was in flight beside it at each of the crashes.
    pub(super) companions: Vec<Fingerprint>,
    /// Whether an upstream had begun to answer before it ended.
    pub(super) has_begun: bool,
    /// Whether requests of this daemon were in flight at the last crash.
    pub(super) is_own: bool,
}

/// The crashes of late, and the fingerprints that may be to blame for them.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    /// In the order in which they became known.
    crashes: VecDeque<KnownCrash>,
    /// Number of crashes at which each suspect fingerprint was in flight.
    suspects: HashMap<Fingerprint, u32>,
}

impl CrashEvidence {
    /// Whether any fingerprint is suspect.
    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether a crash is evidence against a fingerprint.
    pub(super) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// When the next crash counts.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let unsettled = self.crashes.iter().filter(|known| !known.is_settled);
        unsettled.map(|known| known.counts_at).min()
    }

    /// Records a crash, or what another daemon knows of one.
    pub(super) fn add(&mut self, now: Time, crash: &Crash, is_own: bool) {
        self.expire(now);
        let index = self.find_or_insert(now, crash);
        let known = &mut self.crashes[index];
        known.is_own |= is_own;
        known.crash.lost_at = known.crash.lost_at.min(crash.lost_at);
        for (fingerprint, sent_at) in &crash.in_flight {
            let has_begun = crash.begun.contains(fingerprint);
            if known.cleared.contains(fingerprint) {
                continue;
            }
            let in_flight = &mut known.crash.in_flight;
            let is_new = !in_flight.contains_key(fingerprint);
            if has_begun {
                known.crash.begun.insert(*fingerprint);
            }
            let last = in_flight.entry(*fingerprint).or_insert(*sent_at);
            *last = (*last).max(*sent_at);
            if is_new {
                known.is_settled = false;
                *self.suspects.entry(*fingerprint).or_default() += 1;
            }
        }
        self.make_room();
    }

    fn find_or_insert(&mut self, now: Time, crash: &Crash) -> usize {
        let is_same = |known: &KnownCrash| {
            let is_same_process =
                crash.upstream.is_some() && known.crash.upstream == crash.upstream;
            is_same_process && is_within(crash.lost_at, known.crash.lost_at, SAME_CRASH_MS)
        };
        if let Some(index) = self.crashes.iter().rposition(is_same) {
            return index;
        }
        if self.crashes.len() == CRASHES_MAX_LEN {
            self.forget_oldest();
        }
        self.crashes.push_back(KnownCrash {
            crash: Crash::new(crash.upstream.clone(), crash.lost_at),
            counts_at: now + SETTLE_MS,
            is_settled: false,
            is_own: false,
            cleared: BTreeSet::new(),
        });
        self.crashes.len() - 1
    }

    /// Counts the crashes that are due. Returns what was in flight at each of them and is to blame.
    pub(super) fn settle(&mut self, now: Time) -> Vec<Blamed> {
        let mut fingerprints = BTreeMap::new();
        for known in &mut self.crashes {
            if !known.is_settled && known.counts_at <= now {
                known.is_settled = true;
                let in_flight = known.crash.in_flight.keys();
                fingerprints.extend(in_flight.map(|fingerprint| (*fingerprint, known.is_own)));
            }
        }
        let blamed = fingerprints.into_iter();
        blamed
            .filter_map(|(fingerprint, is_own)| self.blamed(fingerprint, is_own))
            .collect()
    }

    /// Removes what an answer shows to be harmless. Returns the fingerprints of which a crash was evidence.
    pub(super) fn clear(
        &mut self,
        fingerprints: &[Fingerprint],
        clearing: Clearing,
    ) -> Vec<Fingerprint> {
        let suspect = fingerprints
            .iter()
            .filter(|fingerprint| self.suspects.contains_key(*fingerprint));
        let mut cleared: Vec<_> = suspect.copied().collect();
        cleared.retain(|fingerprint| self.clear_one(*fingerprint, clearing));
        cleared
    }

    /// Returns whether any crash was evidence that is removed.
    fn clear_one(&mut self, fingerprint: Fingerprint, clearing: Clearing) -> bool {
        let mut is_cleared = false;
        for known in &mut self.crashes {
            let crash = &mut known.crash;
            let has_begun = crash.begun.contains(&fingerprint);
            if has_begun && clearing == Clearing::Begun {
                continue;
            }
            if crash.in_flight.remove(&fingerprint).is_some() {
                known.cleared.insert(fingerprint);
                forget(&mut self.suspects, fingerprint);
                is_cleared = true;
            }
        }
        is_cleared
    }

    fn blamed(&self, fingerprint: Fingerprint, is_own: bool) -> Option<Blamed> {
        if (self.suspects.get(&fingerprint).copied().unwrap_or(0) as usize) < CRASHES_MIN_COUNT {
            return None;
        }
        let known = self.crashes.iter().filter(|known| known.is_settled);
        let mut crashes: Vec<_> = known
            .map(|known| &known.crash)
            .filter(|crash| crash.in_flight.contains_key(&fingerprint))
            .collect();
        crashes.sort_by_key(|crash| crash.lost_at);
        if !self.is_proof(fingerprint, &crashes) {
            return None;
        }
        let (first, others) = crashes.split_first()?;
        let companions = first.in_flight.keys().filter(|companion| {
            let mut others = others.iter();
            **companion != fingerprint
                && others.all(|crash| crash.in_flight.contains_key(companion))
        });
        Some(Blamed {
            fingerprint,
            companions: companions.take(COMPANIONS_MAX_LEN).copied().collect(),
            has_begun: crashes
                .iter()
                .any(|crash| crash.begun.contains(&fingerprint)),
            is_own,
        })
    }

    /// Whether crashes, in the order of their times, show that a fingerprint is to blame.
    fn is_proof(&self, fingerprint: Fingerprint, crashes: &[&Crash]) -> bool {
        let (mut crashes_count, mut moments_count) = (0, 0);
        let mut moment_at = None;
        let mut domains = BTreeSet::new();
        for crash in crashes {
            let sent_at = crash.in_flight.get(&fingerprint).copied();
            let has_run = sent_at.is_some_and(|at| crash.lost_at >= at + RUN_MIN_MS);
            let same_moment = moment_at.is_some_and(|at: Time| {
                let ran_since = has_run && sent_at >= Some(at);
                is_within(at, crash.lost_at, SAME_MOMENT_MS) && !ran_since
            });
            if !same_moment {
                moment_at = Some(crash.lost_at);
                moments_count += 1;
                domains.clear();
            }
            let domain = crash.upstream.as_ref().map(|upstream| &upstream.domain);
            let is_first = domains.is_empty();
            let is_other_domain = domains.insert(domain);
            let has_own_cause = !has_run || self.others_ended_beside(fingerprint, crash);
            if is_first || (is_other_domain && !has_own_cause) {
                crashes_count += 1;
            }
        }
        crashes_count >= CRASHES_MIN_COUNT && moments_count >= MOMENTS_MIN_COUNT
    }

    /// Whether an upstream that had nothing of a fingerprint ended at the same moment.
    fn others_ended_beside(&self, fingerprint: Fingerprint, crash: &Crash) -> bool {
        let others = self.crashes.iter().map(|known| &known.crash);
        others
            .filter(|other| !other.in_flight.contains_key(&fingerprint))
            .any(|other| is_within(other.lost_at, crash.lost_at, SAME_MOMENT_MS))
    }

    fn expire(&mut self, now: Time) {
        while let Some(oldest) = self.crashes.front() {
            if now < oldest.crash.lost_at + EVIDENCE_MS {
                break;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(known) = self.crashes.pop_front() {
            for fingerprint in known.crash.in_flight.keys() {
                forget(&mut self.suspects, *fingerprint);
            }
        }
    }

    /// Forgets fingerprints that were in flight at one crash only, the oldest first, so that a flood of prompts with
    /// many parts of their own hides nothing.
    fn make_room(&mut self) {
        for known in &mut self.crashes {
            if self.suspects.len() <= FINGERPRINTS_MAX_LEN {
                return;
            }
            let suspects = &mut self.suspects;
            known.crash.in_flight.retain(|fingerprint, _| {
                let is_kept = suspects.get(fingerprint).is_some_and(|count| *count > 1);
                if !is_kept {
                    suspects.remove(fingerprint);
                }
                is_kept
            });
        }
        while self.suspects.len() > FINGERPRINTS_MAX_LEN && !self.crashes.is_empty() {
            self.forget_oldest();
        }
    }
}

/// Whether two times are less than this apart.
fn is_within(a: Time, b: Time, span_ms: Millis) -> bool {
    a < b + span_ms && b < a + span_ms
}

fn forget(suspects: &mut HashMap<Fingerprint, u32>, fingerprint: Fingerprint) {
    if let Some(count) = suspects.get_mut(&fingerprint) {
        *count -= 1;
        if *count == 0 {
            suspects.remove(&fingerprint);
        }
    }
}
