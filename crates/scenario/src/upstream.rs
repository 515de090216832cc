//! Upstreams in memory: model engines and servers of plain services.

use persimmon_core::{
    config::{EngineConfig, UpstreamConfig, UpstreamKind},
    ids::{AttemptId, FencingNumber, Incarnation, ModelVersion, RequestId},
    request::{AttemptPlan, CallTarget, RequestSpec, UpstreamError},
    units::{KvBytes, Millis, Time, Tokens},
    upstream::{LoadReport, Order, OrderKind},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time of one call at a plain service.
const SERVICE_CALL_MS: Millis = Millis::new(40);
/// Factor by which a cold engine is slower.
const COLD_SLOWDOWN_FACTOR: u64 = 4;
/// Requests that a cold upstream bears.
const COLD_CAPACITY_REQUESTS: u32 = 2;

/// What is wrong with an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamFault {
    /// Nothing.
    #[default]
    None,
    /// Its process is gone: connections are refused.
    Dead,
    /// It takes calls and does nothing.
    Hangs,
    /// It says that it is overloaded and runs nothing.
    Overloaded,
    /// Its connections break after a few tokens, and it forgets the streams.
    DropsConnections,
}

/// A stream or call that holds memory or a place.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The attempt that reads it.
    pub attempt: AttemptId,
    /// Offset of the next token.
    pub next_offset: u64,
    /// Length of the whole answer.
    pub end_offset: u64,
    /// Memory that it holds.
    pub kv_bytes: KvBytes,
    /// The version it runs on.
    pub model: Option<ModelVersion>,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its configuration.
    pub config: UpstreamConfig,
    /// What is wrong with it.
    pub fault: UpstreamFault,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Streams and calls it holds.
    pub in_flight: BTreeMap<RequestId, InFlight>,
    /// Attempts that it took.
    pub accepted_attempts: u64,
    /// Times it had more than it bears while cold: must stay 0.
    pub cold_overloads_count: u32,
    /// Completions since it turned cold.
    warm_up_completions_count: u32,
    last_report: Option<(Time, LoadReport)>,
    /// Whether it acknowledges cancels without carrying them out: a switch.
    pub ignores_cancels: bool,
    /// Whether it bears nothing while it is cold: a switch.
    pub has_no_cold_capacity: bool,
    /// Whether it reports how much it bears.
    pub reports_capacity: bool,
    /// From when more than it bears counts as an overrun.
    overloads_from: Time,
    fencing: FencingNumber,
    models: BTreeSet<ModelVersion>,
}

impl Upstream {
    /// A healthy, warm upstream that holds `models`.
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

    /// Whether it generates tokens and carries calls out.
    pub const fn is_processing(&self) -> bool {
        !matches!(self.fault, UpstreamFault::Dead | UpstreamFault::Hangs)
    }

    /// Its process dies: all that it held is gone.
    pub fn kill(&mut self) -> Vec<AttemptId> {
        self.fault = UpstreamFault::Dead;
        let held = std::mem::take(&mut self.in_flight);
        held.into_values().map(|held| held.attempt).collect()
    }

    /// A new process starts, cold.
    pub fn restart(&mut self) {
        self.fault = UpstreamFault::None;
        self.incarnation = self.incarnation.next();
        self.in_flight.clear();
        self.last_report = None;
        self.turn_cold(Time::START);
    }

    /// It forgets its warm state, without a sign but its report and its latency. What it gets
    /// before `counts_from` is no overrun.
    pub const fn turn_cold(&mut self, overloads_from: Time) {
        self.is_cold = true;
        self.warm_up_completions_count = 0;
        self.overloads_from = overloads_from;
    }

    /// Requests it bears now.
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

    /// KV memory that is held.
    pub fn held_kv_bytes(&self) -> KvBytes {
        self.in_flight.values().map(|held| held.kv_bytes).sum()
    }

    /// Takes an attempt. The answer is the time to its first token or to its result.
    ///
    /// # Errors
    ///
    /// It refused the attempt: it did not run.
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
        let taken = self.accept_fenced(plan, spec)?;
        if !plan.resume {
            self.record_accepted(now);
        }
        Ok(taken)
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
            _ => Err(not_run("no such call here")),
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
            let held = self.in_flight.get_mut(&plan.attempt.request);
            let held = held.ok_or_else(|| not_run("the stream is gone"))?;
            held.attempt = plan.attempt;
            held.next_offset = plan.offset_tokens.get();
            return Ok(Millis::new(1));
        }
        let model = plan.model.as_ref();
        if model.is_none_or(|model| !self.models.contains(model)) {
            return Err(not_run("the model is not loaded"));
        }
        let kv = (prompt + output).kv_bytes(KvBytes::new(1));
        if self.held_kv_bytes() + kv > engine.kv_bytes {
            return Err(UpstreamError::Overloaded);
        }
        self.add_in_flight(plan, (plan.offset_tokens.get(), output.get()), kv);
        let prefill = engine.prefill_tokens_per_s.time_for(prompt).get();
        Ok(Millis::new(prefill * slowdown))
    }

    fn add_in_flight(&mut self, plan: &AttemptPlan, span: (u64, u64), kv_bytes: KvBytes) {
        let held = InFlight {
            attempt: plan.attempt,
            next_offset: span.0,
            end_offset: span.1,
            kv_bytes,
            model: plan.model.clone(),
        };
        self.in_flight.insert(plan.attempt.request, held);
    }

    fn record_accepted(&mut self, now: Time) {
        self.accepted_attempts += 1;
        let is_over =
            self.has_no_cold_capacity || self.in_flight.len() as u32 > self.capacity_requests();
        if self.is_cold && is_over && now >= self.overloads_from {
            self.cold_overloads_count += 1;
        }
    }

    /// Time between two tokens.
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

    /// A stream or call ended by itself.
    pub fn finish(&mut self, request: RequestId) {
        self.in_flight.remove(&request);
        self.warm_up_completions_count += 1;
        if self.is_cold
            && COLD_CAPACITY_REQUESTS + self.warm_up_completions_count >= self.limit_requests()
        {
            self.is_cold = false;
        }
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// It is dead, hangs, or the order carries an old fencing number.
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

    /// What it reports of itself: figures as old as the last question.
    ///
    /// # Errors
    ///
    /// It is dead or hangs.
    pub fn report(&mut self, now: Time) -> Result<Box<LoadReport>, UpstreamError> {
        match self.fault {
            UpstreamFault::Dead => return Err(UpstreamError::Refused),
            UpstreamFault::Hangs => return Err(UpstreamError::Timeout),
            _ => {}
        }
        let fresh = self.build_report();
        let (taken_at, figures) = self
            .last_report
            .replace((now, fresh.clone()))
            .unwrap_or((now, fresh));
        let age_ms = now.since(taken_at);
        Ok(Box::new(LoadReport { age_ms, ..figures }))
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
