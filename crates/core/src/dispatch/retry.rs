//! Ends of transmissions and calls: retries, relayed failures, callers who leave, and timeouts.

use super::{
    cached_prefixes::PrefixLoss,
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    next_step::{Decision, NextStep, RetryVerdict},
    Clearing, DispatchAction, DispatchMessage, DispatchRecord, InFlightId, LateCause, Refusal,
    RefusalReason, SendOutcome,
};
use crate::{
    ids::{CallId, SendId, UpstreamId},
    units::{Millis, Time},
};
use std::sync::Arc;

/// An engine may be silent for this multiple of its predicted backlog.
const SILENCE_FACTOR: f64 = 2.0;

/// Lowest HTTP status of a server error, for which a retry at another upstream may succeed.
pub(super) const SERVER_FAILURE_STATUS: u16 = 500;

impl Dispatcher {
    /// Handles the first event of an answer, or a complete answer.
    pub(super) fn on_first_byte(&mut self, out: &mut Out<'_>, call: CallId, send: SendId) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        if open
            .sending
            .as_ref()
            .is_none_or(|sending| sending.send != send)
        {
            return;
        }
        open.may_have_run = true;
        let is_first = open.first_at.is_none();
        open.first_at.get_or_insert(out.now);
        if let Some(sending) = &mut open.sending {
            sending.begun_at.get_or_insert(out.now);
            sending.is_silent = false;
        }
        if is_first {
            self.sample_engine(out, call);
        }
        self.clear_fingerprints(out, call, Clearing::Begun);
        self.note_borne_bytes(call);
        self.check_prefix(out, call, send);
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        if let Some(sending) = &open.sending {
            self.health.on_answer(&sending.upstream);
        }
        if self
            .in_flight
            .on_first_event(out.now, InFlightId::own(send))
        {
            self.notify_batched(out.now, DispatchMessage::FirstEvent(send));
        }
    }

    /// Handles an upstream that has been silent for longer than its timeout. The call moves to another
    /// upstream only if one can take it now: otherwise the answer may still come.
    pub(super) fn on_stalled(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        send: SendId,
        silent_ms: Millis,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Some(sending) = open.sending.clone().filter(|sending| sending.send == send) else {
            return;
        };
        let tolerated_ms = self.tolerated_silence_ms(out.now, open, &sending);
        let hangs = self.is_on_hanging_link(out.now, &sending);
        if !hangs && (silent_ms.get() as f64) < tolerated_ms {
            return;
        }
        self.move_stalled(out, call, &sending);
    }

    /// Handles an upstream that is silent, though not for long enough to count as stalled: the link may hang.
    pub(super) fn on_silent(&mut self, out: &mut Out<'_>, call: CallId, send: SendId) {
        let open = self.calls.get_mut(&call);
        let sending = open.and_then(|open| open.sending.as_mut());
        let Some(sending) = sending.filter(|sending| sending.send == send) else {
            return;
        };
        sending.is_silent = true;
        let sending = sending.clone();
        if self.is_on_hanging_link(out.now, &sending) {
            self.move_stalled(out, call, &sending);
        } else {
            self.check_link(out, &sending);
        }
    }

    /// Moves the calls that wait for an upstream over a link that has turned out to hang.
    pub(super) fn move_silent(&mut self, out: &mut Out<'_>, upstream: &UpstreamId) {
        let silent = self.calls.iter().filter_map(|(call, open)| {
            let sending = open.sending.as_ref()?;
            let hangs = sending.is_silent && self.is_on_hanging_link(out.now, sending);
            (hangs && sending.upstream == *upstream).then(|| (*call, sending.clone()))
        });
        let silent: Vec<_> = silent.collect();
        for (call, sending) in silent {
            self.move_stalled(out, call, &sending);
        }
    }

    /// Moves a call whose transmission gets no answer to another upstream, if one can take it now.
    fn move_stalled(&mut self, out: &mut Out<'_>, call: CallId, sending: &Sending) {
        let end = SendOutcome::Lost {
            reason: "silent".to_owned(),
            stalled: true,
        };
        self.move_sending(out, call, sending, &end);
    }

