//! Invariants of planned stops.

use super::changes::upstream_fault_free;
use crate::history::{
    BodyCheck, Component, DaemonIndex, IndexedHistory, Observation, RequestRecord,
};
use persimmon_core::units::{Millis, Time};

/// Time from the stop signal to the exit of the process (`graceS` of the sites).
const GRACE_MS: Millis = Millis::new(8_000);

/// Age from which a request that was not sent upstream counts as cut off where its connection ends
/// without an answer.
const LOSS_SLACK_MS: Millis = Millis::new(200);

/// Start of the last sixth of the grace period. A request that is still open then may be cut off.
const LAST_SIXTH_MS: Millis = Millis::new(6_666);

/// Allowance for the signal and the exit on a busy machine.
const SLACK_MS: Millis = Millis::new(500);

/// A planned stop ends in time with exit code 0 and cuts no request off.
pub(super) fn planned_stops(history: &IndexedHistory) -> Vec<String> {
    let mut found = Vec::new();
    for (at, seen) in &history.events {
        let Observation::DaemonStopping { daemon } = seen else {
            continue;
        };
        let end = *at + GRACE_MS;
        let process = Component::Daemon(*daemon);
        if !history.fault_free(&process, *at, end) || history.now < end + SLACK_MS {
            continue;
        }
        match exit_after(history, *daemon, *at) {
            Some((ended_at, Some(0))) if ended_at <= end + SLACK_MS => {}
            other => found.push(format!(
                "daemon {daemon} exited with {other:?}, stop requested at {at:?}"
            )),
        }
        let cut = history.requests.iter().filter(|request| {
            let ended_in_grace = request.daemon == *daemon
                && request
                    .ended_at
                    .is_some_and(|ended| ended >= *at && ended <= end);
            ended_in_grace && was_cut_off(history, request, *at)
        });
        found.extend(cut.map(|request| format!("daemon {daemon} cut {} off", request.request_id)));
    }
    found
}

fn exit_after(
    history: &IndexedHistory,
    of: DaemonIndex,
    after: Time,
) -> Option<(Time, Option<i32>)> {
    history.events.iter().find_map(|(at, seen)| match seen {
        Observation::DaemonExited { daemon, code } if *daemon == of && *at >= after => {
            Some((*at, *code))
        }
        _ => None,
    })
}

fn was_cut_off(history: &IndexedHistory, request: &RequestRecord, stop_at: Time) -> bool {
    let Some(ended_at) = request.ended_at else {
        return false;
    };
    let unfinished = match request.answer {
        None => true,
        Some((_, body)) => body == BodyCheck::Truncated,
    };
    let was_sent = !request.runs.is_empty();
    let waited = ended_at.since(request.at) > LOSS_SLACK_MS;
    let at_deadline = ended_at >= request.at + request.deadline_ms;
    let still_working = ended_at >= stop_at + LAST_SIXTH_MS;
    let upstreams_fault_free = request
        .runs
        .iter()
        .all(|run| upstream_fault_free(history, run));
    let store_fault_free = history.fault_free(&Component::Store, request.at, ended_at);
    unfinished
        && (was_sent || waited)
        && !at_deadline
        && !still_working
        && request.left_at.is_none()
        && upstreams_fault_free
        && store_fault_free
}
