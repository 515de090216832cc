//! Attempts at upstreams and their answers.

use crate::{
    caller::expected_token,
    defect::Defect,
    fleet::{Fleet, FleetEvent, ProcessId},
    network::fault_occurs,
    upstream::UpstreamFault,
    vm::Arrival,
};
use bytes::Bytes;
use persimmon_core::{
    ids::{AttemptId, Incarnation, UpstreamId, VmId},
    request::{AttemptPlan, AttemptResult, CallTarget, RequestSpec, StoredResult, UpstreamError},
    stream::PushOutcome,
    units::{Millis, Tokens},
    Event,
};

/// Number of tokens after which an engine with [`UpstreamFault::DropsConnections`] breaks the
/// connection.
const BREAK_AFTER_TOKENS: u64 = 3;
/// Minimum interval between two progress events of an attempt.
const PROGRESS_INTERVAL_MS: Millis = Millis::new(250);

impl Fleet {
    pub(crate) fn on_attempt(&mut self, process: ProcessId, plan: Box<AttemptPlan>) {
        let attempt = plan.attempt;
        let Some(spec) = self.callers.get(&attempt.request).map(|c| c.spec.clone()) else {
            return;
        };
        let fault_rates = self.network.fault_rates;
        let refused = fault_occurs(&mut self.rng, fault_rates.refused_percent);
        let not_run = fault_occurs(&mut self.rng, fault_rates.not_run_percent);
        let Some(state) = self.upstreams.get_mut(&plan.upstream) else {
            return;
        };
        let accepted = match (refused, not_run) {
            (true, _) => Err(UpstreamError::Refused),
            (_, true) => Err(UpstreamError::Overloaded),
            _ => state.accept(self.now, &plan, &spec),
        };
        let (fault, incarnation) = (state.fault, state.incarnation);
        let after = match accepted {
            Ok(after) => after,
            Err(error) => return self.fail(process, attempt, error),
        };
        self.record_execution(&spec);
        if self.defects.contains(&Defect::FalseNotRun) {
            return self.fail(process, attempt, UpstreamError::Overloaded);
        }
        if fault == UpstreamFault::Hangs
            || fault_occurs(&mut self.rng, fault_rates.no_answer_percent)
        {
            return;
        }
        if fault_occurs(&mut self.rng, fault_rates.broken_percent) {
            let broken_after = Millis::new(after.get() + 30);
            let error = UpstreamError::Broken;
            self.schedule_arrival(
                process.clone(),
                broken_after,
                Arrival::Failure { attempt, error },
            );
        }
        let upstream = plan.upstream.clone();
        let event = match spec.target {
            CallTarget::Model(_) => FleetEvent::Token(process, upstream, incarnation, plan),
            CallTarget::Service(_) => FleetEvent::ServiceDone(process, upstream, incarnation, plan),
        };
        self.queue.push(self.now + after, event);
    }

    fn fail(&mut self, process: ProcessId, attempt: AttemptId, error: UpstreamError) {
        let delay = self.network.sample_delay(&mut self.rng);
        self.schedule_arrival(process, delay, Arrival::Failure { attempt, error });
    }

    /// Records that an upstream accepted an attempt, which counts as its execution.
    fn record_execution(&mut self, spec: &RequestSpec) {
        if let Some(caller) = self.callers.get_mut(&spec.id) {
            caller.ran_attempts += 1;
        }
        if let Some(name) = execution_key(spec) {
            self.executions.entry(name).or_default().push(spec.id);
        }
    }

    pub(crate) fn on_token(
        &mut self,
        process: ProcessId,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        plan: Box<AttemptPlan>,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !state.is_processing() || state.incarnation != incarnation {
            return;
        }
        let gap = state.token_gap();
        let breaks = state.fault == UpstreamFault::DropsConnections;
        let request = plan.attempt.request;
        let stream = state.in_flight.get_mut(&request);
        let Some(stream) = stream.filter(|stream| stream.attempt == plan.attempt) else {
            return;
        };
        let offset = stream.next_offset;
        if breaks && offset >= plan.offset_tokens.get() + BREAK_AFTER_TOKENS {
            state.in_flight.remove(&request);
            return self.fail(process, plan.attempt, UpstreamError::Broken);
        }
        let (end, model) = (stream.end_offset, stream.model.clone());
        stream.next_offset += 1;
        let is_last = offset + 1 >= end;
        if is_last {
            state.finish(request);
        }
        let chunk = expected_token(model.as_ref(), request, offset);
        self.send_chunk(&process, plan.attempt, offset, &chunk);
        if is_last {
            let (attempt, end) = (plan.attempt, Tokens::new(end));
            let delay = self.network.sample_delay(&mut self.rng);
            self.schedule_arrival(process, delay, Arrival::Finish { attempt, end });
        } else {
            let event = FleetEvent::Token(process, upstream.clone(), incarnation, plan);
            self.queue.push(self.now + gap, event);
        }
    }

    fn send_chunk(&mut self, process: &ProcessId, attempt: AttemptId, offset: u64, chunk: &Bytes) {
        let twice = fault_occurs(&mut self.rng, self.network.fault_rates.duplicate_percent);
        for _ in 0..=u32::from(twice) {
            let delay = self.network.sample_delay(&mut self.rng);
            let arrival = Arrival::Chunk {
                attempt,
                offset: Tokens::new(offset),
                chunk: chunk.clone(),
            };
            self.schedule_arrival(process.clone(), delay, arrival);
        }
    }

