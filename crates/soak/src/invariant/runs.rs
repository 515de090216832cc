//! Invariants of the runs at upstreams.

use crate::history::{Component, IndexedHistory, RequestRecord, UpstreamRun};
use persimmon_core::units::Millis;

/// Time by which an upstream's deadline may exceed the caller's.
const DEADLINE_SLACK_MS: Millis = Millis::new(500);

/// Time after a caller disconnects by which its runs must have ended.
const CANCEL_LIMIT_MS: Millis = Millis::new(500);

/// Allowance for the stand-ins, which notice a cancellation only with their next event.
const STANDIN_SLACK_MS: Millis = Millis::new(300);

/// Share of runs that may end late after their caller left, and the number that may in any case.
const LATE_RATIO: f64 = 0.25;
const LATE_MAX_LEN: usize = 3;

/// A request that is not idempotent runs at most once.
pub(super) fn at_most_once(history: &IndexedHistory) -> Vec<String> {
    let twice = |request: &&RequestRecord| !request.kind.repeatable() && request.runs.len() > 1;
    let twice = history.requests.iter().filter(twice);
    twice
        .map(|request| format!("{} ran {} times", request.request_id, request.runs.len()))
        .collect()
}

/// Upstreams get no more time than the caller has left.
pub(super) fn deadlines(history: &IndexedHistory) -> Vec<String> {
    let too_long = |request: &RequestRecord, run: &UpstreamRun| match run.deadline_ms {
        None => true,
        Some(given_ms) => run.at + given_ms > request.at + request.deadline_ms + DEADLINE_SLACK_MS,
    };
    let mut found = Vec::new();
    for request in &history.requests {
        let of_daemon = Component::Daemon(request.daemon);
        let wrong = request.runs.iter().filter(|run| too_long(request, run));
        // A faulty link delays the request; the daemon is not at fault then.
        let link_faulty = |run: &UpstreamRun| {
            !history.fault_free(&Component::from(&run.upstream), request.at, run.at)
        };
        let wrong = wrong.filter(|run| {
            history.fault_free(&of_daemon, request.at, run.at)
                && history.links_steady(request.daemon, request.at, run.at)
                && !link_faulty(run)
        });
        found.extend(
            wrong.map(|run| format!("{} was given {:?}", request.request_id, run.deadline_ms)),
        );
    }
    found
}

/// Upstreams stop running requests of callers who left.
pub(super) fn callers_left(history: &IndexedHistory) -> Vec<String> {
    let (mut left_len, mut late) = (0, Vec::new());
    for request in &history.requests {
        let Some(left_at) = request.left_at else {
            continue;
        };
        let due = left_at + CANCEL_LIMIT_MS + STANDIN_SLACK_MS;
        for run in &request.runs {
            let upstream = Component::from(&run.upstream);
            let fault_free = history.fault_free(&Component::Daemon(request.daemon), left_at, due)
                && history.links_steady(request.daemon, request.at, due)
                && history.fault_free(&upstream, left_at, due);
            let was_open = run.ended_at.is_none_or(|at| at > left_at);
            if !fault_free || !was_open || history.now < due {
                continue;
            }
            left_len += 1;
            if run.ended_at.is_none_or(|at| at > due) {
                late.push(format!(
                    "{} is worked on after its caller left",
                    request.request_id
                ));
            }
        }
    }
    let allowed_len = LATE_MAX_LEN.max((f64::from(left_len) * LATE_RATIO) as usize);
    if late.len() > allowed_len {
        late
    } else {
        Vec::new()
    }
}
