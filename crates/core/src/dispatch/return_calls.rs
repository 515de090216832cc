//! Callers who are refused for lack of capacity and return: the retry times that they are told, the slots kept for
//! them, and repeats before the time given. All of it is off without settings in `dispatch.returns`.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    placement::Placement,
    queue_wait::{DEFAULT_RETRY_AFTER_MS, RETRY_AFTER_MIN_MS},
    return_time::least_service_ms,
    Call, DispatchAction, DispatchMessage, DispatchRecord, ExtensionFrame, ExtensionMessage,
    Refusal, RefusalReason,
};
use crate::{
    catalog::{Route, Service},
    fleet::Upstream,
    ids::{Fingerprint, ServiceName, VmId},
    returns::{Arrival, Promise, PromiseReports, RetryChoice, ReturnsSettings, SlotForecast},
    units::{Millis, Time},
};
use std::sync::Arc;

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
