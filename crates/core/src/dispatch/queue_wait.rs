//! Predicts when a queued call finds a free slot, for admission to the queue and for `Retry-After`.

use super::dispatcher::{Dispatcher, OpenCall};
use crate::units::{Millis, Time};

/// `Retry-After` if no wait can be predicted, and if upstreams are missing or fail.
pub(super) const DEFAULT_RETRY_AFTER_MS: Millis = Millis::new(500);

/// Shortest `Retry-After` for lack of capacity: queued calls take the slots that become free next.
const RETRY_AFTER_MIN_MS: Millis = Millis::new(100);

/// Longest wait as a share of the call's remaining time, so that another daemon's upstreams can
/// still serve the caller afterwards.
const WAIT_MAX_RATIO: f64 = 0.25;

/// Longest wait as a multiple of the latency target; applies if the target is short.
const WAIT_MAX_TARGET_FACTOR: f64 = 4.0;

impl Dispatcher {
    /// Predicted time in ms until a call at this queue position, from 0, finds a free slot. None if
    /// fewer requests than that are in flight, and for a service without engines unless all of its
    /// upstreams back off.
    pub(super) fn predicted_wait_ms(
        &self,
        now: Time,
        open: &OpenCall,
        queue_position: usize,
    ) -> Option<f64> {
        let Some(profile) = open.service.engine.as_ref() else {
            return self
                .backoff_left_ms(now, open)
                .map(|left_ms| left_ms.get() as f64);
        };
        let mut ends: Vec<f64> = Vec::new();
        for upstream in self.fleet.usable(&open.service.name) {
            let id = &upstream.record.id;
            let load = self.in_flight.engine_load(now, id, profile);
            let backoff_ms = self.backoff.left_ms(now, id).get() as f64;
            let known_len = ends.len();
            let completions = load.completions_ms(profile);
            ends.extend(completions.map(|end_ms| end_ms.max(backoff_ms)));
            if backoff_ms > 0.0 {
                let slots_len = upstream.record.slots_len as usize;
                ends.resize(
                    known_len + slots_len.max(ends.len() - known_len),
                    backoff_ms,
                );
            }
        }
        ends.sort_by(f64::total_cmp);
        ends.get(queue_position).copied()
    }

    /// Whether a call may be queued: its predicted wait is within the limits.
    pub(super) fn may_queue(&self, now: Time, open: &OpenCall, queue_position: usize) -> bool {
        let target_ms = open.route.target_latency_ms.get() as f64;
        let left_ms = open.left_ms(now).get() as f64;
        let limit_ms = (left_ms * WAIT_MAX_RATIO).min(target_ms * WAIT_MAX_TARGET_FACTOR);
        let waited_ms = open.waiting_since.map_or(0, |since| now.since(since).get()) as f64;
        let predicted_wait_ms = self
            .predicted_wait_ms(now, open, queue_position)
            .unwrap_or_default();
        waited_ms + predicted_wait_ms < limit_ms
    }

    /// `Retry-After` for a call that is refused for lack of capacity.
    pub(super) fn capacity_retry_after_ms(&self, now: Time, open: &OpenCall) -> Millis {
        let queue_position = self.waiting.len() * self.members_len();
        let predicted = self.predicted_wait_ms(now, open, queue_position);
        predicted.map_or(DEFAULT_RETRY_AFTER_MS, |ms| {
            Millis::new(ms as u64).max(RETRY_AFTER_MIN_MS)
        })
    }
}
