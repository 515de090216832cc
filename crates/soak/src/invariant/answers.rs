//! Invariants of the answers that callers get.

use crate::history::{BodyCheck, Component, IndexedHistory, RequestRecord};
use persimmon_core::units::Millis;

/// Time beyond a caller's deadline until the answer must have ended; allows for a busy machine.
const ANSWER_SLACK_MS: Millis = Millis::new(750);

/// Least share of complete answers among the requests sent after the last fault.
const SERVED_MIN_RATIO: f64 = 0.9;

/// Time after the last fault until callers must be served again (`recoverS` of the sites).
const RECOVERY_LIMIT_MS: Millis = Millis::new(12_000);

/// Fewest requests for which the share is checked.
const SAMPLE_MIN_LEN: usize = 20;

/// Statuses that promise that the request has not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Statuses that blame the request.
const DENIED: [u16; 6] = [400, 401, 403, 404, 413, 431];

/// No caller gets another request's answer, one with missing, duplicate or reordered pieces, or a
/// truncated one that looks complete.
pub(super) fn complete(history: &IndexedHistory) -> Vec<String> {
    let wrong = |request: &&RequestRecord| matches!(request.answer, Some((_, BodyCheck::Wrong)));
    let wrong = history.requests.iter().filter(wrong);
    wrong
        .map(|request| format!("{} got a wrong answer", request.request_id))
        .collect()
}

/// A request refused as not run has not run.
pub(super) fn refused_not_run(history: &IndexedHistory) -> Vec<String> {
    let violating = |request: &&RequestRecord| {
        let refused = request
            .answer
            .is_some_and(|(status, _)| NOT_RUN.contains(&status));
        refused && !request.runs.is_empty()
    };
    let violating = history.requests.iter().filter(violating);
    violating
        .map(|request| format!("{} was refused as not run, and ran", request.request_id))
        .collect()
}

/// Each caller's answer ends by its deadline.
pub(super) fn by_deadline(history: &IndexedHistory) -> Vec<String> {
    let late = |request: &&RequestRecord| {
        let due = request.at + request.deadline_ms + ANSWER_SLACK_MS;
        let waits = request.left_at.is_none() && request.ended_at.is_none_or(|at| at > due);
        waits
            && history.now > due
            && history.fault_free(&Component::Daemon(request.daemon), request.at, due)
    };
    let late = history.requests.iter().filter(late);
    late.map(|request| format!("{} was still open at its deadline", request.request_id))
        .collect()
}

/// A request whose key and route are in force is not denied.
pub(super) fn not_denied(history: &IndexedHistory) -> Vec<String> {
    let denied = |request: &&RequestRecord| {
        let denied = request
            .answer
            .is_some_and(|(status, _)| DENIED.contains(&status));
        denied && super::changes::in_force(history, request)
    };
    let denied = history.requests.iter().filter(denied);
    denied
        .map(|request| format!("{} was denied: {:?}", request.request_id, request.answer))
        .collect()
}

/// After the last fault, callers are served again.
pub(super) fn recovered(history: &IndexedHistory) -> Vec<String> {
    let Some(faults_over_at) = history.fault_free_since() else {
        return Vec::new();
    };
    let is_sampled = |request: &&RequestRecord| {
        request.at >= faults_over_at + RECOVERY_LIMIT_MS
            && request.left_at.is_none()
            && request.ended_at.is_some()
            && !super::changes::withdrawn(history, request)
    };
    let sample: Vec<_> = history.requests.iter().filter(is_sampled).collect();
    let sample_len = sample.len();
    let complete_len = sample.iter().filter(|request| request.is_served()).count();
    let too_few = sample_len >= SAMPLE_MIN_LEN
        && (complete_len as f64) < sample_len as f64 * SERVED_MIN_RATIO;
    let text = format!("{complete_len} of {sample_len} requests after the last fault were served");
    too_few.then_some(text).into_iter().collect()
}
