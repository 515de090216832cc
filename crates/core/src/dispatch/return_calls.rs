//! Callers who are refused for lack of capacity and return: the retry times that they are told, the slots kept for
//! them, and repeats before the time given. All of it is off without settings in `dispatch.returns`.

use super::{
    choose::ENGINES_PER_PROMPT_MAX_LEN,
    choose_engine,
    contention::hash_ratio,
    dispatcher::{Dispatcher, OpenCall, Out},
    placement::Placement,
    queue_wait::{DEFAULT_RETRY_AFTER_MS, RETRY_AFTER_MIN_MS},
    Call, DispatchAction, DispatchMessage, DispatchRecord, ExtensionFrame, ExtensionMessage,
    PlacementRequest, Refusal, RefusalReason,
};
use crate::{
    catalog::{EngineProfile, Route, Service},
    engine::EngineLoad,
    fleet::Upstream,
    ids::{Fingerprint, ServiceName, VmId},
    returns::{
        choose_retry, Arrival, Promise, PromiseReports, RetryChoice, RetryRequest, ReturnsSettings,
        SlotForecast,
    },
    units::{Millis, Time, Tokens},
};
use std::sync::Arc;

/// Passes of an engine from the end of a prompt's prefill to its first event.
const FIRST_EVENT_PASSES: f64 = 1.0;

/// Longest wait of a caller who returned when told to, as a share of its remaining time. One that no slot serves
/// must not be held until its deadline.
const RETURNED_WAIT_MAX_RATIO: f64 = 0.5;

/// Requests that a plain upstream holds at most, as a multiple of its slots (see `Dispatcher::has_room`).
const PLAIN_SLOTS_FACTOR: usize = 2;

impl Dispatcher {
    /// Whether an arriving call returns at the time that it was promised.
    pub(super) fn is_returning(
        &self,
        out: &mut Out<'_>,
        call: &Call,
        service: &Service,
        fingerprint: Fingerprint,
    ) -> bool {
        let Some(settings) = self.settings.returns else {
            return false;
        };
        let arrival = self
            .promises
            .judge(out.now, &settings, fingerprint, &service.name);
        let is_returning = arrival == Arrival::Returned;
        if is_returning {
            out.log(DispatchRecord::Returned {
                request: Arc::clone(&call.request_id),
                fingerprint,
                early_ms: None,
            });
        }
        is_returning
    }

    /// Refuses a call that repeats a refused one before the time given to that, with the same time. It is refused
    /// before placement and counts as no call, so it adds nothing to the retry budget. Returns false if it is
    /// not such a repeat, or if a slot is free that is kept for nobody and that no queued call gets.
    pub(super) fn refuse_early_repeat(
        &self,
        out: &mut Out<'_>,
        call: &Call,
        (route, service): (&Route, &Service),
        fingerprint: Fingerprint,
    ) -> bool {
        let Some(settings) = self.settings.returns else {
            return false;
        };
        let judged = self
            .promises
            .judge(out.now, &settings, fingerprint, &service.name);
        let Arrival::Early(early_ms) = judged else {
            return false;
        };
        let kept_len = self.kept_slots_len(out.now, &settings, &service.name, u8::MAX);
        if self.free_slots_len(out.now, service) > kept_len + self.waiting.len() {
            return false;
        }
        out.log(DispatchRecord::Returned {
            request: Arc::clone(&call.request_id),
            fingerprint,
            early_ms: Some(early_ms),
        });
        let refusal = Refusal {
            reason: RefusalReason::NoCapacity,
            may_have_run: false,
            retry_after_ms: Some(early_ms),
        };
        self.refuse_new(out, call, Some(route), refusal);
        true
    }

    /// Finds the best upstream for a call, unless the free slots are kept for callers who return.
    pub(super) fn find_unkept_placement(
        &self,
        now: Time,
        open: &OpenCall,
    ) -> Result<Placement, RefusalReason> {
        if self.leaves_kept_slots(now, open) {
            return Err(RefusalReason::NoCapacity);
        }
        self.find_placement(now, open)
    }

    /// Whether a call has a slot kept for it: its caller returned when told to, or came earlier and has waited until
    /// then.
    pub(super) fn has_promise_due(&self, now: Time, open: &OpenCall) -> bool {
        let is_due = |settings| {
            let service = &open.service.name;
            let judged = self
                .promises
                .judge(now, &settings, open.fingerprint, service);
            judged == Arrival::Returned
        };
        open.is_returning || self.settings.returns.is_some_and(is_due)
    }

    fn leaves_kept_slots(&self, now: Time, open: &OpenCall) -> bool {
        let Some(settings) = self.settings.returns else {
            return false;
        };
        if open.tries_count > 0 || self.has_promise_due(now, open) {
            return false;
        }
        let service = &open.service.name;
        let kept_len = self.kept_slots_len(now, &settings, service, open.priority());
        kept_len > 0 && self.free_slots_len(now, &open.service) <= kept_len
    }

