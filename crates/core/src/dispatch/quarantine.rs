//! Quarantine of what ends the process of each upstream that begins to work on it. One such request after
//! the other would end all upstreams of a service. Requests are known by their fingerprints: those of the
//! shared parts of a prompt, and that of the request as a whole, which its repeats have too.
//!
//! Evidence: a fingerprint was in flight, without an event of an answer, when the process of an upstream ended.
//! That says little by itself, as bystanders' fingerprints were in flight too. These are cleared by the first
//! event of any answer, at any daemon; one that is to blame never gets one. Crashes at the same moment have a
//! cause of their own and count once, unless the request was sent again in between.
//!
//! Verdict: after some crashes without an event in between, requests with the fingerprint are refused. Those
//! that stood beside it at each of the crashes are as suspect, so only requests with all of them are refused:
//! one that has some of them clears these, or shows by a crash which are to blame. Daemons share crashes,
//! events and verdicts, so that a request is refused wherever it arrives.

use super::Crash;
use crate::{
    ids::Fingerprint,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of crashes without an event in between after which a fingerprint is quarantined.
const CRASHES_MAX_COUNT: u32 = 3;

/// Crashes within this time of each other count as one: upstreams of a failure domain end together.
const SAME_MOMENT_MS: Millis = Millis::new(250);

/// Shortest time from sending in which a request may have begun to run.
const RUN_MIN_MS: Millis = Millis::new(10);

/// Time without a crash after which a fingerprint is no longer suspect.
const SUSPICION_MS: Millis = Millis::new(60_000);

/// Time from a fingerprint's quarantine until one request may try it again. Doubles with each try.
const TRIAL_MIN_MS: Millis = Millis::new(60_000);

/// Longest time between two tries.
const TRIAL_MAX_MS: Millis = Millis::new(900_000);

/// Time without a request after which a quarantined fingerprint is forgotten.
const FORGET_MS: Millis = Millis::new(1_800_000);

/// Maximum number of suspect and quarantined fingerprints that are remembered.
const FINGERPRINTS_MAX_LEN: usize = 1_024;

/// Maximum number of companions that are remembered for a fingerprint.
const COMPANIONS_MAX_LEN: usize = 64;

/// A quarantined fingerprint, as daemons tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantinedFingerprint {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The fingerprints that were in flight beside it at each crash.
    pub companions: Vec<Fingerprint>,
}

/// What is known of a fingerprint.
#[derive(Clone, Debug)]
struct Suspect {
    crashes_count: u32,
    crashed_at: Time,
    /// The fingerprints that were in flight beside it at each crash, and are suspect.
    companions: Vec<Fingerprint>,
    quarantine: Option<Verdict>,
}

/// The quarantine of a fingerprint.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    trial_at: Time,
    trial_interval_ms: Millis,
    requested_at: Time,
}

impl Verdict {
    fn new(now: Time) -> Self {
        Self {
            trial_at: now + TRIAL_MIN_MS,
            trial_interval_ms: TRIAL_MIN_MS,
            requested_at: now,
        }
    }
}

impl Suspect {
    /// Sort key: what is worth least to remember comes first.
    fn worth(&self) -> (bool, u32, Time) {
        (
            self.quarantine.is_some(),
            self.crashes_count,
            self.crashed_at,
        )
    }

    /// Whether a crash at this time is counted already: it is one of several at the same moment, under
    /// requests that were sent before. A request that was sent again after a crash, and had time to begin
    /// to run when the next upstream ended, is evidence of its own.
    fn is_counted(&self, lost_at: Time, sent_at: Time) -> bool {
        let same_moment = lost_at < self.crashed_at + SAME_MOMENT_MS;
        let ran_since = sent_at >= self.crashed_at && lost_at >= sent_at + RUN_MIN_MS;
        self.crashes_count > 0 && same_moment && !ran_since
    }

    fn is_expired(&self, now: Time) -> bool {
        match self.quarantine {
            Some(quarantine) => now >= quarantine.requested_at + FORGET_MS,
            None => now >= self.crashed_at + SUSPICION_MS,
        }
    }
}