    /// Moves a call to another upstream that can take it now, after its transmission failed with `end`. Returns
    /// false if there is none: the transmission then goes on.
    pub(super) fn move_sending(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        sending: &Sending,
        end: &SendOutcome,
    ) -> bool {
        let Some(open) = self.calls.get(&call) else {
            return false;
        };
        let send = sending.send;
        let may_move =
            open.route.kind.repeatable() && open.reached_count + 1 < open.route.max_attempts;
        let other = may_move
            .then(|| self.find_placement(out.now, open).ok())
            .flatten();
        self.record_outcome(out, call, sending, end);
        let decision = if other.is_some() {
            self.next_step(out.now, call, end)
        } else if may_move {
            Decision::wait(RetryVerdict::NoRoom)
        } else {
            Decision::wait(RetryVerdict::NotRepeatable)
        };
        let sends_again = decision.next == NextStep::SendAgain;
        let next = if sends_again {
            NextStep::SendAgain
        } else {
            NextStep::Wait
        };
        self.log_send_failed(out, call, sending, end, Decision { next, ..decision });
        let Some(placement) = other.filter(|_| sends_again) else {
            return false;
        };
        self.end_transmission(out, call, Some(send));
        self.avoid_domain(call, sending, end);
        if let Some(open) = self.calls.get_mut(&call) {
            open.sending = None;
            open.may_have_run = true;
            open.has_arrived = true;
            open.reached_count += 1;
        }
        self.start(out, call, placement);
        true
    }

    /// Time in ms for which an upstream may be silent given its load. Moving a call whose upstream is
    /// only slow would run the call twice.
    fn tolerated_silence_ms(&self, now: Time, open: &OpenCall, sending: &Sending) -> f64 {
        let Some(profile) = &open.service.engine else {
            let requests_len = self.in_flight.requests_len(&sending.upstream) as f64;
            let upstream = self.fleet.get(&sending.upstream);
            let slots_len = upstream.map_or(1, |known| known.record.slots_len.max(1));
            let rounds = requests_len / f64::from(slots_len);
            return open.route.target_latency_ms.get() as f64 * rounds * SILENCE_FACTOR;
        };
        let profile = &self.profile_at_speed(now, &sending.upstream, profile);
        let load = self.in_flight.engine_load(now, &sending.upstream, profile);
        (load.backlog_ms() + load.pass_ms(profile)) * SILENCE_FACTOR
    }

    /// The request id that the caller chose.
    pub(super) fn request_id(&self, call: CallId) -> Arc<str> {
        let open = self.calls.get(&call);
        open.map_or_else(|| "".into(), |open| Arc::clone(&open.call.request_id))
    }

    /// Handles the end of a transmission.
    pub(super) fn on_ended(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        send: SendId,
        end: SendOutcome,
    ) {
        if !end.may_have_run() {
            self.refund_sent_work(out.now, send);
        }
        self.end_transmission(out, call, Some(send));
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(sending) = open.sending.take_if(|sending| sending.send == send) else {
            return;
        };
        open.is_trial = false;
        open.may_have_run |= end.may_have_run();
        open.has_arrived |= end.may_have_arrived();
        if sending.is_repeat && !end.may_have_arrived() {
            self.budget.refund(&open.service.name, sending.sent_at);
        }
        if end.may_have_run() {
            open.reached_count += 1;
        }
        if end == SendOutcome::Delivered {
            self.clear_fingerprints(out, call, Clearing::Survived);
            self.health.on_success(&sending.upstream);
            self.sample_plain(out, call, &sending);
            return self.finish(out, call, &sending, None);
        }
        if self.is_answer_of_plain_upstream(call, &end) {
            self.clear_fingerprints(out, call, Clearing::Survived);
        }
        self.record_outcome(out, call, &sending, &end);
        if end.may_have_run() {
            self.forget_prefixes(out, &sending.upstream, PrefixLoss::BrokenOff);
        }
        self.avoid_domain(call, &sending, &end);
        self.avoid_helpers(out, call, &sending, &end);
        let decision = self.next_step(out.now, call, &end);
        let next = decision.next;
        self.log_send_failed(out, call, &sending, &end, decision);
        match (next, end) {
            (NextStep::SendAgain, _) => self.place_call(out, call),
            (NextStep::PassFailure, SendOutcome::Failed { status, .. }) => {
                out.act(DispatchAction::PassFailure { call });
                self.finish(out, call, &sending, Some(status));
            }
            (NextStep::PassFailure | NextStep::Wait, _) => {
                self.give_up(out, call, RefusalReason::UpstreamFailed);
            }
            (NextStep::GiveUp(reason), _) => self.give_up(out, call, reason),
        }
    }

