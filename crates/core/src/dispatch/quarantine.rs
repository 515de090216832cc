//! Quarantine of what ends the process of each upstream that begins to work on it. One such request after
//! the other would end all upstreams of a service. Requests are known by their fingerprints: those of the
//! shared parts of a prompt, and that of the request as a whole, which its repeats have too.
//!
//! Which fingerprints are to blame is decided in `crash_evidence.rs`. Requests with such a fingerprint and all
//! its companions are refused: a request that has some of them clears these, or shows by a crash which are to
//! blame. Daemons share crashes, clearings and verdicts, so that a request is refused wherever it arrives.

use super::{
    crash_evidence::{Blamed, Clearing, CrashEvidence},
    Crash,
};
use crate::{
    ids::Fingerprint,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Time from a fingerprint's quarantine until one request may try it again. Doubles with each try.
const TRIAL_MIN_MS: Millis = Millis::new(60_000);

/// Longest time between two tries.
const TRIAL_MAX_MS: Millis = Millis::new(900_000);

/// Time without a request after which a quarantined fingerprint is forgotten.
const FORGET_MS: Millis = Millis::new(1_800_000);

/// Maximum number of quarantined fingerprints.
const QUARANTINED_MAX_LEN: usize = 1_024;

/// A quarantined fingerprint, as daemons tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantinedFingerprint {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The fingerprints that were in flight beside it at each crash.
    pub companions: Vec<Fingerprint>,
}

/// The quarantine of a fingerprint.
#[derive(Clone, Debug)]
struct Verdict {
    companions: Vec<Fingerprint>,
    /// What ends it; none if it is a peer's, and the crashes are not known here.
    cleared_by: Option<Clearing>,
    trial_at: Time,
    trial_interval_ms: Millis,
    requested_at: Time,
}

impl Verdict {
    fn new(now: Time, companions: Vec<Fingerprint>, cleared_by: Option<Clearing>) -> Self {
        Self {
            companions,
            cleared_by,
            trial_at: now + TRIAL_MIN_MS,
            trial_interval_ms: TRIAL_MIN_MS,
            requested_at: now,
        }
    }
}

/// A verdict that was found here.
#[derive(Clone, Debug, PartialEq)]
pub struct NewVerdict {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether requests of this daemon were in flight at the last crash, so that it is to tell the peers.
    pub is_own: bool,
}

/// The suspect and quarantined fingerprints.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: CrashEvidence,
    verdicts: HashMap<Fingerprint, Verdict>,
}

impl Quarantine {
    /// Whether any fingerprint is suspect or quarantined.
    pub fn has_suspects(&self) -> bool {
        self.evidence.has_suspects() || !self.verdicts.is_empty()
    }

