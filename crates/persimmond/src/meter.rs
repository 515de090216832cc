//! Counts what passes through the control thread.

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

/// Time between two looks at the state of core and link.
const LOOK_MS: Millis = Millis::new(1_000);

/// Class of plain service calls.
const SERVICE: &str = "service";

/// Counts what passes through the control thread.
#[derive(Debug)]
pub(crate) struct Meter {
    telemetry: Arc<Telemetry>,
    open: BTreeMap<RequestId, OpenRequest>,
    looked: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    class: &'static str,
    arrived: Time,
    deadline: Time,
    has_token: bool,
}

impl Meter {
    pub(crate) fn new(telemetry: Arc<Telemetry>) -> Self {
        Self {
            telemetry,
            open: BTreeMap::new(),
            looked: None,
        }
    }

    /// Counts an event before the core handles it.
    pub(crate) fn on_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(spec) => self.on_request(now, spec),
            Event::Progress { attempt, .. } => self.on_token(now, attempt.request),
            Event::CallerDisconnected { request } => self.end(*request, "caller_gone"),
            Event::Platform { answer, .. } => self.on_store("store", answer.as_ref().err()),
            Event::Vms { answer } => self.on_store("vms", answer.as_ref().err()),
            _ => {}
        }
    }

    /// Counts an action of the core.
    pub(crate) fn on_action(&mut self, action: &Action) {
        match action {
            Action::EndRequest { request, end } => self.on_end(*request, end),
            Action::StartAttempt(plan) => {
                let class = self.class(plan.attempt.request);
                self.count(Metric::ATTEMPTS, &[("class", class)]);
            }
            Action::SendPeer {
                message: PeerMessage::Grant(GrantMessage::Answer { answer, .. }),
                ..
            } => self.count(Metric::GRANTS, &[("answer", answer_name(answer))]),
            _ => {}
        }
    }

    /// Notes how long the core took for one event.
    pub(crate) fn on_handled(&self, took: Duration) {
        let histogram = self.telemetry.histogram(Metric::EVENT_HANDLING, &[]);
        histogram.record(took.as_secs_f64());
    }

    /// Notes by how much a timer of the control thread ran late.
    pub(crate) fn on_late(&self, late: Millis) {
        let histogram = self.telemetry.histogram(Metric::EVENT_LOOP_DELAY, &[]);
        histogram.record(seconds(late));
    }

    /// Whether it is time to look at the state of core and link.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let due = self.looked.is_none_or(|at| now.since(at) >= LOOK_MS);
        if due {
            self.looked = Some(now);
        }
        due
    }

    /// Notes the state of core and link.
    pub(crate) fn look(
        &self,
        now: Time,
        status: Option<&StatusReport>,
        peer_bytes: Option<(u64, u64)>,
    ) {
        self.set(Metric::OPEN_REQUESTS, &[], self.open.len() as f64);
        self.set(Metric::OLDEST_OVERDUE, &[], seconds(self.overdue(now)));
        if let Some(status) = status {
            self.set(Metric::GENERATION, &[], status.generation.get() as f64);
            self.set(Metric::MEMBERS, &[], status.members.len() as f64);
        }
        if let Some((sent, received)) = peer_bytes {
            self.set(Metric::PEER_BYTES, &[("direction", "sent")], sent as f64);
            let labels = [("direction", "received")];
            self.set(Metric::PEER_BYTES, &labels, received as f64);
        }
        self.telemetry.run_upkeep();
    }

    fn on_request(&mut self, now: Time, spec: &RequestSpec) {
        let class = match &spec.target {
            CallTarget::Model(call) => class_name(call.class()),
            CallTarget::Service(_) => SERVICE,
        };
        let request = OpenRequest {
            class,
            arrived: now,
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
            histogram.record(seconds(now.since(open.arrived)));
        }
    }

    fn on_end(&mut self, request: RequestId, end: &FinalResponse) {
        let outcome = match end {
            FinalResponse::Complete => "complete",
            FinalResponse::Stored(_) => "stored",
            FinalResponse::Refused(refusal) => {
                let code = refusal.code.to_string();
                self.count(Metric::REFUSALS, &[("code", &code)]);
                match refusal.outcome {
                    Outcome::NotRun => "refused_not_run",
                    Outcome::Unknown => "refused_unknown",
                }
            }
        };
        self.end(request, outcome);
    }

    fn end(&mut self, request: RequestId, outcome: &'static str) {
        if let Some(open) = self.open.remove(&request) {
            let labels = [("outcome", outcome), ("class", open.class)];
            self.count(Metric::REQUESTS, &labels);
        }
    }

    fn on_store(&self, service: &'static str, error: Option<&PlatformError>) {
        let result = match error {
            None => "ok",
            Some(PlatformError::Unavailable) => "unavailable",
            Some(PlatformError::AnswerLost) => "answer_lost",
            Some(PlatformError::Refused { .. }) => "refused",
        };
        let labels = [("service", service), ("result", result)];
        self.count(Metric::STORE_CALLS, &labels);
    }

    fn overdue(&self, now: Time) -> Millis {
        let oldest = self.open.values().map(|open| open.deadline).min();
        oldest.map_or(Millis::ZERO, |deadline| now.since(deadline))
    }

    fn class(&self, request: RequestId) -> &'static str {
        self.open.get(&request).map_or("unknown", |open| open.class)
    }

    fn count(&self, metric: Metric, labels: &[Label<'_>]) {
        let counter: Counter = self.telemetry.counter(metric, labels);
        counter.increment(1);
    }

    fn set(&self, metric: Metric, labels: &[Label<'_>], value: f64) {
        self.telemetry.gauge(metric, labels).set(value);
    }
}

/// Times `handle`.
pub(crate) fn timed(handle: impl FnOnce()) -> Duration {
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

fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}
