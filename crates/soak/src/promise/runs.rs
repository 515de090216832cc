//! What upstreams run.

use crate::history::{Asked, Book, Part, Ran};
use persimmon_core::units::Millis;

/// Time that an upstream may be given beyond the caller's.
const DEADLINE_SLACK_MS: Millis = Millis::new(500);

/// Time after a departure by which upstreams rest.
const DEPARTURE_MS: Millis = Millis::new(500);

/// Added for the stand-ins, which notice with their next event.
const NOTICE_MS: Millis = Millis::new(300);

/// Share of departures that may be followed later, and how many may be in any case.
const LATE_RATIO: f64 = 0.25;
const LATE_MAX_LEN: usize = 3;

/// A request that is not idempotent runs at most once.
pub(super) fn once(book: &Book) -> Vec<String> {
    let twice = |asked: &&Asked| !asked.kind.repeatable() && asked.runs.len() > 1;
    let twice = book.asked.iter().filter(twice);
    twice
        .map(|asked| format!("{} ran {} times", asked.tag, asked.runs.len()))
        .collect()
}

/// Upstreams are given no more time than the caller has left.
pub(super) fn deadlines(book: &Book) -> Vec<String> {
    let too_long = |asked: &Asked, run: &Ran| match run.deadline_ms {
        None => true,
        Some(given_ms) => run.at + given_ms > asked.at + asked.deadline_ms + DEADLINE_SLACK_MS,
    };
    let mut found = Vec::new();
    for asked in &book.asked {
        let of_daemon = Part::Daemon(asked.daemon);
        let wrong = asked.runs.iter().filter(|run| too_long(asked, run));
        // A link that holds bytes back makes them late, not the daemon.
        let held = |run: &Ran| !book.calm(&Part::from(&run.upstream), asked.at, run.at);
        let wrong = wrong.filter(|run| book.calm(&of_daemon, asked.at, run.at) && !held(run));
        found.extend(wrong.map(|run| format!("{} was given {:?}", asked.tag, run.deadline_ms)));
    }
    found
}

/// Upstreams stop working for callers who left.
pub(super) fn departures(book: &Book) -> Vec<String> {
    let (mut left_len, mut late) = (0, Vec::new());
    for asked in &book.asked {
        let Some(left_at) = asked.left_at else {
            continue;
        };
        let due = left_at + DEPARTURE_MS + NOTICE_MS;
        for run in &asked.runs {
            let upstream = Part::from(&run.upstream);
            let calm = book.calm(&Part::Daemon(asked.daemon), left_at, due)
                && book.calm(&upstream, left_at, due);
            let was_open = run.ended_at.is_none_or(|at| at > left_at);
            if !calm || !was_open || book.now < due {
                continue;
            }
            left_len += 1;
            if run.ended_at.is_none_or(|at| at > due) {
                late.push(format!("{} is worked on after its caller left", asked.tag));
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