    /// Number of slots kept now from calls of a priority: at most the promised part of all slots.
    fn kept_slots_len(
        &self,
        now: Time,
        settings: &ReturnsSettings,
        service: &ServiceName,
        priority: u8,
    ) -> usize {
        let kept_len = self.promises.kept_len(now, settings, service, priority);
        if kept_len == 0 {
            return 0;
        }
        let usable = self.fleet.usable(service);
        let slots_len: usize = usable.map(|known| known.record.slots_len as usize).sum();
        kept_len.min(slots_len * settings.promised_percent as usize / 100)
    }

    /// Number of slots of a service's upstreams that take requests and have room.
    fn free_slots_len(&self, now: Time, service: &Service) -> usize {
        let factor = if service.engine.is_some() {
            1
        } else {
            PLAIN_SLOTS_FACTOR
        };
        let free_len = |upstream: &Upstream| {
            let id = &upstream.record.id;
            let takes_work = self.takes_work(now, id) && !self.health.get(id).is_ejected(now);
            let slots_len = upstream.record.slots_len as usize * factor;
            let free_len = slots_len.saturating_sub(self.in_flight.requests_len(id));
            if takes_work {
                free_len
            } else {
                0
            }
        };
        self.fleet.usable(&service.name).map(free_len).sum()
    }

    /// Number of slots that are kept now for callers who return, over all services.
    pub fn kept_slots_total_len(&self, now: Time) -> usize {
        let Some(settings) = self.settings.returns else {
            return 0;
        };
        let services = self.promises.services();
        services
            .map(|service| self.kept_slots_len(now, &settings, service, u8::MAX))
            .sum()
    }

    /// Whether a call that can't be placed may be queued with this predicted wait, beyond the usual limits; none if
    /// those apply.
    ///
    /// A call that no wait can serve is refused at once. A caller who returned when told to waits up to
    /// half of its time, so that it is not refused twice. A call whose retry time its caller would not honour
    /// waits as long as it can be on time.
    pub(super) fn may_queue_with_returns(
        &self,
        now: Time,
        open: &OpenCall,
        wait_ms: f64,
    ) -> Option<bool> {
        let settings = self.settings.returns?;
        let ready_ms = wait_ms + least_service_ms(open);
        if ready_ms > open.first_event_deadline().since(now).get() as f64 {
            return Some(false);
        }
        if self.has_promise_due(now, open) {
            let waited_ms = open.waiting_since.map_or(0, |since| now.since(since).get()) as f64;
            let left_ms = open.left_ms(now).get() as f64;
            return Some(waited_ms + wait_ms < (waited_ms + left_ms) * RETURNED_WAIT_MAX_RATIO);
        }
        let is_in_time = ready_ms <= open.on_time_deadline().since(now).get() as f64;
        let is_promised = || {
            let choice = self.retry_choice(now, open, &settings);
            matches!(choice, Some(RetryChoice::Promise(_)))
        };
        let waits = || open.waiting_since.is_some() || !is_promised();
        (is_in_time && waits()).then_some(true)
    }

    /// Predicted time in ms until a call at this queue position finds a free slot, if the component is on. Slots that
    /// are kept for callers who return go to them first.
    pub(super) fn wait_beside_returns_ms(
        &self,
        now: Time,
        open: &OpenCall,
        queue_position: usize,
    ) -> Option<f64> {
        let settings = self.settings.returns?;
        let before_len = if self.has_promise_due(now, open) {
            0
        } else {
            let service = &open.service.name;
            queue_position + self.kept_slots_len(now, &settings, service, open.priority())
        };
        let forecast = SlotForecast::new(self.slots_ms(now, open));
        forecast.time_ms((before_len + 1) as f64)
    }

    /// Times in ms until slots of a call's service become free. Those of a plain service are estimated from the requests
    /// that its upstreams took in the last second.
    fn slots_ms(&self, now: Time, open: &OpenCall) -> Vec<f64> {
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

    fn retry_choice(
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
            target_ms: open.route.target_latency_ms.get() as f64,
            left_ms,
            min_pause_target_ms: catalog.and_then(|c| c.min_pause_target_ms(&open.service.name)),
        };
        let choice = choose_engine(&candidates, &request);
        choice.is_some_and(|choice| choice.prediction.first_event_ms <= left_ms)
    }

    /// Number from 0 to 1 that differs by daemon and call.
    fn drawn_ratio(&self, open: &OpenCall) -> f64 {
        hash_ratio(&format!("{}\n{}", self.vm, open.call.request_id))
    }

