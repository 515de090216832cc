//! Attempts at upstreams and the answers that come back.

use crate::{
    caller::token,
    fleet::{Fleet, Item, Run},
    network::happens,
    switch::Switch,
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

/// Tokens after which the connection of a faulty engine breaks.
const BREAK_AFTER_TOKENS: u64 = 3;
/// Longest time between two words of progress.
const PROGRESS_MS: Millis = Millis::new(250);

impl Fleet {
    pub(crate) fn on_attempt(&mut self, run: Run, plan: Box<AttemptPlan>) {
        let attempt = plan.attempt;
        let Some(spec) = self.callers.get(&attempt.request).map(|c| c.spec.clone()) else {
            return;
        };
        let chances = self.network.chances;
        let refused = happens(&mut self.rng, chances.refused_percent);
        let not_run = happens(&mut self.rng, chances.not_run_percent);
        let Some(state) = self.upstreams.get_mut(&plan.upstream) else {
            return;
        };
        let taken = match (refused, not_run) {
            (true, _) => Err(UpstreamError::Refused),
            (_, true) => Err(UpstreamError::Overloaded),
            _ => state.take(self.now, &plan, &spec),
        };
        let (fault, incarnation) = (state.fault, state.incarnation);
        let after = match taken {
            Ok(after) => after,
            Err(error) => return self.fail(run, attempt, error),
        };
        self.note_run(&spec);
        if self.switches.contains(&Switch::FalseNotRun) {
            return self.fail(run, attempt, UpstreamError::Overloaded);
        }
        if fault == UpstreamFault::Hangs || happens(&mut self.rng, chances.silent_percent) {
            return;
        }
        if happens(&mut self.rng, chances.broken_percent) {
            let late = Millis::new(after.get() + 30);
            let error = UpstreamError::Broken;
            self.arrive(run.clone(), late, Arrival::Failure { attempt, error });
        }
        let upstream = plan.upstream.clone();
        let item = match spec.target {
            CallTarget::Model(_) => Item::Token(run, upstream, incarnation, plan),
            CallTarget::Service(_) => Item::Served(run, upstream, incarnation, plan),
        };
        self.queue.push(self.now + after, item);
    }

    fn fail(&mut self, run: Run, attempt: AttemptId, error: UpstreamError) {
        let delay = self.network.delay(&mut self.rng);
        self.arrive(run, delay, Arrival::Failure { attempt, error });
    }

    /// An upstream took the attempt: from now on it has run.
    fn note_run(&mut self, spec: &RequestSpec) {
        if let Some(caller) = self.callers.get_mut(&spec.id) {
            caller.ran_attempts += 1;
        }
        if let Some(name) = run_name(spec) {
            self.runs.entry(name).or_default().push(spec.id);
        }
    }

    pub(crate) fn on_token(
        &mut self,
        run: Run,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        plan: Box<AttemptPlan>,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !state.works() || state.incarnation != incarnation {
            return;
        }
        let gap = state.token_gap();
        let breaks = state.fault == UpstreamFault::Breaks;
        let request = plan.attempt.request;
        let held = state.held.get_mut(&request);
        let Some(held) = held.filter(|held| held.attempt == plan.attempt) else {
            return;
        };
        let offset = held.next_offset;
        if breaks && offset >= plan.offset_tokens.get() + BREAK_AFTER_TOKENS {
            state.held.remove(&request);
            return self.fail(run, plan.attempt, UpstreamError::Broken);
        }
        let (end, model) = (held.end_offset, held.model.clone());
        held.next_offset += 1;
        let is_last = offset + 1 >= end;
        if is_last {
            state.finish(request);
        }
        let piece = token(model.as_ref(), request, offset);
        self.send_piece(&run, plan.attempt, offset, &piece);
        if is_last {
            let (attempt, end) = (plan.attempt, Tokens::new(end));
            let delay = self.network.delay(&mut self.rng);
            self.arrive(run, delay, Arrival::Finish { attempt, end });
        } else {
            let item = Item::Token(run, upstream.clone(), incarnation, plan);
            self.queue.push(self.now + gap, item);
        }
    }

    fn send_piece(&mut self, run: &Run, attempt: AttemptId, offset: u64, piece: &Bytes) {
        let twice = happens(&mut self.rng, self.network.chances.twice_percent);
        for _ in 0..=u32::from(twice) {
            let delay = self.network.delay(&mut self.rng);
            let arrival = Arrival::Piece {
                attempt,
                offset: Tokens::new(offset),
                piece: piece.clone(),
            };
            self.arrive(run.clone(), delay, arrival);
        }
    }

    pub(crate) fn on_served(
        &mut self,
        run: Run,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        plan: &AttemptPlan,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !state.works() || state.incarnation != incarnation {
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
        let delay = self.network.delay(&mut self.rng);
        self.arrive(run, delay, Arrival::Answer { attempt, result });
    }

    /// Something comes back from an upstream to a VM's traffic thread.
    pub(crate) fn on_traffic(&mut self, vm: &VmId, arrival: Arrival) {
        match arrival {
            Arrival::Piece {
                attempt,
                offset,
                piece,
            } => self.on_piece(vm, attempt, offset, piece),
            Arrival::Finish { attempt, end } => self.on_finish(vm, attempt, end),
            Arrival::Answer { attempt, result } => self.on_result(vm, attempt, result),
            Arrival::Failure { attempt, error } => self.on_failure(vm, attempt, error),
            Arrival::Core(_) | Arrival::Wake => {}
        }
    }

    fn reads(&self, vm: &VmId, attempt: AttemptId) -> bool {
        let state = self.vms.get(vm);
        state.is_some_and(|state| state.readings.contains_key(&attempt))
    }

    fn on_piece(&mut self, vm: &VmId, attempt: AttemptId, offset: Tokens, piece: Bytes) {
        if !self.reads(vm, attempt) {
            return;
        }
        let Some(caller) = self.callers.get_mut(&attempt.request) else {
            return;
        };
        let Some(assembler) = &mut caller.assembler else {
            return;
        };
        if self.switches.contains(&Switch::NoAssembler) {
            caller.add_unchecked(piece);
            return self.tell_progress(vm, attempt);
        }
        match assembler.push(attempt, offset, piece) {
            Ok(PushOutcome::Ready) => {}
            Ok(_) => return,
            Err(error) => {
                let reason = error.to_string();
                return self.on_failure(vm, attempt, UpstreamError::Malformed { reason });
            }
        }
        if caller.take_ready() {
            self.tell_progress(vm, attempt);
        }
        self.end_if_whole(vm, attempt);
    }

    fn tell_progress(&mut self, vm: &VmId, attempt: AttemptId) {
        let now = self.now;
        let state = self.vms.get_mut(vm);
        let Some(reading) = state.and_then(|state| state.readings.get_mut(&attempt)) else {
            return;
        };
        let is_due = reading
            .told_at
            .is_none_or(|told_at| now.since(told_at) >= PROGRESS_MS);
        if !is_due {
            return;
        }
        reading.told_at = Some(now);
        let delivered = self.callers.get(&attempt.request).map(|c| c.delivered());
        let event = Event::Progress {
            attempt,
            delivered_tokens: delivered.unwrap_or_default(),
        };
        self.send_core(vm, event);
    }

    fn on_finish(&mut self, vm: &VmId, attempt: AttemptId, end: Tokens) {
        if !self.reads(vm, attempt) {
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
        self.end_if_whole(vm, attempt);
    }

    fn end_if_whole(&mut self, vm: &VmId, attempt: AttemptId) {
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
        self.end_reading(vm, attempt, end);
    }

    fn on_result(&mut self, vm: &VmId, attempt: AttemptId, result: StoredResult) {
        if !self.reads(vm, attempt) {
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
        self.end_reading(vm, attempt, end);
    }

    fn on_failure(&mut self, vm: &VmId, attempt: AttemptId, error: UpstreamError) {
        if !self.reads(vm, attempt) {
            return;
        }
        let delivered = self.callers.get(&attempt.request).map(|c| c.delivered());
        let end = AttemptResult::Failed {
            delivered_tokens: delivered.unwrap_or_default(),
            error,
        };
        self.end_reading(vm, attempt, end);
    }

    fn end_reading(&mut self, vm: &VmId, attempt: AttemptId, end: AttemptResult) {
        if let Some(state) = self.vms.get_mut(vm) {
            state.readings.remove(&attempt);
        }
        self.send_core(vm, Event::AttemptEnded { attempt, end });
    }
}

/// The name under which a call may run once, if it may not be repeated.
pub(crate) fn run_name(spec: &RequestSpec) -> Option<String> {
    match &spec.target {
        CallTarget::Model(_) => None,
        CallTarget::Service(call) => match &call.key {
            Some(key) => Some(format!("{}/{key}", spec.workspace)),
            None => (!call.idempotent).then(|| spec.id.to_string()),
        },
    }
}
