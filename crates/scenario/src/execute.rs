//! Executes the actions that the cores return.

use crate::{
    caller::RequestEnd,
    fleet::{process_id, Fleet, FleetEvent, ProcessId},
    network::fault_occurs,
    store::{StoreCall, StoreFault},
    vm::{ActiveRead, Arrival, Vm},
};
use persimmon_core::{
    ids::{AttemptId, UpstreamId, VmId},
    message::PeerMessage,
    platform::{CallToken, PlatformError, VmRecord, VmState},
    request::{AttemptPlan, UpstreamError},
    units::{Millis, Time},
    upstream::{CacheBatch, Order},
    Action, Event,
};

/// Time after which connecting to an unreachable process fails.
const CONNECT_TIMEOUT_MS: Millis = Millis::new(500);
/// Time for which the platform's list still contains a dead VM.
const VM_LIST_LAG_MS: Millis = Millis::new(10_000);
/// Maximum delay after which an unanswered call of the store takes effect.
const STORE_LATE_MAX_MS: Millis = Millis::new(8_000);

/// Executes one action of a VM's core.
pub(crate) fn execute_action(fleet: &mut Fleet, vm: &VmId, action: Action) {
    let now = fleet.now;
    match action {
        Action::StartAttempt(plan) => fleet.start_attempt(vm, plan),
        Action::StopAttempt { attempt } => {
            if let Some(state) = fleet.vms.get_mut(vm) {
                state.active_reads.remove(&attempt);
            }
        }
        Action::EndRequest { request, end } => {
            if let Some(caller) = fleet.callers.get_mut(&request) {
                if matches!(caller.end, Some((_, RequestEnd::CallerDisconnected))) {
                    return;
                }
                if let persimmon_core::request::FinalResponse::Stored(result) = &end {
                    caller.body = Some(result.body.clone());
                }
                caller.finish(now, RequestEnd::Answered(end));
            }
        }
        Action::Ticket { request, key } => {
            fleet.tickets.insert(request, key);
        }
        Action::SendPeer { to, message, .. } => fleet.send_peer(vm, &to, message),
        Action::Table { token, op } => fleet.call_store(vm, token, StoreCall::Table(op)),
        Action::Object { token, op } => fleet.call_store(vm, token, StoreCall::Object(op)),
        Action::ListVms => fleet.schedule_delayed(vm, FleetEvent::ListVms),
        Action::Order(order) => {
            fleet.schedule_delayed(vm, |process| FleetEvent::Order(process, order))
        }
        Action::PollLoad { upstream, .. } => {
            fleet.schedule_delayed(vm, |process| FleetEvent::LoadPoll(process, upstream))
        }
        Action::PollCache { upstream, .. } => {
            let batch = CacheBatch::default();
            fleet.send_core(vm, Event::Cache { upstream, batch });
        }
        Action::OperatorReply { call, reply } => {
            fleet.replies.insert(call, *reply);
        }
        Action::Log(record) => fleet.log.push((now, vm.clone(), *record)),
        Action::Ready { ready, .. } => {
            if let Some(state) = fleet.vms.get_mut(vm) {
                state.is_ready = ready;
            }
        }
        Action::Exit => fleet.exit_vm(vm),
    }
}

impl Fleet {
    fn schedule_delayed(&mut self, vm: &VmId, item: impl FnOnce(ProcessId) -> FleetEvent) {
        let delay = self.network.sample_delay(&mut self.rng);
        if let Some(process) = self.vms.get(vm).map(process_id) {
            self.queue.push(self.now + delay, item(process));
        }
    }

    fn exit_vm(&mut self, vm: &VmId) {
        self.kill_vm(vm);
        if let Some(state) = self.vms.get_mut(vm) {
            state.has_exited = true;
        }
    }

    fn start_attempt(&mut self, vm: &VmId, plan: Box<AttemptPlan>) {
        let Some(caller) = self.callers.get_mut(&plan.attempt.request) else {
            return;
        };
        caller.begin_attempt(plan.attempt);
        caller.sent_attempts += 1;
        if caller.delivered().get() == 0 {
            caller.model.clone_from(&plan.model);
        }
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        let read = ActiveRead {
            upstream: plan.upstream.clone(),
            progress_sent_at: None,
        };
        state.active_reads.insert(plan.attempt, read);
        let process = process_id(state);
        if self.can_reach(vm, &plan.upstream) {
            self.schedule_delayed(vm, |process| FleetEvent::Attempt(process, plan));
        } else {
            let (attempt, error) = (plan.attempt, UpstreamError::Refused);
            self.schedule_arrival(
                process,
                CONNECT_TIMEOUT_MS,
                Arrival::Failure { attempt, error },
            );
        }
    }

    pub(crate) fn can_reach(&self, vm: &VmId, upstream: &UpstreamId) -> bool {
        let one = self.domain_of(vm);
        let other = self.upstreams.get(upstream).map(|u| &u.config.domain);
        one.zip(other)
            .is_some_and(|(one, other)| self.network.domains_connected(one, other))
    }

