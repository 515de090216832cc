//! Invariants of changes by operators and upstreams: each takes effect everywhere in time.

use crate::history::{Component, IndexedHistory, Observation, RequestRecord, UpstreamRun};
use persimmon_core::units::{Millis, Time};

/// Time from the store's acknowledgement to the effect, as the sites state it.
const UPSTREAM_DRAIN_LIMIT_MS: Millis = Millis::new(2_000);
const DOMAIN_DRAIN_LIMIT_MS: Millis = Millis::new(5_000);
const KEY_REVOCATION_LIMIT_MS: Millis = Millis::new(5_000);
const ROUTE_CHANGE_LIMIT_MS: Millis = Millis::new(2_000);

/// Allowance for messages in flight on a busy machine.
const SLACK_MS: Millis = Millis::new(200);

/// A draining upstream gets no new requests.
pub(super) fn draining_upstreams(history: &IndexedHistory) -> Vec<String> {
    let drains = |observation: &Observation, run: &UpstreamRun| match observation {
        Observation::UpstreamDraining { upstream } => *upstream == run.upstream,
        _ => false,
    };
    late_runs(history, UPSTREAM_DRAIN_LIMIT_MS, drains, |_, _| false)
}

/// Upstreams of a failure domain that is out of service get no new requests.
pub(super) fn drained_domains(history: &IndexedHistory) -> Vec<String> {
    let out = |observation: &Observation, run: &UpstreamRun| match observation {
        Observation::DomainDrained { domain } => *domain == run.domain,
        _ => false,
    };
    let back = |observation: &Observation, run: &UpstreamRun| match observation {
        Observation::DomainReturned { domain } => *domain == run.domain,
        _ => false,
    };
    late_runs(history, DOMAIN_DRAIN_LIMIT_MS, out, back)
}

/// An upstream gets no new requests from a daemon that has passed on an answer in which it said that it
/// leaves, whether that daemon reaches the store or not.
pub(super) fn leaving_upstreams(history: &IndexedHistory) -> Vec<String> {
    let mut found = Vec::new();
    for (_, seen) in &history.events {
        let Observation::LeavingAnswered {
            request_id,
            upstream,
        } = seen
        else {
            continue;
        };
        let Some((passed_on_at, daemon)) = history.request(request_id).and_then(|request| {
            let ended_at = request.ended_at.filter(|_| request.is_served())?;
            Some((ended_at, request.daemon))
        }) else {
            continue;
        };
        let after = history.requests.iter().filter(|request| {
            request.daemon == daemon
                && request.at > passed_on_at + UPSTREAM_DRAIN_LIMIT_MS + SLACK_MS
        });
        for request in after {
            let ran = request.runs.iter().find(|run| run.upstream == *upstream);
            let excused =
                |run: &UpstreamRun| !history.process_fault_free(daemon, passed_on_at, run.at);
            if ran.is_some_and(|run| !excused(run)) {
                let request_id = &request.request_id;
                found.push(format!("{request_id} ran at {upstream}, which leaves"));
            }
        }
    }
    found.sort();
    found.dedup();
    found
}

/// What a daemon has certainly learned holds as long as its process runs, also if the store loses it or
/// can't be reached, which the limits of the other invariants excuse.
pub(super) fn known_changes(history: &IndexedHistory) -> Vec<String> {
    let mut found = Vec::new();
    for request in &history.requests {
        for run in &request.runs {
            let begins = |seen: &Observation| match seen {
                Observation::UpstreamDraining { upstream } => *upstream == run.upstream,
                Observation::DomainDrained { domain } => *domain == run.domain,
                Observation::RouteRemoved { route } => *route == request.route,
                _ => false,
            };
            let ends = |seen: &Observation| match seen {
                Observation::DomainReturned { domain } => *domain == run.domain,
                _ => false,
            };
            let Some(since) = in_force_since(history, request.at, begins, ends) else {
                continue;
            };
            let known_at = since + DOMAIN_DRAIN_LIMIT_MS + SLACK_MS;
            let daemon = request.daemon;
            if request.at > known_at
                && !history.daemon_fault_free(daemon, since, run.at)
                && history.daemon_fault_free(daemon, since, known_at)
                && history.process_fault_free(daemon, since, run.at)
            {
                let request_id = &request.request_id;
                found.push(format!("{request_id} ran at {}", run.upstream));
            }
        }
    }
    found
}

