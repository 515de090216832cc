//! In-memory upstreams: model engines and servers of plain services.

use persimmon_core::{
    config::{EngineConfig, UpstreamConfig, UpstreamKind},
    ids::{AttemptId, FencingNumber, Incarnation, ModelVersion, RequestId},
    request::{AttemptPlan, CallTarget, RequestSpec, UpstreamError},
    units::{KvBytes, Millis, Time, Tokens},
    upstream::{LoadReport, Order, OrderKind},
};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a call at a plain service.
const SERVICE_CALL_MS: Millis = Millis::new(40);
/// Factor by which a cold engine is slower than a warm one.
const COLD_SLOWDOWN_FACTOR: u64 = 4;
/// Number of requests that a newly cold upstream can serve at a time.
const COLD_CAPACITY_REQUESTS: u32 = 2;

/// The injected fault of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamFault {
    /// No fault.
    #[default]
    None,
    /// The process is dead and connections are refused.
    Dead,
    /// Calls are accepted and never processed.
    Hangs,
    /// Every call is rejected as overloaded, without running.
    Overloaded,
    /// Connections break after a few tokens, and their streams are dropped.
    DropsConnections,
}

/// A stream or call that occupies KV memory or a request slot.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The attempt that reads the answer.
    pub attempt: AttemptId,
    /// Offset of the next token.
    pub next_offset: u64,
    /// Offset of the end of the answer.
    pub end_offset: u64,
    /// KV memory that the stream holds.
    pub kv_bytes: KvBytes,
    /// Version of the model, for streams.
    pub model: Option<ModelVersion>,
}

/// A simulated upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Configuration.
    pub config: UpstreamConfig,
    /// The injected fault.
    pub fault: UpstreamFault,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the upstream is cold: slower, and with less capacity.
    pub is_cold: bool,
    /// Streams and calls in flight.
    pub in_flight: BTreeMap<RequestId, InFlight>,
    /// Number of accepted attempts.
    pub accepted_attempts: u64,
    /// Number of attempts that exceeded the capacity while cold; the `cold` scenarios expect 0.
    pub cold_overloads_count: u32,
    /// Number of completions since the upstream turned cold.
    warm_up_completions_count: u32,
    last_report: Option<(Time, LoadReport)>,
    /// Whether cancels are acknowledged without being carried out, as a deliberate defect.
    pub ignores_cancels: bool,
    /// Whether the capacity is 0 while cold, as a deliberate defect.
    pub has_no_cold_capacity: bool,
    /// Whether load reports contain the capacity.
    pub reports_capacity: bool,
    /// Time from which attempts above the capacity are counted as overloads.
    overloads_from: Time,
    fencing: FencingNumber,
    models: BTreeSet<ModelVersion>,
}

impl Upstream {
    /// Creates a healthy, warm upstream that has `models` loaded.
    pub fn new(config: UpstreamConfig, models: BTreeSet<ModelVersion>) -> Self {
        Self {
            config,
            fault: UpstreamFault::None,
            incarnation: Incarnation::new(1),
            is_cold: false,
            in_flight: BTreeMap::new(),
            accepted_attempts: 0,
            cold_overloads_count: 0,
            warm_up_completions_count: 0,
            last_report: None,
            ignores_cancels: false,
            has_no_cold_capacity: false,
            reports_capacity: true,
            overloads_from: Time::START,
            fencing: FencingNumber::default(),
            models,
        }
    }

    /// Whether the upstream generates tokens and executes calls.
    pub const fn is_processing(&self) -> bool {
        !matches!(self.fault, UpstreamFault::Dead | UpstreamFault::Hangs)
    }

    /// Kills the process and drops everything in flight. Returns the attempts that were dropped.
    pub fn kill(&mut self) -> Vec<AttemptId> {
        self.fault = UpstreamFault::Dead;
        let dropped = std::mem::take(&mut self.in_flight);
        dropped.into_values().map(|entry| entry.attempt).collect()
    }

