//! Transmission of a call to the upstream that was found for it, and its timeouts.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    in_flight::in_flight_report,
    placement::Placement,
    DispatchAction, DispatchMessage, DispatchRecord, HelperAssignment, InFlightEntry, InFlightId,
    Phase, PrefillHelper, SendPlan,
};
use crate::{
    catalog::{CallKind, Route},
    ids::{CallId, SendId},
    units::{Millis, Time, Tokens},
};
use std::sync::Arc;

/// Minimum timeout of an engine's first event, in addition to a multiple of the prediction.
const FIRST_EVENT_TIMEOUT_MIN_MS: Millis = Millis::new(1_500);

/// Multiple of the predicted time to the first event in an engine's timeout.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;

/// Timeout of an upstream that is not an engine, as a multiple of the latency target.
const PLAIN_TIMEOUT_FACTOR: u64 = 3;

/// Timeout between events, as a multiple of the pause target.
const PAUSE_TIMEOUT_FACTOR: u64 = 5;

/// Minimum timeout between events: healthy servers stall that long when one beside them dies.
const PAUSE_TIMEOUT_MIN_MS: Millis = Millis::new(1_600);

/// Time beyond the expected first byte after which a silent upstream's link is checked.
const LINK_CHECK_MARGIN_MS: Millis = Millis::new(100);

/// Silence between events after which the link is checked, as a multiple of the pause target.
const PAUSE_CHECK_FACTOR: u64 = 2;

/// Time without an event after which callers of a stream leave: the longest of this minimum, a
/// multiple of the latency target and a multiple of the pause target, as the platform documents for
/// streams.
const CALLER_WAIT_MIN_MS: Millis = Millis::new(2_000);
const CALLER_WAIT_TARGET_FACTOR: u64 = 4;
const CALLER_WAIT_PAUSE_FACTOR: u64 = 8;

/// Share of an upstream's connections that all daemons use together.
const CONNECTION_RATIO: f64 = 0.8;

impl Dispatcher {
    /// Sends a call to the upstream that was found for it, and reports the request to all peers.
    pub(super) fn send(&mut self, out: &mut Out<'_>, id: CallId, placement: Placement) {
        if !self.take_granted_retry(out, id) {
            return;
        }
        let send = self.last_send.next();
        let Some(plan) = self.plan(out.now, id, send, &placement) else {
            return;
        };
        self.last_send = send;
        let Some(open) = self.calls.get_mut(&id) else {
            return;
        };
        let slowdown = self.speeds.engine_slowdown(out.now, &placement.upstream);
        open.tries_count += 1;
        let fingerprint = open.fingerprint;
        open.excluded.push(placement.upstream.clone());
        open.sending = Some(Sending {
            send,
            upstream: placement.upstream.clone(),
            sent_at: out.now,
            predicted_ms: placement.predicted_ms,
            expected_ms: placement.predicted_ms.map(|ms| ms / slowdown.get()),
            helpers: placement
                .helpers
                .iter()
                .map(|h| h.upstream.clone())
                .collect(),
            is_repeat: open.has_arrived,
            begun_at: None,
            is_silent: false,
            relay: None,
        });
        // Peers need to know whether an upstream answers after its ejection.
        let reports_first_event = self.health.get(&placement.upstream).is_suspect();
        let mut entry = open.in_flight_entry(out.now, &placement);
        if reports_first_event {
            entry.first_due_at = None;
        }
        self.end_promise(out.now, fingerprint);
        self.log_sent(out, id, send, &placement);
        self.count_sent_work(out.now, id, send);
        self.count_upstream_bytes(out.now, id, send, &placement.upstream);
        let upstream = &placement.upstream;
        entry.cached_tokens =
            self.record_prefix_sent(out, id, send, upstream, placement.predicted_ms);
        out.act(DispatchAction::Send(Box::new(plan)));
        let report = in_flight_report(out.now, send, &entry, placement.helpers.clone());
        self.notify_now(out.now, DispatchMessage::Started(report));
        self.slow_start.on_sent(out.now, &placement.upstream);
        self.backoff.on_sent(out.now, &placement.upstream);
        self.health.on_sent(out.now, &placement.upstream);
        self.count_against_rate_limits(out.now, placement.upstreams());
        let id = InFlightId::own(send);
        self.in_flight.start(id, &entry, &placement.helpers);
    }

    fn plan(&self, now: Time, id: CallId, send: SendId, placement: &Placement) -> Option<SendPlan> {
        let open = self.calls.get(&id)?;
        let upstream = self.fleet.get(&placement.upstream)?;
        let helper = |helper: &HelperAssignment| {
            let known = self.fleet.get(&helper.upstream)?;
            let ticket = self.reservations.ticket(id, &helper.upstream);
            Some(PrefillHelper {
                address: known.record.address,
                ticket: ticket.map(|ticket| ticket.to_string()),
            })
        };
        let left_ms = open.left_ms(now);
        let connections = f64::from(open.service.connections_max_len) * CONNECTION_RATIO;
        Some(SendPlan {
            call: id,
            send,
            upstream: placement.upstream.clone(),
            started_unix_ms: upstream.record.started_unix_ms,
            address: upstream.record.address,
            paths: self.path_plan(now, &upstream.record),
            connections_max_len: (connections / self.roster.len() as f64).max(1.0) as u32,
            workspace: open.holder.as_ref().map(|holder| holder.workspace.clone()),
            deadline_ms: left_ms,
            repeatable: open.route.kind.repeatable(),
            streaming: matches!(open.route.kind, CallKind::Streaming { .. }),
            first_byte_timeout_ms: first_byte_timeout_ms(
                &open.route,
                left_ms,
                placement.predicted_ms,
            ),
            pause_timeout_ms: pause_timeout_ms(&open.route),
            first_check_ms: first_check_ms(&open.route, placement.predicted_ms),
            pause_check_ms: pause_check_ms(&open.route),
            helpers: placement.helpers.iter().filter_map(helper).collect(),
            is_rate_limited: self.rate_limits.per_s(&placement.upstream).is_some(),
        })
    }

