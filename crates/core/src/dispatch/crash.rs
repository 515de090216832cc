//! The end of an upstream's process, as evidence against what was in flight there.

use crate::{
    fleet::UpstreamIncarnation,
    ids::{FailureDomain, Fingerprint},
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An upstream whose process ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedUpstream {
    /// The process.
    pub incarnation: UpstreamIncarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// The end of an upstream's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The upstream; none if the build that reported the crash does not say.
    pub upstream: Option<EndedUpstream>,
    /// When the first connection to the upstream broke.
    pub lost_at: Time,
    /// What may have ended the process, and when it was sent there last.
    pub in_flight: BTreeMap<Fingerprint, Time>,
    /// Those in flight of which the upstream had begun to answer a request.
    pub begun: BTreeSet<Fingerprint>,
}

impl Crash {
    /// A crash with nothing in flight.
    pub const fn new(upstream: Option<EndedUpstream>, lost_at: Time) -> Self {
        Self {
            upstream,
            lost_at,
            in_flight: BTreeMap::new(),
            begun: BTreeSet::new(),
        }
    }

    /// Adds the fingerprints of a request that was lost, before or after its answer began.
    pub fn add_lost(&mut self, fingerprints: &[Fingerprint], sent_at: Time, has_begun: bool) {
        if has_begun {
            self.begun.extend(fingerprints);
        }
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
    /// The crash of an upstream, in times of this daemon.
    pub fn crash(&self, upstream: Option<EndedUpstream>, now: Time) -> Crash {
        let in_flight = self.in_flight.iter();
        Crash {
            upstream,
            lost_at: now - self.lost_ms,
            in_flight: in_flight
                .map(|(fingerprint, sent_ms)| (*fingerprint, now - *sent_ms))
                .collect(),
            begun: BTreeSet::new(),
        }
    }
}

/// A crash and the upstream that ended, as daemons tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashNotice {
    /// The upstream.
    pub upstream: EndedUpstream,
    /// The crash.
    pub report: CrashReport,
    /// Those in flight of which the upstream had begun to answer a request.
    pub begun: Vec<Fingerprint>,
}

impl CrashNotice {
    /// The crash, in times of this daemon.
    pub fn crash(self, now: Time) -> Crash {
        Crash {
            begun: self.begun.into_iter().collect(),
            ..self.report.crash(Some(self.upstream), now)
        }
    }
}