/// Runs that started too long after a change, sent by daemons that were free of faults since.
fn late_runs(
    history: &IndexedHistory,
    bound_ms: Millis,
    begins: impl Fn(&Observation, &UpstreamRun) -> bool,
    ends: impl Fn(&Observation, &UpstreamRun) -> bool,
) -> Vec<String> {
    let mut found = Vec::new();
    for request in &history.requests {
        for run in &request.runs {
            let since = in_force_since(
                history,
                run.at,
                |seen| begins(seen, run),
                |seen| ends(seen, run),
            );
            let Some(since) = since else { continue };
            let late = run.at > since + bound_ms + SLACK_MS;
            if late && history.daemon_fault_free(request.daemon, since, run.at) {
                let late_ms = run.at.since(since);
                found.push(format!(
                    "{} ran {late_ms} later at {}",
                    request.request_id, run.upstream
                ));
            }
        }
    }
    found
}

fn in_force_since(
    history: &IndexedHistory,
    at: Time,
    begins: impl Fn(&Observation) -> bool,
    ends: impl Fn(&Observation) -> bool,
) -> Option<Time> {
    let mut since = None;
    for (time, observation) in history.events.iter().take_while(|(time, _)| *time <= at) {
        if begins(observation) {
            since.get_or_insert(*time);
        } else if ends(observation) {
            since = None;
        }
    }
    since
}

/// No request with a revoked key runs, even at a daemon that does not reach the store.
pub(super) fn revoked_keys(history: &IndexedHistory) -> Vec<String> {
    let late = |request: &&RequestRecord| {
        let removed_at = key_revoked_at(history, request);
        !request.runs.is_empty()
            && removed_at.is_some_and(|at| request.at > at + KEY_REVOCATION_LIMIT_MS)
    };
    let late = history.requests.iter().filter(late);
    late.map(|request| format!("{} ran with a revoked key", request.request_id))
        .collect()
}

/// No request on a removed route runs.
pub(super) fn removed_routes(history: &IndexedHistory) -> Vec<String> {
    let late = |request: &&RequestRecord| {
        let removed_at = route_removed_at(history, request);
        let late = removed_at.is_some_and(|at| request.at > at + ROUTE_CHANGE_LIMIT_MS + SLACK_MS);
        let fault_free = |at| history.daemon_fault_free(request.daemon, at, request.at);
        late && !request.runs.is_empty() && removed_at.is_some_and(fault_free)
    };
    let late = history.requests.iter().filter(late);
    late.map(|request| format!("{} ran on a dropped route", request.request_id))
        .collect()
}

fn key_revoked_at(history: &IndexedHistory, request: &RequestRecord) -> Option<Time> {
    first_seen_at(
        history,
        |seen| matches!(seen, Observation::KeyRevoked { key } if *key == request.key),
    )
}

fn route_removed_at(history: &IndexedHistory, request: &RequestRecord) -> Option<Time> {
    first_seen_at(
        history,
        |seen| matches!(seen, Observation::RouteRemoved { route } if *route == request.route),
    )
}

fn first_seen_at(
    history: &IndexedHistory,
    predicate: impl Fn(&Observation) -> bool,
) -> Option<Time> {
    let mut events = history.events.iter();
    events.find(|(_, seen)| predicate(seen)).map(|(at, _)| *at)
}

/// Whether a request's key or route was withdrawn before the end of its answer.
pub(super) fn withdrawn(history: &IndexedHistory, request: &RequestRecord) -> bool {
    let ended_at = request.ended_at.unwrap_or(history.now);
    [
        key_revoked_at(history, request),
        route_removed_at(history, request),
    ]
    .into_iter()
    .flatten()
    .any(|at| at <= ended_at + SLACK_MS)
}

/// Whether a request's key and route were certainly in force at its daemon.
pub(super) fn in_force(history: &IndexedHistory, request: &RequestRecord) -> bool {
    let is_new = |seen: &Observation| match seen {
        Observation::KeyAdded { key } => *key == request.key,
        Observation::RouteAdded { route } => *route == request.route,
        _ => false,
    };
    let mut additions = history.events.iter().filter(|(_, seen)| is_new(seen));
    let known = additions.all(|(at, _)| {
        request.at > *at + ROUTE_CHANGE_LIMIT_MS + SLACK_MS
            && history.daemon_fault_free(request.daemon, *at, request.at)
    });
    known && !withdrawn(history, request)
}

/// Whether a run's upstream and the link to it were free of faults during the run.
pub(super) fn upstream_fault_free(history: &IndexedHistory, run: &UpstreamRun) -> bool {
    let end = run.ended_at.unwrap_or(history.now);
    history.fault_free(&Component::from(&run.upstream), run.at, end)
}