    fn log_sent(&self, out: &mut Out<'_>, id: CallId, send: SendId, placement: &Placement) {
        let (Some(open), Some(upstream)) =
            (self.calls.get(&id), self.fleet.get(&placement.upstream))
        else {
            return;
        };
        let catalog = self.catalog.as_ref().map(|catalog| catalog.version());
        out.log(DispatchRecord::Sent {
            request: Arc::clone(&open.call.request_id),
            class: open.route.kind.name(),
            route: open.route.name.clone(),
            fingerprint: open.fingerprint,
            send,
            upstream: placement.upstream.clone(),
            domain: upstream.record.domain.clone(),
            try_count: open.tries_count,
            load_requests: self.in_flight.requests_len(&placement.upstream),
            limit_per_s: self.rate_limits.per_s(&placement.upstream),
            predicted_ms: placement.predicted_ms.map(|ms| Millis::new(ms as u64)),
            helpers_len: placement.helpers.len(),
            helpers: placement
                .helpers
                .iter()
                .map(|helper| helper.upstream.clone())
                .collect(),
            left_ms: open.left_ms(out.now),
            catalog: catalog.unwrap_or_default(),
            knowledge_ms: self.knowledge_ms(out.now).unwrap_or_default(),
            store: self.operators.position(),
        });
    }
}

impl OpenCall {
    /// Priority of the call; 0 goes first.
    pub(super) fn priority(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|holder| holder.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Deadline after which the first event is of no use: callers of a stream leave if they get no
    /// event for long.
    pub(super) fn first_event_deadline(&self) -> Time {
        let CallKind::Streaming {
            pause_target_ms, ..
        } = self.route.kind
        else {
            return self.deadline_at;
        };
        let caller_wait_ms =
            Millis::new(self.route.target_latency_ms.get() * CALLER_WAIT_TARGET_FACTOR)
                .max(Millis::new(
                    pause_target_ms.get() * CALLER_WAIT_PAUSE_FACTOR,
                ))
                .max(CALLER_WAIT_MIN_MS);
        self.deadline_at.min(self.arrived_at + caller_wait_ms)
    }

    /// Deadline until which the first event is on time.
    pub(super) fn on_time_deadline(&self) -> Time {
        self.arrived_at + self.route.target_latency_ms
    }

    fn in_flight_entry(&self, now: Time, placement: &Placement) -> InFlightEntry {
        let size = self.call.prompt;
        let pause_target_ms = match self.route.kind {
            CallKind::Streaming {
                pause_target_ms, ..
            } => pause_target_ms,
            CallKind::Idempotent | CallKind::NonIdempotent => Millis::ZERO,
        };
        InFlightEntry {
            upstream: placement.upstream.clone(),
            prompt_tokens: size.map_or(Tokens::ZERO, |size| size.prompt_tokens),
            cached_tokens: Tokens::ZERO,
            output_tokens: size.map_or(Tokens::ZERO, |size| size.output_tokens),
            memory_tokens: placement.memory_tokens,
            pause_target_ms,
            parts_len: placement.helpers.len() as u32 + 1,
            sent_at: now,
            first_due_at: placement.unreported_first_event_ms().map(|ms| now + ms),
            phase: Phase::Prefill,
        }
    }
}

fn first_byte_timeout_ms(route: &Route, left_ms: Millis, predicted_ms: Option<f64>) -> Millis {
    let limit_ms = match predicted_ms {
        Some(predicted_ms) => {
            FIRST_EVENT_TIMEOUT_MIN_MS
                + Millis::new((predicted_ms * FIRST_EVENT_TIMEOUT_FACTOR) as u64)
        }
        None => Millis::new(route.target_latency_ms.get() * PLAIN_TIMEOUT_FACTOR),
    };
    limit_ms.min(left_ms)
}

/// Silence before the first byte after which the link is checked.
fn first_check_ms(route: &Route, predicted_ms: Option<f64>) -> Millis {
    let expected_ms = predicted_ms.map(|ms| Millis::new(ms as u64));
    expected_ms.unwrap_or(route.target_latency_ms) + LINK_CHECK_MARGIN_MS
}

/// Silence between two events after which the link is checked.
fn pause_check_ms(route: &Route) -> Millis {
    match route.kind {
        CallKind::Streaming {
            pause_target_ms, ..
        } => Millis::new(pause_target_ms.get() * PAUSE_CHECK_FACTOR),
        CallKind::Idempotent | CallKind::NonIdempotent => route.timeout_ms,
    }
}

fn pause_timeout_ms(route: &Route) -> Millis {
    match route.kind {
        CallKind::Streaming {
            pause_target_ms, ..
        } => {
            let limit_ms = Millis::new(pause_target_ms.get() * PAUSE_TIMEOUT_FACTOR);
            limit_ms.max(PAUSE_TIMEOUT_MIN_MS)
        }
        CallKind::Idempotent | CallKind::NonIdempotent => route.timeout_ms,
    }
}
