//! Tracks a request's run at an upstream.

use super::incarnation::Incarnation;
use crate::history::Observation;
use std::sync::{atomic::Ordering, Arc};

/// Lives as long as a request's run. Its drop records the end of the run, however the run ends.
pub(super) struct RunGuard {
    pub(super) incarnation: Arc<Incarnation>,
    pub(super) request_id: Arc<str>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.incarnation
            .in_flight_requests
            .fetch_sub(1, Ordering::Relaxed);
        self.incarnation.history.record(Observation::RunEnded {
            request_id: Arc::clone(&self.request_id),
            upstream: self.incarnation.id.clone(),
        });
    }
}