    /// Whether an error response shows that a plain upstream has worked on the request and lives. A server
    /// error may have come before it began to.
    fn is_answer_of_plain_upstream(&self, call: CallId, end: &SendOutcome) -> bool {
        let open = self.calls.get(&call);
        let is_plain = open.is_some_and(|open| open.service.engine.is_none());
        let is_own_answer = matches!(end, SendOutcome::Failed { status, not_run: false, .. }
            if *status < SERVER_FAILURE_STATUS);
        is_plain && is_own_answer
    }

    fn finish(&mut self, out: &mut Out<'_>, call: CallId, sending: &Sending, status: Option<u16>) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let first_at = open.first_at;
        let gap_kept = open.gap_kept();
        let is_answer = status.is_none();
        let first_late = first_at.is_some_and(|first_at| first_at > open.on_time_deadline());
        let late = LateCause::new(first_late, gap_kept == Some(false)).filter(|_| is_answer);
        out.log(DispatchRecord::Answered {
            request: Arc::clone(&open.call.request_id),
            class: open.route.kind.name(),
            upstream: sending.upstream.clone(),
            first_ms: first_at.map(|first_at| first_at.since(open.arrived_at)),
            predicted_ms: sending.predicted_ms.map(|ms| Millis::new(ms as u64)),
            age_ms: open.age_ms(out.now),
            tries_count: open.tries_count,
            status,
            longest_gap_ms: open.longest_gap_ms,
            gap_kept,
            late,
        });
    }

    /// Handles a caller who left. The transport cancels the request at the upstream.
    pub(super) fn on_caller_left(&mut self, out: &mut Out<'_>, call: CallId) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        self.end_transmission(out, call, open.sending_id());
        out.log(DispatchRecord::CallerLeft {
            request: Arc::clone(&open.call.request_id),
            class: open.route.kind.name(),
            age_ms: open.age_ms(out.now),
            sent: open.sending.is_some(),
        });
    }

    /// Ends a call without an upstream's answer.
    pub(super) fn give_up(&mut self, out: &mut Out<'_>, call: CallId, reason: RefusalReason) {
        if reason == RefusalReason::NoCapacity {
            self.count_unserved(out.now, call);
        }
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let may_have_run = open.may_have_run || open.sending.is_some();
        self.end_transmission(out, call, open.sending_id());
        let refusal = Refusal {
            reason,
            may_have_run,
            retry_after_ms: if may_have_run {
                None
            } else {
                self.refusal_retry_ms(out, &open, reason)
            },
        };
        out.log(DispatchRecord::Refused {
            request: Arc::clone(&open.call.request_id),
            route: Some(open.route.name.clone()),
            class: Some(open.route.kind.name()),
            reason,
            fingerprint: (reason == RefusalReason::Quarantined)
                .then(|| self.quarantine.find(&open.call.fingerprints))
                .flatten(),
            may_have_run,
            retry_after_ms: refusal.retry_after_ms,
            tries_count: open.tries_count,
            usable_len: self.fleet.usable(&open.service.name).count(),
            catalog: self.catalog.as_ref().map(|c| c.version()),
            knowledge_ms: self.knowledge_ms(out.now),
            store: self.operators.position(),
            age_ms: open.age_ms(out.now),
        });
        if open.first_at.is_some() {
            out.act(DispatchAction::AbortAnswer { call });
        } else {
            out.act(DispatchAction::Refuse { call, refusal });
        }
    }

    /// Gives up the calls whose time has expired.
    pub(super) fn end_overdue(&mut self, out: &mut Out<'_>) {
        let overdue = self
            .calls
            .iter()
            .filter(|(_, open)| open.give_up_at() <= out.now);
        let calls: Vec<_> = overdue.map(|(call, _)| *call).collect();
        for call in calls {
            self.give_up(out, call, RefusalReason::TimedOut);
        }
    }
}
