//! The end of an upstream's process, as evidence against what was in flight there.

use crate::{
    ids::Fingerprint,
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The end of an upstream's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// When the first connection to the upstream broke.
    pub lost_at: Time,
    /// What was in flight there without an event of an answer, and when it was sent there last.
    pub in_flight: BTreeMap<Fingerprint, Time>,
}

impl Crash {
    /// A crash with nothing in flight.
    pub const fn new(lost_at: Time) -> Self {
        Self {
            lost_at,
            in_flight: BTreeMap::new(),
        }
    }

    /// Adds the fingerprints of a request that was lost.
    pub fn add_lost(&mut self, fingerprints: &[Fingerprint], sent_at: Time) {
        for fingerprint in fingerprints {
            let last = self.in_flight.entry(*fingerprint).or_insert(sent_at);
            *last = sent_at.max(*last);
        }
    }

    /// The crash as reported to peers, whose clocks differ.
    pub fn report(&self, now: Time) -> CrashReport {
        let in_flight = self.in_flight.iter();
        CrashReport {
            lost_ms: now.since(self.lost_at),
            in_flight: in_flight
                .map(|(fingerprint, sent_at)| (*fingerprint, now.since(*sent_at)))
                .collect(),
        }
    }
}

/// A crash, as daemons tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// Time since the first connection to the upstream broke.
    pub lost_ms: Millis,
    /// What was in flight there, and the time since it was sent there last.
    pub in_flight: Vec<(Fingerprint, Millis)>,
}

impl CrashReport {
    /// The crash, in times of this daemon.
    pub fn crash(&self, now: Time) -> Crash {
        let in_flight = self.in_flight.iter();
        Crash {
            lost_at: now - self.lost_ms,
            in_flight: in_flight
                .map(|(fingerprint, sent_ms)| (*fingerprint, now - *sent_ms))
                .collect(),
        }
    }
}