    fn send_peer(&mut self, from: &VmId, to: &VmId, message: PeerMessage) {
        let Some(sender) = self.vms.get(from).map(process_id) else {
            return;
        };
        let target = self
            .vms
            .get(to)
            .filter(|state| state.is_up())
            .map(process_id);
        let connected = self
            .domain_of(from)
            .zip(self.domain_of(to))
            .is_some_and(|(one, other)| self.network.vms_connected((from, one), (to, other)));
        let Some(target) = target.filter(|_| connected) else {
            let event = Event::PeerUnreachable { vm: to.clone() };
            return self.schedule_arrival(sender, CONNECT_TIMEOUT_MS, Arrival::Event(event));
        };
        if fault_occurs(&mut self.rng, self.network.fault_rates.peer_loss_percent) {
            return;
        }
        let event = Event::Peer {
            from: sender.vm,
            incarnation: sender.incarnation,
            message,
        };
        let twice = fault_occurs(&mut self.rng, self.network.fault_rates.duplicate_percent);
        for _ in 0..=u32::from(twice) {
            let delay = self.network.sample_delay(&mut self.rng);
            self.schedule_arrival(target.clone(), delay, Arrival::Event(event.clone()));
        }
    }

    fn call_store(&mut self, vm: &VmId, token: CallToken, call: StoreCall) {
        let connected = self
            .domain_of(vm)
            .is_some_and(|domain| self.network.platform_reachable(domain));
        let fault_rates = self.network.fault_rates;
        if !connected || fault_occurs(&mut self.rng, fault_rates.store_unavailable_percent) {
            let answer = Err(PlatformError::Unavailable);
            let after = if connected {
                Millis::new(1)
            } else {
                CONNECT_TIMEOUT_MS
            };
            let Some(process) = self.vms.get(vm).map(process_id) else {
                return;
            };
            return self.schedule_arrival(
                process,
                after,
                Arrival::Event(Event::Platform { token, answer }),
            );
        }
        if fault_occurs(&mut self.rng, fault_rates.store_late_percent) {
            let no_process = ProcessId {
                vm: vm.clone(),
                incarnation: persimmon_core::ids::Incarnation::new(u64::MAX),
            };
            let late_ms = self.network.sample_delay(&mut self.rng).get() * STORE_LATE_MAX_MS.get()
                / self.network.max_delay.get().max(1);
            let at = self.now + Millis::new(late_ms);
            return self
                .queue
                .push(at, FleetEvent::Store(no_process, token, call));
        }
        self.schedule_delayed(vm, |process| FleetEvent::Store(process, token, call));
    }

    pub(crate) fn on_store(&mut self, process: ProcessId, token: CallToken, call: &StoreCall) {
        let mut answer = self.store.call(call);
        let mut delay = self.network.sample_delay(&mut self.rng);
        if let StoreFault::Slow(span) = self.store.fault {
            delay = delay + span;
        }
        if answer.is_ok()
            && fault_occurs(
                &mut self.rng,
                self.network.fault_rates.store_answer_loss_percent,
            )
        {
            answer = Err(PlatformError::AnswerLost);
        }
        self.schedule_arrival(
            process,
            delay,
            Arrival::Event(Event::Platform { token, answer }),
        );
    }

    pub(crate) fn on_list_vms(&mut self, process: ProcessId) {
        let connected = self
            .domain_of(&process.vm)
            .is_some_and(|domain| self.network.platform_reachable(domain));
        let now = self.now;
        let listed =
            |state: &&Vm| state.is_up() || state.died_at.is_some_and(|at| is_still_listed(at, now));
        let records = self.vms.values().filter(listed).map(|state| VmRecord {
            vm: state.member.vm.clone(),
            domain: state.member.domain.clone(),
            peer_address: state.member.peer_address,
            state: VmState::Live,
        });
        let answer = if connected {
            Ok(records.collect())
        } else {
            Err(PlatformError::Unavailable)
        };
        let delay = self.network.sample_delay(&mut self.rng);
        self.schedule_arrival(process, delay, Arrival::Event(Event::Vms { answer }));
    }

    pub(crate) fn on_order(&mut self, process: ProcessId, order: Order) {
        let reached = self.can_reach(&process.vm, &order.upstream);
        let upstream = self.upstreams.get_mut(&order.upstream);
        let answer = match upstream.filter(|_| reached) {
            Some(state) => state.order(&order),
            None => Err(UpstreamError::Refused),
        };
        let delay = self.network.sample_delay(&mut self.rng);
        let event = Event::OrderAnswered {
            upstream: order.upstream,
            token: order.token,
            answer,
        };
        self.schedule_arrival(process, delay, Arrival::Event(event));
    }

    pub(crate) fn on_poll(&mut self, process: ProcessId, upstream: UpstreamId) {
        let reached = self.can_reach(&process.vm, &upstream);
        let now = self.now;
        let answer = match self.upstreams.get_mut(&upstream).filter(|_| reached) {
            Some(state) => state.report(now),
            None => Err(UpstreamError::Refused),
        };
        let delay = self.network.sample_delay(&mut self.rng);
        let event = Event::Load { upstream, answer };
        self.schedule_arrival(process, delay, Arrival::Event(event));
    }

    /// Breaks the connection of an attempt: the VM that reads the attempt gets a failure.
    pub(crate) fn break_connection(&mut self, attempt: AttemptId, error: UpstreamError) {
        let reader = self
            .vms
            .values()
            .find(|vm| vm.active_reads.contains_key(&attempt));
        if let Some(process) = reader.map(process_id) {
            let arrival = Arrival::Failure { attempt, error };
            self.schedule_arrival(process, Millis::new(1), arrival);
        }
    }
}

fn is_still_listed(died_at: Time, now: Time) -> bool {
    now.since(died_at) < VM_LIST_LAG_MS
}
