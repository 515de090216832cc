//! Foresees when a place is free.

use super::dispatcher::{Dispatcher, OpenCall};
use crate::units::{Millis, Time};

/// Pause that callers are told where nothing is foreseen, and where upstreams are missing or fail.
pub(super) const DEFAULT_RETRY_AFTER_MS: Millis = Millis::new(500);

/// Shortest pause that callers are told: a place that is about to be free has callers in line.
const RETRY_AFTER_MIN_MS: Millis = Millis::new(100);

/// Longest wait, as a share of the time that the caller has left: after it, another daemon's
/// upstreams can still serve the caller.
const WAIT_MAX_RATIO: f64 = 0.25;

/// Longest wait where the target is short, as a multiple of the target.
const WAIT_MAX_TARGETS: f64 = 4.0;

impl Dispatcher {
    /// When the `place`th caller in line is foreseen to find a free place at an engine.
    pub(super) fn predicted_wait_ms(
        &self,
        now: Time,
        open: &OpenCall,
        queue_position: usize,
    ) -> Option<f64> {
        let profile = open.service.engine.as_ref()?;
        let mut ends: Vec<f64> = Vec::new();
        for upstream in self.fleet.usable(&open.service.name) {
            let load = self
                .in_flight
                .engine_load(now, &upstream.record.id, profile);
            ends.extend(load.completions_ms(profile));
        }
        ends.sort_by(f64::total_cmp);
        ends.get(queue_position).copied()
    }

    /// Whether a call may wait for a place: one is foreseen soon enough.
    pub(super) fn may_queue(&self, now: Time, open: &OpenCall, queue_position: usize) -> bool {
        let target_ms = open.route.target_latency_ms.get() as f64;
        let left_ms = open.left_ms(now).get() as f64;
        let limit_ms = (left_ms * WAIT_MAX_RATIO).min(target_ms * WAIT_MAX_TARGETS);
        let waited_ms = open.waiting_since.map_or(0, |since| now.since(since).get()) as f64;
        let predicted_wait_ms = self
            .predicted_wait_ms(now, open, queue_position)
            .unwrap_or_default();
        waited_ms + predicted_wait_ms < limit_ms
    }

    /// When a caller who is refused for want of a place should come back.
    pub(super) fn capacity_retry_after_ms(&self, now: Time, open: &OpenCall) -> Millis {
        let queue_position = self.waiting.len() * self.members_len();
        let predicted = self.predicted_wait_ms(now, open, queue_position);
        predicted.map_or(DEFAULT_RETRY_AFTER_MS, |ms| {
            Millis::new(ms as u64).max(RETRY_AFTER_MIN_MS)
        })
    }
}