/// The suspect and quarantined fingerprints.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Records a crash. Returns the fingerprints that are quarantined by it.
    pub fn on_crash(&mut self, now: Time, crash: &Crash) -> Vec<Fingerprint> {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        let mut quarantined = Vec::new();
        for (fingerprint, sent_at) in &crash.in_flight {
            self.make_room(*fingerprint);
            let suspect = self.suspects.entry(*fingerprint).or_insert_with(|| {
                let others = crash.in_flight.keys().filter(|other| *other != fingerprint);
                Suspect {
                    crashes_count: 0,
                    crashed_at: Time::START,
                    companions: others.take(COMPANIONS_MAX_LEN).copied().collect(),
                    quarantine: None,
                }
            });
            if suspect.is_counted(crash.lost_at, *sent_at) {
                continue;
            }
            suspect.crashes_count += 1;
            suspect.crashed_at = crash.lost_at;
            suspect
                .companions
                .retain(|companion| crash.in_flight.contains_key(companion));
            if suspect.crashes_count >= CRASHES_MAX_COUNT && suspect.quarantine.is_none() {
                suspect.quarantine = Some(Verdict::new(now));
                quarantined.push(*fingerprint);
            }
        }
        quarantined
    }

    /// Quarantines a fingerprint on a peer's verdict. Returns whether it was not.
    pub fn quarantine(&mut self, now: Time, verdict: QuarantinedFingerprint) -> bool {
        self.make_room(verdict.fingerprint);
        let QuarantinedFingerprint {
            fingerprint,
            companions,
        } = verdict;
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes_count: CRASHES_MAX_COUNT,
            crashed_at: now,
            companions: companions.clone(),
            quarantine: None,
        });
        suspect
            .companions
            .retain(|companion| companions.contains(companion));
        let is_new = suspect.quarantine.is_none();
        suspect.quarantine.get_or_insert_with(|| Verdict::new(now));
        is_new
    }

    /// Clears fingerprints of a request that an upstream answers. Returns those that were suspect.
    pub fn clear(&mut self, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
        let suspect = fingerprints
            .iter()
            .filter(|fingerprint| self.suspects.remove(*fingerprint).is_some());
        let cleared: Vec<_> = suspect.copied().collect();
        if !cleared.is_empty() {
            for suspect in self.suspects.values_mut() {
                suspect
                    .companions
                    .retain(|fingerprint| !cleared.contains(fingerprint));
            }
        }
        cleared
    }

    /// The first of a request's fingerprints for which it is refused: one that is quarantined, and all of whose
    /// companions the request has as well.
    pub fn find(&self, fingerprints: &[Fingerprint]) -> Option<Fingerprint> {
        let is_quarantined = |fingerprint: &&Fingerprint| {
            let suspect = self.suspects.get(fingerprint);
            suspect.is_some_and(|suspect| {
                let mut companions = suspect.companions.iter();
                suspect.quarantine.is_some()
                    && companions.all(|fingerprint| fingerprints.contains(fingerprint))
            })
        };
        fingerprints.iter().find(is_quarantined).copied()
    }

    /// Records a request with a quarantined fingerprint. Returns whether it tries the fingerprint: if this daemon may
    /// let one do so and a try is due, which postpones the next one.
    pub fn on_request(&mut self, now: Time, fingerprint: Fingerprint, may_try: bool) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(quarantine) = suspect.and_then(|suspect| suspect.quarantine.as_mut()) else {
            return false;
        };
        quarantine.requested_at = now;
        if !may_try || now < quarantine.trial_at {
            return false;
        }
        let doubled_ms = Millis::new(quarantine.trial_interval_ms.get() * 2);
        quarantine.trial_interval_ms = doubled_ms.min(TRIAL_MAX_MS);
        quarantine.trial_at = now + quarantine.trial_interval_ms;
        true
    }

    /// Time until a quarantined fingerprint among these may be tried again.
    pub fn trial_wait_ms(&self, now: Time, fingerprints: &[Fingerprint]) -> Option<Millis> {
        let suspect = self.suspects.get(&self.find(fingerprints)?)?;
        let quarantine = suspect.quarantine.as_ref()?;
        Some(quarantine.trial_at.since(now))
    }

    /// The quarantined fingerprints.
    pub fn quarantined(&self) -> Vec<QuarantinedFingerprint> {
        let fingerprints = self.suspects.keys();
        fingerprints
            .filter_map(|fingerprint| self.verdict(*fingerprint))
            .collect()
    }

    /// A quarantined fingerprint, to be reported to peers.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Option<QuarantinedFingerprint> {
        let suspect = self.suspects.get(&fingerprint)?;
        suspect.quarantine.as_ref()?;
        Some(QuarantinedFingerprint {
            fingerprint,
            companions: suspect.companions.clone(),
        })
    }

    /// Forgets the fingerprint that is worth least, if another one has no room.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < FINGERPRINTS_MAX_LEN || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.worth());
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }
}
