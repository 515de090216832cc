//! Invariant of upstreams that state how many requests a second they take.

use crate::history::{Component, DaemonIndex, IndexedHistory, Observation};
use persimmon_core::{
    ids::UpstreamId,
    units::{Millis, RequestsPerSecond, Time},
};
use std::collections::HashMap;

/// Time from an upstream's first statement from which it counts (`stabilityWindowMs` of the sites).
const LEARN_MS: Millis = Millis::new(3_000);

/// Time after an answer that states the rate from which requests of the same daemon count.
const TOLD_LEAD_MS: Millis = Millis::new(500);

/// Span in which requests are counted, and what an upstream may get in it: this multiple of what its rate
/// allows, and this many requests.
const SPAN_MS: Millis = Millis::new(4_000);
const OVERAGE_RATIO: f64 = 1.5;
const SLACK_REQUESTS: f64 = 5.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A time in which an upstream states one rate.
struct Stated<'a> {
    upstream: &'a UpstreamId,
    per_s: RequestsPerSecond,
    from: Time,
    until: Time,
}

/// An upstream that states its rate gets no more from the daemons that know it.
pub(super) fn stated_rates(history: &IndexedHistory) -> Vec<String> {
    let stated = stated(history);
    stated
        .iter()
        .filter_map(|stated| overrun(history, stated))
        .collect()
}

fn stated(history: &IndexedHistory) -> Vec<Stated<'_>> {
    let changes: Vec<_> = history
        .events
        .iter()
        .filter_map(|(at, seen)| match seen {
            Observation::RateLimitChanged { upstream, per_s } => Some((*at, upstream, *per_s)),
            _ => None,
        })
        .collect();
    let spans = changes.iter().enumerate().filter_map(|(index, change)| {
        let (from, upstream, per_s) = *change;
        let mut later = changes[index + 1..].iter();
        let next = later.find(|(_, other, _)| *other == upstream);
        Some(Stated {
            upstream,
            per_s: per_s?,
            from,
            until: next.map_or(history.now, |(at, _, _)| *at),
        })
    });
    spans.collect()
}

fn overrun(history: &IndexedHistory, stated: &Stated<'_>) -> Option<String> {
    let told = told_at(history, stated);
    let first = told.values().min()?;
    let mut times = counted_runs(history, stated, &told);
    times.retain(|at| *at >= *first + LEARN_MS);
    times.sort();
    let len_from = |start: &Time| {
        let inside = |at: &&Time| **at >= *start && **at < *start + SPAN_MS;
        times.iter().filter(inside).count()
    };
    let peak = times.iter().map(len_from).max()?;
    let span_s = SPAN_MS.get() as f64 / MS_PER_S;
    let allowed = stated.per_s.get() * span_s * OVERAGE_RATIO + SLACK_REQUESTS;
    (peak as f64 > allowed).then(|| {
        let (upstream, per_s) = (stated.upstream, stated.per_s);
        format!("{upstream} stated {per_s} requests a second and got {peak} in 4 s")
    })
}

/// When each daemon first passed on an answer that states the rate.
fn told_at(history: &IndexedHistory, stated: &Stated<'_>) -> HashMap<DaemonIndex, Time> {
    let mut told = HashMap::new();
    for (at, seen) in &history.events {
        let Observation::RateLimitStated {
            request_id,
            upstream,
        } = seen
        else {
            continue;
        };
        let is_inside = *at >= stated.from && *at <= stated.until;
        if let (true, Some(request)) = (
            is_inside && upstream == stated.upstream,
            history.request(request_id),
        ) {
            told.entry(request.daemon).or_insert(*at);
        }
    }
    told
}

/// When runs began at the upstream that count: sent by daemons that knew, and that were not restarted or
/// stopped since.
fn counted_runs(
    history: &IndexedHistory,
    stated: &Stated<'_>,
    told: &HashMap<DaemonIndex, Time>,
) -> Vec<Time> {
    let component = Component::from(stated.upstream);
    let mut times = Vec::new();
    for request in &history.requests {
        let Some(told_at) = told.get(&request.daemon) else {
            continue;
        };
        for run in &request.runs {
            let counts = run.upstream == *stated.upstream
                && run.at <= stated.until
                && run.at >= *told_at + TOLD_LEAD_MS
                && history.process_fault_free(request.daemon, *told_at, run.at)
                && history.fault_free(&component, stated.from, run.at);
            if counts {
                times.push(run.at);
            }
        }
    }
    times
}
