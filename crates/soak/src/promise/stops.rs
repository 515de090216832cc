//! Planned stops.

use super::changes::undisturbed;
use crate::history::{Asked, Book, Content, DaemonIndex, Observation, Part};
use persimmon_core::units::{Millis, Time};

/// Time between the request to stop and the end of the process (`graceS` of the users' sites).
const GRACE_MS: Millis = Millis::new(8_000);

/// Age of a request after which a connection that ends without an answer cut it off.
const LOSS_SLACK_MS: Millis = Millis::new(200);

/// Work that still goes on in the last sixth of the grace, of a request that came before then.
const LAST_SIXTH_MS: Millis = Millis::new(6_666);

/// Added for the signal and the exit on a busy computer.
const SLACK_MS: Millis = Millis::new(500);

/// A planned stop ends in time, with code 0, and cuts no request off.
pub(super) fn clean(book: &Book) -> Vec<String> {
    let mut found = Vec::new();
    for (at, seen) in &book.events {
        let Observation::Stopping { daemon } = seen else {
            continue;
        };
        let end = *at + GRACE_MS;
        let process = Part::Daemon(*daemon);
        if !book.calm(&process, *at, end) || book.now < end + SLACK_MS {
            continue;
        }
        match exit(book, *daemon, *at) {
            Some((ended_at, Some(0))) if ended_at <= end + SLACK_MS => {}
            other => found.push(format!(
                "daemon {daemon} ended as {other:?}, asked at {at:?}"
            )),
        }
        let cut = book.asked.iter().filter(|asked| {
            let crosses = asked.daemon == *daemon
                && asked
                    .ended_at
                    .is_some_and(|ended| ended >= *at && ended <= end);
            crosses && is_cut(book, asked, *at)
        });
        found.extend(cut.map(|asked| format!("daemon {daemon} cut {} off", asked.tag)));
    }
    found
}

fn exit(book: &Book, of: DaemonIndex, after: Time) -> Option<(Time, Option<i32>)> {
    book.events.iter().find_map(|(at, seen)| match seen {
        Observation::Ended { daemon, code } if *daemon == of && *at >= after => Some((*at, *code)),
        _ => None,
    })
}

fn is_cut(book: &Book, asked: &Asked, stop_at: Time) -> bool {
    let Some(ended_at) = asked.ended_at else {
        return false;
    };
    let unfinished = match asked.answer {
        None => true,
        Some((_, content)) => content == Content::Cut,
    };
    let passed_on = !asked.runs.is_empty();
    let waited = ended_at.since(asked.at) > LOSS_SLACK_MS;
    let at_deadline = ended_at >= asked.at + asked.deadline_ms;
    let still_working = ended_at >= stop_at + LAST_SIXTH_MS;
    let upstreams_calm = asked.runs.iter().all(|run| undisturbed(book, run));
    let planned_only = book.calm(&Part::Store, asked.at, ended_at);
    unfinished
        && (passed_on || waited)
        && !at_deadline
        && !still_working
        && asked.left_at.is_none()
        && upstreams_calm
        && planned_only
}
