//! Invariant of daemons that have lost their links to upstreams.

use crate::history::{DaemonIndex, IndexedHistory, RequestRecord};

/// Share of served requests at daemons without links, as a fraction of that at the others.
const SERVED_RATIO: f64 = 2.0 / 3.0;

/// Failures that are allowed in any case: so many, and this share of the requests at all daemons.
const FAILED_MAX_LEN: usize = 10;
const FAILED_MAX_RATIO: f64 = 1.0 / 50.0;

/// Callers of daemons that have lost their links to all upstreams are served nearly as often as the others
/// meanwhile.
pub(super) fn served_alike(history: &IndexedHistory) -> Vec<String> {
    let daemons = history.requests.iter().map(|request| request.daemon);
    let daemons_len = daemons.max().map_or(0, |last| last + 1);
    let sampled = history.requests.iter().filter(|request| {
        is_sampled(history, request)
            && (0..daemons_len).any(|daemon| lacks_links(history, request, daemon))
    });
    let (cut, others): (Vec<_>, Vec<_>) =
        sampled.partition(|request| lacks_links(history, request, request.daemon));
    let served_len = |requests: &[&RequestRecord]| {
        let served = requests.iter().filter(|request| request.is_served());
        served.count()
    };
    let (cut_served, others_served) = (served_len(&cut), served_len(&others));
    let allowed_ratio = SERVED_RATIO * others_served as f64 / others.len().max(1) as f64;
    let allowed_len =
        FAILED_MAX_LEN + ((cut.len() + others.len()) as f64 * FAILED_MAX_RATIO) as usize;
    let is_worse = (cut_served as f64) < cut.len() as f64 * allowed_ratio
        && cut.len() - cut_served > allowed_len;
    let text = format!(
        "{cut_served} of {} requests were served without links, {others_served} of {} elsewhere",
        cut.len(),
        others.len()
    );
    is_worse.then_some(text).into_iter().collect()
}

/// Whether a daemon had no links while a request was open.
fn lacks_links(history: &IndexedHistory, request: &RequestRecord, daemon: DaemonIndex) -> bool {
    let until = request.ended_at.unwrap_or(history.now);
    history.links_lost(daemon, request.at, until)
}

/// Whether a request ended without its caller, and its daemon had no other fault meanwhile.
fn is_sampled(history: &IndexedHistory, request: &RequestRecord) -> bool {
    let ended_at = request.ended_at.filter(|_| request.left_at.is_none());
    ended_at.is_some_and(|ended_at| {
        history.daemon_fault_free(request.daemon, request.at, ended_at)
            && !super::changes::withdrawn(history, request)
    })
}