    /// Starts a new, cold process.
    pub fn restart(&mut self) {
        self.fault = UpstreamFault::None;
        self.incarnation = self.incarnation.next();
        self.in_flight.clear();
        self.last_report = None;
        self.turn_cold(Time::START);
    }

    /// Turns the upstream cold, which shows only in its load reports and its latency. Attempts that
    /// arrive before `overloads_from` do not count as overloads.
    pub const fn turn_cold(&mut self, overloads_from: Time) {
        self.is_cold = true;
        self.warm_up_completions_count = 0;
        self.overloads_from = overloads_from;
    }

    /// Number of requests that the upstream can serve at a time now. While cold, the capacity grows
    /// by one with each completion.
    pub fn capacity_requests(&self) -> u32 {
        let limit = self.limit_requests();
        if self.is_cold {
            limit.min(COLD_CAPACITY_REQUESTS + self.warm_up_completions_count)
        } else {
            limit
        }
    }

    fn limit_requests(&self) -> u32 {
        match &self.config.kind {
            UpstreamKind::Engine(engine) => engine.max_in_flight_requests,
            UpstreamKind::Service(_) => 64,
        }
    }

    /// KV memory that is in use.
    pub fn held_kv_bytes(&self) -> KvBytes {
        self.in_flight.values().map(|entry| entry.kv_bytes).sum()
    }

    /// Accepts an attempt. Returns the time to its first token or to its result.
    ///
    /// # Errors
    ///
    /// The attempt was refused and did not run.
    pub fn accept(
        &mut self,
        now: Time,
        plan: &AttemptPlan,
        spec: &RequestSpec,
    ) -> Result<Millis, UpstreamError> {
        match self.fault {
            UpstreamFault::Dead => return Err(UpstreamError::Refused),
            UpstreamFault::Overloaded => return Err(UpstreamError::Overloaded),
            _ => {}
        }
        if let Some(fencing) = plan.fencing.filter(|_| self.config.checks_fencing) {
            if fencing < self.fencing {
                return Err(UpstreamError::Fenced);
            }
            self.fencing = fencing;
        }
        let latency = self.accept_fenced(plan, spec)?;
        if !plan.resume {
            self.record_accepted(now);
        }
        Ok(latency)
    }

    fn accept_fenced(
        &mut self,
        plan: &AttemptPlan,
        spec: &RequestSpec,
    ) -> Result<Millis, UpstreamError> {
        match (&spec.target, &self.config.kind) {
            (CallTarget::Model(call), UpstreamKind::Engine(engine)) => {
                let engine = engine.clone();
                let end = call.max_output_tokens;
                self.accept_stream(plan, (call.prompt_tokens, end), &engine)
            }
            (CallTarget::Service(_), UpstreamKind::Service(_)) => {
                self.add_in_flight(plan, (0, 0), KvBytes::ZERO);
                Ok(SERVICE_CALL_MS)
            }
            _ => Err(not_run("this upstream does not serve such calls")),
        }
    }

    fn accept_stream(
        &mut self,
        plan: &AttemptPlan,
        length: (Tokens, Tokens),
        engine: &EngineConfig,
    ) -> Result<Millis, UpstreamError> {
        let (prompt, output) = length;
        let slowdown = if self.is_cold {
            COLD_SLOWDOWN_FACTOR
        } else {
            1
        };
        if plan.resume {
            let entry = self.in_flight.get_mut(&plan.attempt.request);
            let entry = entry.ok_or_else(|| not_run("the stream is gone"))?;
            entry.attempt = plan.attempt;
            entry.next_offset = plan.offset_tokens.get();
            return Ok(Millis::new(1));
        }
        let model = plan.model.as_ref();
        if model.is_none_or(|model| !self.models.contains(model)) {
            return Err(not_run("the model is not loaded"));
        }
        let kv_bytes = (prompt + output).kv_bytes(KvBytes::new(1));
        if self.held_kv_bytes() + kv_bytes > engine.kv_bytes {
            return Err(UpstreamError::Overloaded);
        }
        self.add_in_flight(plan, (plan.offset_tokens.get(), output.get()), kv_bytes);
        let prefill = engine.prefill_tokens_per_s.time_for(prompt).get();
        Ok(Millis::new(prefill * slowdown))
    }

