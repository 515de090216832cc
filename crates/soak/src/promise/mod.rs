//! What must hold, judged by what callers and upstreams saw.

mod answers;
mod changes;
mod limits;
mod runs;
mod stops;

use crate::history::Book;
use std::fmt;

/// A promise that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

type Check = fn(&Book) -> Vec<String>;

/// All promises, by name.
const PROMISES: [(&str, Check); 14] = [
    ("whole answers only", answers::whole),
    ("refusals are true", answers::honest),
    ("answered in time", answers::in_time),
    ("proper requests are not denied", answers::not_denied),
    ("served again after the faults", answers::recovered),
    ("not run twice", runs::once),
    ("deadlines handed down", runs::deadlines),
    ("departures followed", runs::departures),
    ("leaving upstreams get no work", changes::leaving),
    (
        "failure domains out of service get no work",
        changes::domains,
    ),
    ("revoked keys are refused", changes::keys),
    ("dropped routes are not served", changes::routes),
    ("cold upstreams and memory", limits::all),
    ("planned stops cut nothing off", stops::clean),
];

/// All breaches so far.
pub fn breaches(book: &Book) -> Vec<Breach> {
    let judged = |(promise, check): &(&'static str, Check)| {
        let promise = *promise;
        let found = check(book).into_iter();
        found
            .map(move |what| Breach { promise, what })
            .collect::<Vec<_>>()
    };
    PROMISES.iter().flat_map(judged).collect()
}
