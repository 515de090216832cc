//! The time at which a refused caller may return, from what this daemon knows of all requests and promises.

use super::{
    choose::ENGINES_PER_PROMPT_MAX_LEN,
    choose_engine,
    contention::hash_ratio,
    dispatcher::{Dispatcher, OpenCall},
    PlacementRequest,
};
use crate::{
    fleet::Upstream,
    returns::{choose_retry, load_after, RetryChoice, RetryRequest, ReturnsSettings, SlotForecast},
    units::{Millis, Time},
};

/// Passes of an engine from the end of a prompt's prefill to its first event.
const FIRST_EVENT_PASSES: f64 = 1.0;

impl Dispatcher {
    /// Times in ms until slots of a call's service become free. Those of a plain service are estimated from the requests
    /// that its upstreams took in the last second.
    pub(super) fn slots_ms(&self, now: Time, open: &OpenCall) -> Vec<f64> {
        if let Some(profile) = open.service.engine.as_ref() {
            return self.engine_slots_ms(now, open, profile);
        }
        if let Some(held_ms) = self.held_slots_ms(now, open) {
            return held_ms;
        }
        let service = &open.service.name;
        let per_ms = self.expected_calls(now, service, 1.0);
        let usable = self.fleet.usable(service);
        let taken = usable.map(|known| self.in_flight.requests_len(&known.record.id));
        let taken_len = if per_ms > 0.0 { taken.sum() } else { 0 };
        (1..=taken_len).map(|count| count as f64 / per_ms).collect()
    }

    /// What a caller that can't be placed now is told; none if nothing can be predicted.
    pub(super) fn retry_choice(
        &self,
        now: Time,
        open: &OpenCall,
        settings: &ReturnsSettings,
    ) -> Option<RetryChoice> {
        let forecast = SlotForecast::new(self.slots_ms(now, open));
        let promised_ms = self.promises.promised_ms(now, settings, &open.service.name);
        let request = RetryRequest {
            left_ms: open.left_ms(now),
            service_ms: least_service_ms(open),
            queued_len: self.waiting.len() * self.members_len(),
            drawn_ratio: self.drawn_ratio(open),
        };
        let choice = choose_retry(settings, &forecast, &promised_ms, &request)?;
        let RetryChoice::Promise(earliest_ms) = choice else {
            return Some(choice);
        };
        // Any later time leaves the other promises as much room.
        let latest_ms = settings.honoured_ms(request.left_ms).max(earliest_ms);
        let middle_ms = Millis::new((earliest_ms.get() + latest_ms.get()) / 2);
        let serves = |after_ms: &Millis| self.a_slot_serves(now, open, *after_ms);
        let served_ms = [earliest_ms, middle_ms, latest_ms].into_iter().find(serves);
        let hint_ms = settings.unhonoured_ms(request.left_ms);
        Some(served_ms.map_or(RetryChoice::Hint(hint_ms), RetryChoice::Promise))
    }

    /// Whether a slot that becomes free would serve a call that returns after this time. A long prompt may be refused
    /// with slots free: for lack of memory, or because its prefill would delay too many answers.
    fn a_slot_serves(&self, now: Time, open: &OpenCall, after_ms: Millis) -> bool {
        let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
            return true;
        };
        let after = |upstream: &Upstream| {
            let mut candidate = self.candidate(now, open, upstream);
            candidate.load = load_after(candidate.load, profile, after_ms);
            candidate
        };
        let usable = self.fleet.usable(&open.service.name);
        let candidates: Vec<_> = usable.map(after).collect();
        let catalog = self.catalog.as_ref();
        let left_ms = open.left_ms(now).saturating_sub(after_ms).get() as f64;
        let request = PlacementRequest {
            profile,
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            gaps: self.gap_request(open),
            target_ms: open.route.target_latency_ms.get() as f64,
            left_ms,
            min_pause_target_ms: catalog.and_then(|c| c.min_pause_target_ms(&open.service.name)),
        };
        let choice = choose_engine(&candidates, &request);
        choice.is_some_and(|choice| choice.prediction.first_event_ms <= left_ms)
    }

    /// Number from 0 to 1 that differs by daemon and call.
    pub(super) fn drawn_ratio(&self, open: &OpenCall) -> f64 {
        hash_ratio(&format!("{}\n{}", self.vm, open.call.request_id))
    }
}

/// Time in ms that an idle service takes until the first event of a call, with as many engines as may prefill its
/// prompt; zero for a plain service.
pub(super) fn least_service_ms(open: &OpenCall) -> f64 {
    let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
        return 0.0;
    };
    let prefill_ms = profile.prefill_ms(prompt.prompt_tokens);
    prefill_ms / ENGINES_PER_PROMPT_MAX_LEN as f64 + profile.pass_ms(0.0) * FIRST_EVENT_PASSES
}
