//! Invariants of the load on upstreams.

use crate::{
    history::{Component, DaemonIndex, IndexedHistory, Observation},
    testbed::COLD_PER_S,
};
use persimmon_core::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::{collections::HashMap, sync::Arc};

/// Factor on the stated rate of a cold upstream, and number of requests beyond it that are allowed
/// (`coldOverage` and `coldSlack` of the sites).
const COLD_OVERAGE_RATIO: f64 = 1.5;
const COLD_SLACK_REQUESTS: f64 = 5.0;

/// Window in which the requests to a cold upstream are counted.
const WINDOW_MS: Millis = Millis::new(1_000);

/// Time after the last use of reserved memory by which it must be released (`freeMs` of the
/// sites).
const RELEASE_LIMIT_MS: Millis = Millis::new(4_000);

/// Time after an upstream turned a request away from which requests of the same daemon count, and how
/// many it may get until the time that it asked for is over.
const BACKOFF_LEAD_MS: Millis = Millis::new(500);
const BACKOFF_REQUESTS_LEN: usize = 2;

/// Allowance for orders in flight on a busy machine.
const SLACK_MS: Millis = Millis::new(250);

/// Cold upstreams get no more than their stated rate allows, and reserved memory is released.
pub(super) fn cold_and_memory(history: &IndexedHistory) -> Vec<String> {
    let mut found = cold(history);
    found.extend(memory(history));
    found
}

/// An upstream that turned a request away for a time gets at most two more from that daemon until then.
pub(super) fn backoff(history: &IndexedHistory) -> Vec<String> {
    let turned_away = |seen: &Observation| match seen {
        Observation::TurnedAway {
            request_id,
            upstream,
            for_ms,
        } => Some((
            history.request(request_id)?.daemon,
            upstream.clone(),
            *for_ms,
        )),
        _ => None,
    };
    let mut arrivals: HashMap<(DaemonIndex, UpstreamId), Vec<Time>> = HashMap::new();
    for request in &history.requests {
        for run in &request.runs {
            let key = (request.daemon, run.upstream.clone());
            arrivals.entry(key).or_default().push(run.at);
        }
    }
    let refusals = history.events.iter();
    let refusals: Vec<_> = refusals
        .filter_map(|(at, seen)| Some((*at, turned_away(seen)?)))
        .collect();
    for (at, (daemon, upstream, _)) in &refusals {
        let key = (*daemon, upstream.clone());
        arrivals.entry(key).or_default().push(*at);
    }
    let mut found = Vec::new();
    for (at, (daemon, upstream, for_ms)) in refusals {
        let (from, until) = (at + BACKOFF_LEAD_MS, at + for_ms);
        let times = arrivals.get(&(daemon, upstream.clone()));
        let inside = |time: &&Time| **time >= from && **time <= until;
        let len = times.map_or(0, |times| times.iter().filter(inside).count());
        let fault_free = history.process_fault_free(daemon, at, until)
            && history.fault_free(&Component::from(&upstream), at, until);
        if len > BACKOFF_REQUESTS_LEN && fault_free {
            found.push(format!("{upstream} got {len} requests of daemon {daemon}"));
        }
    }
    found.sort();
    found.dedup();
    found
}

fn cold(history: &IndexedHistory) -> Vec<String> {
    let limit = COLD_PER_S * COLD_OVERAGE_RATIO + COLD_SLACK_REQUESTS;
    let mut starts: HashMap<&UpstreamId, Vec<Time>> = HashMap::new();
    for run in history.requests.iter().flat_map(|request| &request.runs) {
        starts.entry(&run.upstream).or_default().push(run.at);
    }
    let mut found = Vec::new();
    for (at, seen) in &history.events {
        let Observation::UpstreamCold { upstream, for_ms } = seen else {
            continue;
        };
        let mut times = starts.get(upstream).cloned().unwrap_or_default();
        times.sort();
        times.retain(|time| *time >= *at && *time <= *at + *for_ms);
        let window_len = |start: &Time| {
            let inside = |time: &&Time| **time >= *start && **time < *start + WINDOW_MS;
            times.iter().filter(inside).count()
        };
        let peak = times.iter().map(window_len).max().unwrap_or_default();
        if peak as f64 > limit {
            found.push(format!(
                "{upstream} got {peak} requests in a second while cold"
            ));
        }
    }
    found
}

fn memory(history: &IndexedHistory) -> Vec<String> {
    let mut held: HashMap<&Arc<str>, Time> = HashMap::new();
    for (at, seen) in &history.events {
        match seen {
            Observation::MemoryReserved { ticket } => {
                held.entry(ticket).or_insert(*at);
            }
            Observation::MemoryReleased { ticket } => {
                held.remove(ticket);
            }
            _ => {}
        }
    }
    let used_until = |ticket: &str| {
        let of_ticket =
            |request: &&crate::history::RequestRecord| ticket.starts_with(&*request.request_id);
        let request = history.requests.iter().find(of_ticket)?;
        let ends = request
            .runs
            .iter()
            .map(|run| run.ended_at.unwrap_or(history.now));
        ends.chain(request.ended_at).chain(request.left_at).max()
    };
    let mut found = Vec::new();
    for (ticket, since) in held {
        let last = used_until(ticket).unwrap_or(since).max(since);
        if history.now > last + RELEASE_LIMIT_MS + SLACK_MS {
            found.push(format!("{ticket} is still reserved"));
        }
    }
    found
}