    /// `Retry-After` for a call that is refused. For lack of capacity it is a promise or a hint, which is
    /// recorded.
    pub(super) fn refusal_retry_ms(
        &mut self,
        out: &mut Out<'_>,
        open: &OpenCall,
        reason: RefusalReason,
    ) -> Option<Millis> {
        let usual_ms = |this: &Self| this.retry_after_ms(out.now, open, reason);
        let Some(settings) = self.settings.returns else {
            return usual_ms(self);
        };
        match reason {
            RefusalReason::NoCapacity => Some(self.promise_return(out, open, &settings)),
            RefusalReason::NoUpstream | RefusalReason::UpstreamsRefused => {
                let spread_ms = settings.spread_ms.get() as f64 * self.drawn_ratio(open);
                usual_ms(self).map(|ms| ms + Millis::new(spread_ms as u64))
            }
            _ => usual_ms(self),
        }
    }

    fn promise_return(
        &mut self,
        out: &mut Out<'_>,
        open: &OpenCall,
        settings: &ReturnsSettings,
    ) -> Millis {
        let (now, fingerprint) = (out.now, open.fingerprint);
        let service = &open.service.name;
        if let Arrival::Early(early_ms) = self.promises.judge(now, settings, fingerprint, service) {
            return early_ms;
        }
        let is_again = self.has_promise_due(now, open);
        let choice = self.retry_choice(now, open, settings);
        let (retry_ms, keeps_slot) = match choice {
            Some(RetryChoice::Promise(ms)) => (ms, true),
            Some(RetryChoice::Hint(ms)) => (ms.max(RETRY_AFTER_MIN_MS), false),
            None => (DEFAULT_RETRY_AFTER_MS, false),
        };
        let promise = Promise {
            service: service.clone(),
            priority: open.priority(),
            at: now + retry_ms,
            keeps_slot,
            is_own: true,
        };
        let is_recorded = self.promises.promise(now, settings, fingerprint, promise);
        self.flush_outbox_soon(now);
        out.log(DispatchRecord::ReturnPromised {
            request: Arc::clone(&open.call.request_id),
            fingerprint,
            service: service.clone(),
            retry_after_ms: retry_ms,
            keeps_slot: keeps_slot && is_recorded,
            is_again,
        });
        retry_ms
    }

    /// Ends the promise of a call that is sent: its slot is no longer kept.
    pub(super) fn end_promise(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.promises.end(fingerprint) {
            self.flush_outbox_soon(now);
        }
    }

    /// Queues what peers have not been told of the promises, as one message.
    pub(super) fn queue_promise_reports(&mut self, out: &mut Out<'_>) {
        let reports = self.promises.take_reports(out.now);
        if !reports.is_empty() {
            self.notify_extension(out, &ExtensionMessage::RetryPromises(reports));
        }
    }

    /// Records what a peer reports of promises.
    pub(super) fn on_retry_promises(&mut self, now: Time, reports: PromiseReports) {
        if let Some(settings) = self.settings.returns {
            self.promises.on_reports(now, &settings, reports);
        }
    }

    /// Reports the own promises to a peer that has just connected and reads them.
    pub(super) fn report_promises(&self, out: &mut Out<'_>, vm: &VmId) {
        let reports = self.promises.own_reports(out.now);
        if reports.is_empty() {
            return;
        }
        if let Ok(frame) = ExtensionFrame::try_from(&ExtensionMessage::RetryPromises(reports)) {
            out.act(DispatchAction::Notify {
                to: Some(vm.clone()),
                message: DispatchMessage::Extension(frame),
            });
        }
    }
}

/// The load of an engine after a time, if its slots are filled again and one of them is free.
fn load_after(mut load: EngineLoad, profile: &EngineProfile, after_ms: Millis) -> EngineLoad {
    let mut spent_ms = after_ms.get() as f64;
    for prefill in &mut load.prefills {
        let done_ms = prefill.remaining_ms.min(spent_ms);
        spent_ms -= done_ms;
        let left_ratio = 1.0 - done_ms / prefill.remaining_ms.max(1.0);
        prefill.remaining_ms -= done_ms;
        let left_tokens = prefill.remaining_tokens.get() as f64 * left_ratio;
        prefill.remaining_tokens = Tokens::new(left_tokens as u64);
    }
    if load.requests_len() >= profile.slots_len as usize {
        let decoding = load.decoding.iter().enumerate();
        let oldest = decoding.max_by(|(_, a), (_, b)| a.decoding_ms.total_cmp(&b.decoding_ms));
        if let Some(index) = oldest.map(|(index, _)| index) {
            load.decoding.swap_remove(index);
        }
    }
    load
}

/// Time in ms that an idle service takes until the first event of a call, with as many engines as may prefill its
/// prompt; zero for a plain service.
fn least_service_ms(open: &OpenCall) -> f64 {
    let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
        return 0.0;
    };
    let prefill_ms = profile.prefill_ms(prompt.prompt_tokens);
    prefill_ms / ENGINES_PER_PROMPT_MAX_LEN as f64 + profile.pass_ms(0.0) * FIRST_EVENT_PASSES
}