    fn add_in_flight(&mut self, plan: &AttemptPlan, span: (u64, u64), kv_bytes: KvBytes) {
        let entry = InFlight {
            attempt: plan.attempt,
            next_offset: span.0,
            end_offset: span.1,
            kv_bytes,
            model: plan.model.clone(),
        };
        self.in_flight.insert(plan.attempt.request, entry);
    }

    fn record_accepted(&mut self, now: Time) {
        self.accepted_attempts += 1;
        let exceeds_capacity =
            self.has_no_cold_capacity || self.in_flight.len() as u32 > self.capacity_requests();
        if self.is_cold && exceeds_capacity && now >= self.overloads_from {
            self.cold_overloads_count += 1;
        }
    }

    /// Time between two tokens of a stream; 0 for a service.
    pub fn token_gap(&self) -> Millis {
        let UpstreamKind::Engine(engine) = &self.config.kind else {
            return Millis::ZERO;
        };
        let slowdown = if self.is_cold {
            COLD_SLOWDOWN_FACTOR
        } else {
            1
        };
        Millis::new(engine.decode_tokens_per_s.time_for(Tokens::new(1)).get() * slowdown)
    }

    /// Completes a stream or call. A cold upstream turns warm when its capacity reaches its limit.
    pub fn finish(&mut self, request: RequestId) {
        self.in_flight.remove(&request);
        self.warm_up_completions_count += 1;
        if self.is_cold
            && COLD_CAPACITY_REQUESTS + self.warm_up_completions_count >= self.limit_requests()
        {
            self.is_cold = false;
        }
    }

    /// Executes an order.
    ///
    /// # Errors
    ///
    /// The upstream is dead or hangs, or the order carries an outdated fencing number.
    pub fn order(&mut self, order: &Order) -> Result<(), UpstreamError> {
        match self.fault {
            UpstreamFault::Dead => return Err(UpstreamError::Refused),
            UpstreamFault::Hangs => return Err(UpstreamError::Timeout),
            _ => {}
        }
        if self.config.checks_fencing && order.fencing < self.fencing {
            return Err(UpstreamError::Fenced);
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.kind {
            OrderKind::Cancel { .. } if self.ignores_cancels => {}
            OrderKind::Cancel { request } => {
                self.in_flight.remove(request);
            }
            OrderKind::LoadModel { model, .. } => {
                self.models.insert(model.clone());
            }
            OrderKind::UnloadModel { model } => {
                self.models.remove(model);
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns a load report, taken at the previous poll, to simulate outdated reports.
    ///
    /// # Errors
    ///
    /// The upstream is dead or hangs.
    pub fn report(&mut self, now: Time) -> Result<Box<LoadReport>, UpstreamError> {
        match self.fault {
            UpstreamFault::Dead => return Err(UpstreamError::Refused),
            UpstreamFault::Hangs => return Err(UpstreamError::Timeout),
            _ => {}
        }
        let fresh = self.build_report();
        let (reported_at, report) = self
            .last_report
            .replace((now, fresh.clone()))
            .unwrap_or((now, fresh));
        let age_ms = now.since(reported_at);
        Ok(Box::new(LoadReport { age_ms, ..report }))
    }

    fn build_report(&self) -> LoadReport {
        let models = self.models.iter();
        LoadReport {
            incarnation: self.incarnation,
            age_ms: Millis::ZERO,
            in_flight_requests: self.in_flight.len() as u32,
            bearable_requests: self.reports_capacity.then(|| self.capacity_requests()),
            kv_held_bytes: self.held_kv_bytes(),
            requests: self.in_flight.keys().copied().collect(),
            models: models.map(|m| (m.clone(), BTreeSet::new())).collect(),
            loading: BTreeSet::new(),
            fencing: self.config.checks_fencing.then_some(self.fencing),
        }
    }
}

fn not_run(reason: &str) -> UpstreamError {
    UpstreamError::NotRun {
        reason: reason.to_owned(),
    }
}
