//! Predicts when a queued call finds a free slot, for admission to the queue and for `Retry-After`.

use super::dispatcher::{Dispatcher, OpenCall};
use crate::{
    catalog::EngineProfile,
    fleet::Upstream,
    units::{Millis, Time},
};

/// `Retry-After` if no wait can be predicted, and if upstreams are missing or fail.
pub(super) const DEFAULT_RETRY_AFTER_MS: Millis = Millis::new(500);

/// Shortest `Retry-After` for lack of capacity: queued calls take the slots that become free next.
pub(super) const RETRY_AFTER_MIN_MS: Millis = Millis::new(100);

/// Longest wait as a share of the call's remaining time, so that another daemon's upstreams can
/// still serve the caller afterwards.
const WAIT_MAX_RATIO: f64 = 0.25;

/// Longest wait as a multiple of the latency target; applies if the target is short.
const WAIT_MAX_TARGET_FACTOR: f64 = 4.0;

impl Dispatcher {
    /// Predicted time in ms until a call at this queue position, from 0, finds a free slot. None if
    /// fewer requests than that are in flight, and for a service without engines unless none of its
    /// upstreams takes requests.
    pub(super) fn predicted_wait_ms(
        &self,
        now: Time,
        open: &OpenCall,
        queue_position: usize,
    ) -> Option<f64> {
        let mut slots_ms = match open.service.engine.as_ref() {
            Some(profile) => self.engine_slots_ms(now, open, profile),
            None => self.held_slots_ms(now, open)?,
        };
        slots_ms.sort_by(f64::total_cmp);
        slots_ms.get(queue_position).copied()
    }

    /// Times in ms until slots of the service's engines become free.
    pub(super) fn engine_slots_ms(
        &self,
        now: Time,
        open: &OpenCall,
        profile: &EngineProfile,
    ) -> Vec<f64> {
        let mut slots_ms: Vec<f64> = Vec::new();
        for upstream in self.fleet.usable(&open.service.name) {
            let profile = &self.profile_at_speed(now, &upstream.record.id, profile);
            let load = self
                .in_flight
                .engine_load(now, &upstream.record.id, profile);
            let completions = load.completions_ms(profile);
            if self.hold_ms(now, upstream, 0) > 0.0 {
                let busy_ms: Vec<_> = completions.collect();
                slots_ms.extend(self.slots_after_hold_ms(now, upstream, busy_ms));
            } else {
                slots_ms.extend(completions);
            }
        }
        slots_ms
    }

    /// Times in ms until plain upstreams take requests again; none if one does now.
    pub(super) fn held_slots_ms(&self, now: Time, open: &OpenCall) -> Option<Vec<f64>> {
        let mut slots_ms = Vec::new();
        for upstream in self.fleet.usable(&open.service.name) {
            if self.hold_ms(now, upstream, 0) <= 0.0 {
                return None;
            }
            slots_ms.extend(self.slots_after_hold_ms(now, upstream, Vec::new()));
        }
        Some(slots_ms)
    }

    /// Times in ms until the slots of an upstream can be used that holds requests back for now. `busy_ms`
    /// has the times until its busy slots become free.
    fn slots_after_hold_ms(&self, now: Time, upstream: &Upstream, busy_ms: Vec<f64>) -> Vec<f64> {
        let free_len = (upstream.record.slots_len as usize).saturating_sub(busy_ms.len());
        let mut slots_ms = vec![0.0; free_len];
        slots_ms.extend(busy_ms);
        slots_ms.sort_by(f64::total_cmp);
        for (queued_len, slot_ms) in slots_ms.iter_mut().enumerate() {
            *slot_ms = slot_ms.max(self.hold_ms(now, upstream, queued_len));
        }
        slots_ms
    }

    /// Time in ms until an upstream takes one more request after `queued_len` others, by its backoff and
    /// its rate limit.
    fn hold_ms(&self, now: Time, upstream: &Upstream, queued_len: usize) -> f64 {
        let id = &upstream.record.id;
        let share_ratio = self.heard_share_ratio();
        let backoff_ms = self.backoff.left_ms(now, id).get() as f64;
        let rate_ms = self.rate_limits.wait_ms(now, id, share_ratio, queued_len);
        backoff_ms.max(rate_ms)
    }

    /// Time until the first upstream of a call's service takes requests again; none if one does.
    pub(super) fn hold_left_ms(&self, now: Time, open: &OpenCall) -> Option<Millis> {
        let usable = self.fleet.usable(&open.service.name);
        let left_ms = usable.map(|upstream| self.hold_ms(now, upstream, 0));
        let left_ms = left_ms.min_by(f64::total_cmp)?;
        (left_ms > 0.0).then(|| Millis::new(left_ms.ceil() as u64))
    }

    /// Whether a call may be queued: its predicted wait is within the limits.
    pub(super) fn may_queue(&self, now: Time, open: &OpenCall, queue_position: usize) -> bool {
        let target_ms = open.route.target_latency_ms.get() as f64;
        let left_ms = open.left_ms(now).get() as f64;
        let limit_ms = (left_ms * WAIT_MAX_RATIO).min(target_ms * WAIT_MAX_TARGET_FACTOR);
        let waited_ms = open.waiting_since.map_or(0, |since| now.since(since).get()) as f64;
        let predicted_wait_ms = self
            .wait_beside_returns_ms(now, open, queue_position)
            .or_else(|| self.predicted_wait_ms(now, open, queue_position))
            .unwrap_or_default();
        if let Some(may_queue) = self.may_queue_with_returns(now, open, predicted_wait_ms) {
            return may_queue;
        }
        waited_ms + predicted_wait_ms < limit_ms
    }

    /// `Retry-After` for a call that is refused for lack of capacity.
    pub(super) fn capacity_retry_after_ms(&self, now: Time, open: &OpenCall) -> Millis {
        let queue_position = self.waiting.len() * self.members_len();
        let predicted = self.predicted_wait_ms(now, open, queue_position);
        predicted.map_or(DEFAULT_RETRY_AFTER_MS, |ms| {
            Millis::new(ms.ceil() as u64).max(RETRY_AFTER_MIN_MS)
        })
    }
}
