//! Prompt parts that end the process of each upstream that begins to write an answer on them. One such
//! request after the other would end all upstreams of a service.
//!
//! Evidence: a part was in flight, without an event of its answer, when the process of an upstream ended.
//! That says little by itself, as bystanders' parts were in flight too. A bystander's part is cleared by the
//! first event of any answer on it, at any daemon; a part to blame never gets one. Crashes at the same
//! moment have a cause of their own and count once.
//!
//! Verdict: after some crashes without an event in between, requests with the part are refused. Parts that
//! stood beside it at each of the crashes are as suspect, so only requests with all of them are refused: one
//! that has some of them clears these, or shows by a crash which are to blame. Daemons share crashes, events
//! and verdicts, so that a request is refused wherever it arrives.

use crate::{
    ids::PromptPartId,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Number of crashes without an event in between after which a part is quarantined.
const CRASHES_MAX_COUNT: u32 = 3;

/// Crashes within this time of each other count as one: upstreams of a failure domain end together.
const SAME_MOMENT_MS: Millis = Millis::new(250);

/// Time without a crash after which a part is no longer suspect.
const SUSPICION_MS: Millis = Millis::new(60_000);

/// Time from a part's quarantine until one request may try it again. Doubles with each try.
const TRIAL_MIN_MS: Millis = Millis::new(60_000);

/// Longest time between two tries.
const TRIAL_MAX_MS: Millis = Millis::new(900_000);

/// Time without a request after which a quarantined part is forgotten.
const FORGET_MS: Millis = Millis::new(1_800_000);

/// Maximum number of suspect and quarantined parts that are remembered.
const PARTS_MAX_LEN: usize = 1_024;

/// Maximum number of companions that are remembered for a part.
const COMPANIONS_MAX_LEN: usize = 64;

/// A quarantined part, as daemons tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PromptPartId,
    /// The parts that were in flight beside it at each crash.
    pub companions: Vec<PromptPartId>,
}

/// What is known of a part.
#[derive(Clone, Debug)]
struct Suspect {
    crashes_count: u32,
    crashed_at: Time,
    /// The parts that were in flight beside it at each crash, and are suspect.
    companions: Vec<PromptPartId>,
    quarantine: Option<Quarantine>,
}

/// The quarantine of a part.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    trial_at: Time,
    trial_interval_ms: Millis,
    requested_at: Time,
}

impl Quarantine {
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

    fn is_expired(&self, now: Time) -> bool {
        match self.quarantine {
            Some(quarantine) => now >= quarantine.requested_at + FORGET_MS,
            None => now >= self.crashed_at + SUSPICION_MS,
        }
    }
}

/// The suspect and quarantined prompt parts.
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    parts: HashMap<PromptPartId, Suspect>,
}

impl PromptQuarantine {
    /// Records a crash with these parts in flight. Returns those that are quarantined by it.
    pub fn on_crash(&mut self, now: Time, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        self.parts.retain(|_, suspect| !suspect.is_expired(now));
        let in_flight: HashSet<_> = parts.iter().copied().collect();
        let mut quarantined = Vec::new();
        for part in parts {
            self.make_room(*part);
            let suspect = self.parts.entry(*part).or_insert_with(|| {
                let others = parts.iter().filter(|other| *other != part);
                Suspect {
                    crashes_count: 0,
                    crashed_at: Time::START,
                    companions: others.take(COMPANIONS_MAX_LEN).copied().collect(),
                    quarantine: None,
                }
            });
            let same_moment = now < suspect.crashed_at + SAME_MOMENT_MS;
            if suspect.crashes_count > 0 && same_moment {
                continue;
            }
            suspect.crashes_count += 1;
            suspect.crashed_at = now;
            suspect
                .companions
                .retain(|companion| in_flight.contains(companion));
            if suspect.crashes_count >= CRASHES_MAX_COUNT && suspect.quarantine.is_none() {
                suspect.quarantine = Some(Quarantine::new(now));
                quarantined.push(*part);
            }
        }
        quarantined
    }

    /// Quarantines a part on a peer's verdict. Returns whether it was not.
    pub fn quarantine(&mut self, now: Time, verdict: QuarantinedPart) -> bool {
        self.make_room(verdict.part);
        let QuarantinedPart { part, companions } = verdict;
        let suspect = self.parts.entry(part).or_insert_with(|| Suspect {
            crashes_count: CRASHES_MAX_COUNT,
            crashed_at: now,
            companions: companions.clone(),
            quarantine: None,
        });
        suspect
            .companions
            .retain(|companion| companions.contains(companion));
        let is_new = suspect.quarantine.is_none();
        suspect
            .quarantine
            .get_or_insert_with(|| Quarantine::new(now));
        is_new
    }

    /// Clears parts on which an upstream wrote an event. Returns those that were suspect.
    pub fn clear(&mut self, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        let suspect = parts
            .iter()
            .filter(|part| self.parts.remove(*part).is_some());
        let cleared: Vec<_> = suspect.copied().collect();
        if !cleared.is_empty() {
            for suspect in self.parts.values_mut() {
                suspect.companions.retain(|part| !cleared.contains(part));
            }
        }
        cleared
    }

    /// The first of a prompt's parts for which it is refused: one that is quarantined, and all of whose
    /// companions the prompt has as well.
    pub fn find(&self, parts: &[PromptPartId]) -> Option<PromptPartId> {
        let is_quarantined = |part: &&PromptPartId| {
            let suspect = self.parts.get(part);
            suspect.is_some_and(|suspect| {
                let mut companions = suspect.companions.iter();
                suspect.quarantine.is_some() && companions.all(|part| parts.contains(part))
            })
        };
        parts.iter().find(is_quarantined).copied()
    }

    /// Records a request with a quarantined part. Returns whether it tries the part: if this daemon may
    /// let one do so and a try is due, which postpones the next one.
    pub fn on_request(&mut self, now: Time, part: PromptPartId, may_try: bool) -> bool {
        let suspect = self.parts.get_mut(&part);
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

    /// Time until a quarantined part among these may be tried again.
    pub fn trial_wait_ms(&self, now: Time, parts: &[PromptPartId]) -> Option<Millis> {
        let suspect = self.parts.get(&self.find(parts)?)?;
        let quarantine = suspect.quarantine.as_ref()?;
        Some(quarantine.trial_at.since(now))
    }

    /// The quarantined parts.
    pub fn quarantined(&self) -> Vec<QuarantinedPart> {
        let parts = self.parts.keys();
        parts.filter_map(|part| self.verdict(*part)).collect()
    }

    /// A quarantined part, to be reported to peers.
    pub fn verdict(&self, part: PromptPartId) -> Option<QuarantinedPart> {
        let suspect = self.parts.get(&part)?;
        suspect.quarantine.as_ref()?;
        Some(QuarantinedPart {
            part,
            companions: suspect.companions.clone(),
        })
    }

    /// Forgets the part that is worth least, if another one has no room.
    fn make_room(&mut self, part: PromptPartId) {
        if self.parts.len() < PARTS_MAX_LEN || self.parts.contains_key(&part) {
            return;
        }
        let least = self.parts.iter().min_by_key(|(_, suspect)| suspect.worth());
        if let Some(least) = least.map(|(part, _)| *part) {
            self.parts.remove(&least);
        }
    }
}
