//! What upstreams bear.

use crate::{
    history::{Book, Observation},
    world::COLD_PER_S,
};
use persimmon_core::{
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::{collections::HashMap, sync::Arc};

/// Multiple of the stated rate that a cold upstream may get, and requests beyond it (`coldOverage`
/// and `coldSlack` of the users' sites).
const COLD_OVERAGE_RATIO: f64 = 1.5;
const COLD_SLACK_REQUESTS: f64 = 5.0;

/// The second in which they are counted.
const WINDOW_MS: Millis = Millis::new(1_000);

/// Time after the last use of memory by which it is given back (`freeMs` of the users' sites).
const FREE_MS: Millis = Millis::new(4_000);

/// Added for orders under way on a busy computer.
const SLACK_MS: Millis = Millis::new(250);

/// Cold upstreams get no more than they bear, and memory is given back.
pub(super) fn all(book: &Book) -> Vec<String> {
    let mut found = cold(book);
    found.extend(memory(book));
    found
}

fn cold(book: &Book) -> Vec<String> {
    let limit = COLD_PER_S * COLD_OVERAGE_RATIO + COLD_SLACK_REQUESTS;
    let mut starts: HashMap<&UpstreamId, Vec<Time>> = HashMap::new();
    for run in book.asked.iter().flat_map(|asked| &asked.runs) {
        starts.entry(&run.upstream).or_default().push(run.at);
    }
    let mut found = Vec::new();
    for (at, seen) in &book.events {
        let Observation::Cold { upstream, for_ms } = seen else {
            continue;
        };
        let mut times = starts.get(upstream).cloned().unwrap_or_default();
        times.sort();
        times.retain(|time| *time >= *at && *time <= *at + *for_ms);
        let crowd_len = |start: &Time| {
            let inside = |time: &&Time| **time >= *start && **time < *start + WINDOW_MS;
            times.iter().filter(inside).count()
        };
        let most = times.iter().map(crowd_len).max().unwrap_or_default();
        if most as f64 > limit {
            found.push(format!(
                "{upstream} got {most} requests in a second while cold"
            ));
        }
    }
    found
}

fn memory(book: &Book) -> Vec<String> {
    let mut held: HashMap<&Arc<str>, Time> = HashMap::new();
    for (at, seen) in &book.events {
        match seen {
            Observation::Held { ticket } => {
                held.entry(ticket).or_insert(*at);
            }
            Observation::Freed { ticket } => {
                held.remove(ticket);
            }
            _ => {}
        }
    }
    let used_until = |ticket: &str| {
        let of_ticket = |asked: &&crate::history::Asked| ticket.starts_with(&*asked.tag);
        let asked = book.asked.iter().find(of_ticket)?;
        let ends = asked
            .runs
            .iter()
            .map(|run| run.ended_at.unwrap_or(book.now));
        ends.chain(asked.ended_at).chain(asked.left_at).max()
    };
    let mut found = Vec::new();
    for (ticket, since) in held {
        let last = used_until(ticket).unwrap_or(since).max(since);
        if book.now > last + FREE_MS + SLACK_MS {
            found.push(format!("{ticket} is still set aside"));
        }
    }
    found
}