    /// When [`Quarantine::settle`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.evidence.next_wakeup()
    }

    /// Records a crash under requests of this daemon, or of a peer.
    pub fn on_crash(&mut self, now: Time, crash: &Crash, is_own: bool) {
        self.evidence.add(now, crash, is_own);
    }

    /// Counts the crashes of which all daemons have told. Returns the fingerprints that are quarantined by them.
    pub fn settle(&mut self, now: Time) -> Vec<NewVerdict> {
        self.verdicts
            .retain(|_, verdict| now < verdict.requested_at + FORGET_MS);
        let mut new = Vec::new();
        for blamed in self.evidence.settle(now) {
            let Blamed {
                fingerprint,
                companions,
                has_begun,
                is_own,
            } = blamed;
            let cleared_by = if has_begun {
                Clearing::Survived
            } else {
                Clearing::Begun
            };
            if self.add_verdict(now, fingerprint, companions, Some(cleared_by)) {
                new.push(NewVerdict {
                    fingerprint,
                    is_own,
                });
            }
        }
        new
    }

    /// Quarantines a fingerprint on a peer's verdict. Returns whether it was not.
    pub fn quarantine(&mut self, now: Time, verdict: QuarantinedFingerprint) -> bool {
        let QuarantinedFingerprint {
            fingerprint,
            companions,
        } = verdict;
        self.add_verdict(now, fingerprint, companions, None)
    }

    /// Quarantines a fingerprint beside these companions, or those of them that were known. Returns whether it was
    /// not quarantined.
    fn add_verdict(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        companions: Vec<Fingerprint>,
        cleared_by: Option<Clearing>,
    ) -> bool {
        if let Some(known) = self.verdicts.get_mut(&fingerprint) {
            known.cleared_by = cleared_by.or(known.cleared_by);
            known
                .companions
                .retain(|companion| companions.contains(companion));
            return false;
        }
        if self.verdicts.len() == QUARANTINED_MAX_LEN {
            let verdicts = self.verdicts.iter();
            let oldest = verdicts.min_by_key(|(_, verdict)| verdict.requested_at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.verdicts.remove(&oldest);
            }
        }
        self.verdicts
            .insert(fingerprint, Verdict::new(now, companions, cleared_by));
        true
    }

    /// Clears fingerprints of a request that an upstream answers. Returns those that were suspect. If the crashes are
    /// not known here, an answer that has only begun is not enough.
    pub fn clear(&mut self, fingerprints: &[Fingerprint], clearing: Clearing) -> Vec<Fingerprint> {
        let is_enough = |needed| clearing == Clearing::Survived || needed == Some(clearing);
        self.clear_where(fingerprints, clearing, is_enough)
    }

    /// Clears fingerprints that a peer cleared. If the crashes are not known here, the peer knows what is enough.
    pub fn clear_reported(
        &mut self,
        fingerprints: &[Fingerprint],
        clearing: Clearing,
    ) -> Vec<Fingerprint> {
        let is_enough = |needed: Option<Clearing>| {
            clearing == Clearing::Survived || needed.is_none_or(|needed| needed == clearing)
        };
        self.clear_where(fingerprints, clearing, is_enough)
    }

    fn clear_where(
        &mut self,
        fingerprints: &[Fingerprint],
        clearing: Clearing,
        is_enough: impl Fn(Option<Clearing>) -> bool,
    ) -> Vec<Fingerprint> {
        let mut cleared = self.evidence.clear(fingerprints, clearing);
        for fingerprint in fingerprints {
            let verdict = self.verdicts.get(fingerprint);
            if verdict.is_some_and(|verdict| is_enough(verdict.cleared_by)) {
                self.verdicts.remove(fingerprint);
                cleared.push(*fingerprint);
            }
        }
        cleared.sort_unstable();
        cleared.dedup();
        let evidence = &self.evidence;
        let is_harmless = |fingerprint: &Fingerprint| {
            cleared.contains(fingerprint) && !evidence.is_suspect(*fingerprint)
        };
        for verdict in self.verdicts.values_mut() {
            verdict
                .companions
                .retain(|fingerprint| !is_harmless(fingerprint));
        }
        cleared
    }

    /// The first of a request's fingerprints for which it is refused: one that is quarantined, and all of whose
    /// companions the request has as well.
    pub fn find(&self, fingerprints: &[Fingerprint]) -> Option<Fingerprint> {
        let is_refused = |fingerprint: &&Fingerprint| {
            let verdict = self.verdicts.get(fingerprint);
            verdict.is_some_and(|verdict| {
                let mut companions = verdict.companions.iter();
                companions.all(|fingerprint| fingerprints.contains(fingerprint))
            })
        };
        fingerprints.iter().find(is_refused).copied()
    }

    /// Records a request with a quarantined fingerprint. Returns whether it tries the fingerprint: if this daemon may
    /// let one do so and a try is due, which postpones the next one.
    pub fn on_request(&mut self, now: Time, fingerprint: Fingerprint, may_try: bool) -> bool {
        let Some(verdict) = self.verdicts.get_mut(&fingerprint) else {
            return false;
        };
        verdict.requested_at = now;
        if !may_try || now < verdict.trial_at {
            return false;
        }
        let doubled_ms = Millis::new(verdict.trial_interval_ms.get() * 2);
        verdict.trial_interval_ms = doubled_ms.min(TRIAL_MAX_MS);
        verdict.trial_at = now + verdict.trial_interval_ms;
        true
    }

    /// Time until a quarantined fingerprint among these may be tried again.
    pub fn trial_wait_ms(&self, now: Time, fingerprints: &[Fingerprint]) -> Option<Millis> {
        let verdict = self.verdicts.get(&self.find(fingerprints)?)?;
        Some(verdict.trial_at.since(now))
    }

    /// The quarantined fingerprints.
    pub fn quarantined(&self) -> Vec<QuarantinedFingerprint> {
        let fingerprints = self.verdicts.keys();
        fingerprints
            .filter_map(|fingerprint| self.verdict(*fingerprint))
            .collect()
    }

    /// A quarantined fingerprint, to be reported to peers.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Option<QuarantinedFingerprint> {
        let verdict = self.verdicts.get(&fingerprint)?;
        Some(QuarantinedFingerprint {
            fingerprint,
            companions: verdict.companions.clone(),
        })
    }
}
