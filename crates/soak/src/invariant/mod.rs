//! Invariants of a run, checked against what callers, upstreams and operators observed.

mod answers;
mod budget;
mod changes;
mod limits;
mod links;
mod rates;
mod runs;
mod stops;

pub(crate) use budget::ALLOWANCE_REQUESTS;

use crate::history::IndexedHistory;
use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Description of the violation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

type Check = fn(&IndexedHistory) -> Vec<String>;

/// All invariants with their names. Output shows the names.
const INVARIANTS: [(&str, Check); 20] = [
    ("whole answers only", answers::complete),
    ("refusals are true", answers::refused_not_run),
    ("answered in time", answers::by_deadline),
    ("proper requests are not denied", answers::not_denied),
    ("served again after the faults", answers::recovered),
    ("served without links to upstreams", links::served_alike),
    ("not run twice", runs::at_most_once),
    ("deadlines handed down", runs::deadlines),
    ("departures followed", runs::callers_left),
    ("leaving upstreams get no work", changes::draining_upstreams),
    (
        "failure domains out of service get no work",
        changes::drained_domains,
    ),
    (
        "upstreams that said that they leave get no work",
        changes::leaving_upstreams,
    ),
    ("changes once known hold", changes::known_changes),
    ("backoff of upstreams is kept", limits::backoff),
    ("rates that upstreams state are kept", rates::stated_rates),
    ("retry budget of all daemons", budget::retries),
    ("revoked keys are refused", changes::revoked_keys),
    ("dropped routes are not served", changes::removed_routes),
    ("cold upstreams and memory", limits::cold_and_memory),
    ("planned stops cut nothing off", stops::planned_stops),
];

/// Checks all invariants.
pub fn violations(history: &IndexedHistory) -> Vec<Violation> {
    let check_one = |(invariant, check): &(&'static str, Check)| {
        let invariant = *invariant;
        let found = check(history).into_iter();
        found
            .map(move |detail| Violation { invariant, detail })
            .collect::<Vec<_>>()
    };
    INVARIANTS.iter().flat_map(check_one).collect()
}
