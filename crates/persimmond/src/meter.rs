//! Metrics of the control thread.

use metrics::Counter;
use persimmon_core::{
    ids::RequestId,
    message::{GrantAnswer, GrantMessage, PeerMessage},
    operator::StatusReport,
    platform::PlatformError,
    request::{CallTarget, FinalResponse, LengthClass, Outcome, RequestSpec},
    units::{Millis, Time},
    Action, Event,
};
use persimmon_io::telemetry::{Label, Metric, Telemetry};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval at which the gauges of core and peer link are updated.
const SAMPLE_INTERVAL_MS: Millis = Millis::new(1_000);

/// Label value of `class` for calls to plain services.
const SERVICE_CLASS: &str = "service";

/// Records metrics of the events and actions of the control thread.
#[derive(Debug)]
pub(crate) struct Meter {
    telemetry: Arc<Telemetry>,
    open: BTreeMap<RequestId, OpenRequest>,
    last_sample_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    class: &'static str,
    arrived_at: Time,
    deadline: Time,
    has_token: bool,
}

impl Meter {
    pub(crate) fn new(telemetry: Arc<Telemetry>) -> Self {
        Self {
            telemetry,
            open: BTreeMap::new(),
            last_sample_at: None,
        }
    }

    /// Records an event before the core handles it.
    pub(crate) fn on_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(spec) => self.on_request(now, spec),
            Event::Progress { attempt, .. } => self.on_token(now, attempt.request),
            Event::CallerDisconnected { request } => self.count_end(*request, "caller_gone"),
            Event::Platform { answer, .. } => self.count_store_call("store", answer.as_ref().err()),
            Event::Vms { answer } => self.count_store_call("vms", answer.as_ref().err()),
            _ => {}
        }
    }

    /// Records an action of the core.
    pub(crate) fn on_action(&mut self, action: &Action) {
        match action {
            Action::EndRequest { request, end } => self.on_end(*request, end),
            Action::StartAttempt(plan) => {
                let class = self.class_label(plan.attempt.request);
                self.increment(Metric::ATTEMPTS, &[("class", class)]);
            }
            Action::SendPeer {
                message: PeerMessage::Grant(GrantMessage::Answer { answer, .. }),
                ..
            } => self.increment(Metric::GRANTS, &[("answer", answer_name(answer))]),
            _ => {}
        }
    }

    /// Records how long the core took to handle one event.
    pub(crate) fn on_handled(&self, duration: Duration) {
        let histogram = self.telemetry.histogram(Metric::EVENT_HANDLING, &[]);
        histogram.record(duration.as_secs_f64());
    }

    /// Records the delay of a timer of the control thread.
    pub(crate) fn on_timer_delay(&self, delay_ms: Millis) {
        let histogram = self.telemetry.histogram(Metric::EVENT_LOOP_DELAY, &[]);
        histogram.record(seconds(delay_ms));
    }

    /// Whether the gauges of core and peer link are due for an update. Starts the next interval if so.
    pub(crate) fn is_sample_due(&mut self, now: Time) -> bool {
        let due = self
            .last_sample_at
            .is_none_or(|at| now.since(at) >= SAMPLE_INTERVAL_MS);
        if due {
            self.last_sample_at = Some(now);
        }
        due
    }

    /// Updates the gauges of core and peer link.
    pub(crate) fn sample(
        &self,
        now: Time,
        status: Option<&StatusReport>,
        peer_bytes: Option<(u64, u64)>,
    ) {
        self.set_gauge(Metric::OPEN_REQUESTS, &[], self.open.len() as f64);
        self.set_gauge(
            Metric::OLDEST_OVERDUE,
            &[],
            seconds(self.oldest_overdue(now)),
        );
        if let Some(status) = status {
            self.set_gauge(Metric::GENERATION, &[], status.generation.get() as f64);
            self.set_gauge(Metric::MEMBERS, &[], status.members.len() as f64);
        }
        if let Some((sent, received)) = peer_bytes {
            self.set_gauge(Metric::PEER_BYTES, &[("direction", "sent")], sent as f64);
            let labels = [("direction", "received")];
            self.set_gauge(Metric::PEER_BYTES, &labels, received as f64);
        }
        self.telemetry.run_upkeep();
    }

    fn on_request(&mut self, now: Time, spec: &RequestSpec) {
        let class = match &spec.target {
            CallTarget::Model(call) => class_name(call.class()),
            CallTarget::Service(_) => SERVICE_CLASS,
        };
        let request = OpenRequest {
            class,
            arrived_at: now,
            deadline: now + spec.timeout_ms,
            has_token: false,
        };
        self.open.insert(spec.id, request);
    }

    fn on_token(&mut self, now: Time, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        if !open.has_token {
            open.has_token = true;
            let labels = [("class", open.class)];
            let histogram = self.telemetry.histogram(Metric::FIRST_TOKEN, &labels);
            histogram.record(seconds(now.since(open.arrived_at)));
        }
    }

    fn on_end(&mut self, request: RequestId, end: &FinalResponse) {
        let outcome = match end {
            FinalResponse::Complete => "complete",
            FinalResponse::Stored(_) => "stored",
            FinalResponse::Refused(refusal) => {
                let code = refusal.code.to_string();
                self.increment(Metric::REFUSALS, &[("code", &code)]);
                match refusal.outcome {
                    Outcome::NotRun => "refused_not_run",
                    Outcome::Unknown => "refused_unknown",
                }
            }
        };
        self.count_end(request, outcome);
    }

    fn count_end(&mut self, request: RequestId, outcome: &'static str) {
        if let Some(open) = self.open.remove(&request) {
            let labels = [("outcome", outcome), ("class", open.class)];
            self.increment(Metric::REQUESTS, &labels);
        }
    }

    fn count_store_call(&self, service: &'static str, error: Option<&PlatformError>) {
        let result = match error {
            None => "ok",
            Some(PlatformError::Unavailable) => "unavailable",
            Some(PlatformError::AnswerLost) => "answer_lost",
            Some(PlatformError::Refused { .. }) => "refused",
        };
        let labels = [("service", service), ("result", result)];
        self.increment(Metric::STORE_CALLS, &labels);
    }

    fn oldest_overdue(&self, now: Time) -> Millis {
        let earliest = self.open.values().map(|open| open.deadline).min();
        earliest.map_or(Millis::ZERO, |deadline| now.since(deadline))
    }

    fn class_label(&self, request: RequestId) -> &'static str {
        self.open.get(&request).map_or("unknown", |open| open.class)
    }

    fn increment(&self, metric: Metric, labels: &[Label<'_>]) {
        let counter: Counter = self.telemetry.counter(metric, labels);
        counter.increment(1);
    }

    fn set_gauge(&self, metric: Metric, labels: &[Label<'_>], value: f64) {
        self.telemetry.gauge(metric, labels).set(value);
    }
}

/// Runs `handle` and returns its duration.
pub(crate) fn measure(handle: impl FnOnce()) -> Duration {
    let start = Instant::now();
    handle();
    start.elapsed()
}

const fn class_name(class: LengthClass) -> &'static str {
    match class {
        LengthClass::Short => "short",
        LengthClass::Medium => "medium",
        LengthClass::Long => "long",
        LengthClass::Huge => "huge",
    }
}

const fn answer_name(answer: &GrantAnswer) -> &'static str {
    match answer {
        GrantAnswer::Granted(_) => "granted",
        GrantAnswer::Queued { .. } => "queued",
        GrantAnswer::Denied(_) => "denied",
    }
}

fn seconds(duration_ms: Millis) -> f64 {
    duration_ms.duration().as_secs_f64()
}
