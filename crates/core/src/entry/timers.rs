//! One timer for each open request.

use crate::{ids::RequestId, units::Time};
use std::collections::{BTreeMap, BTreeSet};

/// Expiry time of each open request's timer, indexed by time and by request.
#[derive(Debug, Default)]
pub(super) struct Timers {
    by_time: BTreeSet<(Time, RequestId)>,
    by_request: BTreeMap<RequestId, Time>,
}

impl Timers {
    /// Sets a request's timer and replaces an earlier one.
    pub(super) fn set(&mut self, request: RequestId, at: Time) {
        self.clear(request);
        self.by_request.insert(request, at);
        self.by_time.insert((at, request));
    }

    /// Removes a request's timer.
    pub(super) fn clear(&mut self, request: RequestId) {
        if let Some(at) = self.by_request.remove(&request) {
            self.by_time.remove(&(at, request));
        }
    }

    /// The requests whose timers have expired, earliest first.
    pub(super) fn due(&self, now: Time) -> Vec<RequestId> {
        let due = self.by_time.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, request)| *request).collect()
    }

    /// The earliest expiry time.
    pub(super) fn next(&self) -> Option<Time> {
        self.by_time.first().map(|(at, _)| *at)
    }
}