    pub(crate) fn on_served(
        &mut self,
        process: ProcessId,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        plan: &AttemptPlan,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !state.is_processing() || state.incarnation != incarnation {
            return;
        }
        state.finish(plan.attempt.request);
        let body = format!("done for {}", plan.attempt.request);
        let result = StoredResult {
            status: 200,
            content_type: "text/plain".into(),
            body: body.into(),
        };
        let attempt = plan.attempt;
        let delay = self.network.sample_delay(&mut self.rng);
        self.schedule_arrival(process, delay, Arrival::Answer { attempt, result });
    }

    /// Handles the part of an upstream's answer that reaches a VM's traffic thread.
    pub(crate) fn on_traffic(&mut self, vm: &VmId, arrival: Arrival) {
        match arrival {
            Arrival::Chunk {
                attempt,
                offset,
                chunk,
            } => self.on_chunk(vm, attempt, offset, chunk),
            Arrival::Finish { attempt, end } => self.on_finish(vm, attempt, end),
            Arrival::Answer { attempt, result } => self.on_result(vm, attempt, result),
            Arrival::Failure { attempt, error } => self.on_failure(vm, attempt, error),
            Arrival::Event(_) | Arrival::Timer => {}
        }
    }

    fn is_reading(&self, vm: &VmId, attempt: AttemptId) -> bool {
        let state = self.vms.get(vm);
        state.is_some_and(|state| state.active_reads.contains_key(&attempt))
    }

    fn on_chunk(&mut self, vm: &VmId, attempt: AttemptId, offset: Tokens, chunk: Bytes) {
        if !self.is_reading(vm, attempt) {
            return;
        }
        let Some(caller) = self.callers.get_mut(&attempt.request) else {
            return;
        };
        let Some(assembler) = &mut caller.assembler else {
            return;
        };
        if self.defects.contains(&Defect::NoAssembler) {
            caller.push_unordered(chunk);
            return self.report_progress(vm, attempt);
        }
        match assembler.push(attempt, offset, chunk) {
            Ok(PushOutcome::Ready) => {}
            Ok(_) => return,
            Err(error) => {
                let reason = error.to_string();
                return self.on_failure(vm, attempt, UpstreamError::Malformed { reason });
            }
        }
        if caller.take_in_order() {
            self.report_progress(vm, attempt);
        }
        self.end_if_complete(vm, attempt);
    }

    fn report_progress(&mut self, vm: &VmId, attempt: AttemptId) {
        let now = self.now;
        let state = self.vms.get_mut(vm);
        let Some(read) = state.and_then(|state| state.active_reads.get_mut(&attempt)) else {
            return;
        };
        let is_due = read
            .progress_sent_at
            .is_none_or(|progress_sent_at| now.since(progress_sent_at) >= PROGRESS_INTERVAL_MS);
        if !is_due {
            return;
        }
        read.progress_sent_at = Some(now);
        let delivered = self.callers.get(&attempt.request).map(|c| c.delivered());
        let event = Event::Progress {
            attempt,
            delivered_tokens: delivered.unwrap_or_default(),
        };
        self.send_core(vm, event);
    }

    fn on_finish(&mut self, vm: &VmId, attempt: AttemptId, end: Tokens) {
        if !self.is_reading(vm, attempt) {
            return;
        }
        let caller = self.callers.get_mut(&attempt.request);
        let Some(assembler) = caller.and_then(|caller| caller.assembler.as_mut()) else {
            return;
        };
        if let Err(error) = assembler.finish(attempt, end) {
            let reason = error.to_string();
            return self.on_failure(vm, attempt, UpstreamError::Malformed { reason });
        }
        self.end_if_complete(vm, attempt);
    }

    fn end_if_complete(&mut self, vm: &VmId, attempt: AttemptId) {
        let caller = self.callers.get(&attempt.request);
        let Some(assembler) = caller.and_then(|caller| caller.assembler.as_ref()) else {
            return;
        };
        if !assembler.is_complete() {
            return;
        }
        let end = AttemptResult::Complete {
            output_tokens: assembler.delivered(),
            result: None,
        };
        self.end_read(vm, attempt, end);
    }

    fn on_result(&mut self, vm: &VmId, attempt: AttemptId, result: StoredResult) {
        if !self.is_reading(vm, attempt) {
            return;
        }
        let Some(caller) = self.callers.get_mut(&attempt.request) else {
            return;
        };
        caller.body = Some(result.body.clone());
        let is_keyed =
            matches!(&caller.spec.target, CallTarget::Service(call) if call.key.is_some());
        let end = AttemptResult::Complete {
            output_tokens: Tokens::ZERO,
            result: is_keyed.then_some(result),
        };
        self.end_read(vm, attempt, end);
    }

    fn on_failure(&mut self, vm: &VmId, attempt: AttemptId, error: UpstreamError) {
        if !self.is_reading(vm, attempt) {
            return;
        }
        let delivered = self.callers.get(&attempt.request).map(|c| c.delivered());
        let end = AttemptResult::Failed {
            delivered_tokens: delivered.unwrap_or_default(),
            error,
        };
        self.end_read(vm, attempt, end);
    }

    fn end_read(&mut self, vm: &VmId, attempt: AttemptId, end: AttemptResult) {
        if let Some(state) = self.vms.get_mut(vm) {
            state.active_reads.remove(&attempt);
        }
        self.send_core(vm, Event::AttemptEnded { attempt, end });
    }
}

/// Key under which a service call may be executed only once: workspace and idempotency key, or the
/// request's id for a call without key. `None` for calls that may be repeated.
pub(crate) fn execution_key(spec: &RequestSpec) -> Option<String> {
    match &spec.target {
        CallTarget::Model(_) => None,
        CallTarget::Service(call) => match &call.key {
            Some(key) => Some(format!("{}/{key}", spec.workspace)),
            None => (!call.idempotent).then(|| spec.id.to_string()),
        },
    }
}
