//! Carries out what the cores decide.

use crate::{
    caller::End,
    fleet::{run_of, Fleet, Item, Run},
    network::happens,
    store::{StoreCall, StoreFault},
    vm::{Arrival, Reading, Vm},
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

/// Time until a connection that can't be made is given up.
const CONNECT_MS: Millis = Millis::new(500);
/// Lag of the platform's list of VMs.
const LIST_LAG_MS: Millis = Millis::new(10_000);
/// Latest time at which a call of the store that got no answer takes effect.
const STORE_LATE_MS: Millis = Millis::new(8_000);

/// Carries one action of a VM's core out.
pub(crate) fn carry_out(fleet: &mut Fleet, vm: &VmId, action: Action) {
    let now = fleet.now;
    match action {
        Action::StartAttempt(plan) => fleet.start_attempt(vm, plan),
        Action::StopAttempt { attempt } => {
            if let Some(state) = fleet.vms.get_mut(vm) {
                state.readings.remove(&attempt);
            }
        }
        Action::EndRequest { request, end } => {
            if let Some(caller) = fleet.callers.get_mut(&request) {
                if matches!(caller.end, Some((_, End::WentAway))) {
                    return;
                }
                if let persimmon_core::request::FinalResponse::Stored(result) = &end {
                    caller.body = Some(result.body.clone());
                }
                caller.finish(now, End::Said(end));
            }
        }
        Action::Ticket { request, key } => {
            fleet.tickets.insert(request, key);
        }
        Action::SendPeer { to, message, .. } => fleet.send_peer(vm, &to, message),
        Action::Table { token, op } => fleet.call_store(vm, token, StoreCall::Table(op)),
        Action::Object { token, op } => fleet.call_store(vm, token, StoreCall::Object(op)),
        Action::ListVms => fleet.later(vm, Item::ListVms),
        Action::Order(order) => fleet.later(vm, |run| Item::Order(run, order)),
        Action::PollLoad { upstream, .. } => fleet.later(vm, |run| Item::Poll(run, upstream)),
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
    fn later(&mut self, vm: &VmId, item: impl FnOnce(Run) -> Item) {
        let delay = self.network.delay(&mut self.rng);
        if let Some(run) = self.vms.get(vm).map(run_of) {
            self.queue.push(self.now + delay, item(run));
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
        caller.begin(plan.attempt);
        caller.sent_attempts += 1;
        if caller.delivered().get() == 0 {
            caller.model.clone_from(&plan.model);
        }
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        let reading = Reading {
            upstream: plan.upstream.clone(),
            told_at: None,
        };
        state.readings.insert(plan.attempt, reading);
        let run = run_of(state);
        if self.reaches(vm, &plan.upstream) {
            self.later(vm, |run| Item::Attempt(run, plan));
        } else {
            let (attempt, error) = (plan.attempt, UpstreamError::Refused);
            self.arrive(run, CONNECT_MS, Arrival::Failure { attempt, error });
        }
    }

    pub(crate) fn reaches(&self, vm: &VmId, upstream: &UpstreamId) -> bool {
        let one = self.domain_of(vm);
        let other = self.upstreams.get(upstream).map(|u| &u.config.domain);
        one.zip(other)
            .is_some_and(|(one, other)| self.network.joins_domains(one, other))
    }

    fn send_peer(&mut self, from: &VmId, to: &VmId, message: PeerMessage) {
        let Some(sender) = self.vms.get(from).map(run_of) else {
            return;
        };
        let target = self.vms.get(to).filter(|state| state.is_up()).map(run_of);
        let joined = self
            .domain_of(from)
            .zip(self.domain_of(to))
            .is_some_and(|(one, other)| self.network.joins((from, one), (to, other)));
        let Some(target) = target.filter(|_| joined) else {
            let event = Event::PeerUnreachable { vm: to.clone() };
            return self.arrive(sender, CONNECT_MS, Arrival::Core(event));
        };
        if happens(&mut self.rng, self.network.chances.lost_percent) {
            return;
        }
        let event = Event::Peer {
            from: sender.vm,
            incarnation: sender.incarnation,
            message,
        };
        let twice = happens(&mut self.rng, self.network.chances.twice_percent);
        for _ in 0..=u32::from(twice) {
            let delay = self.network.delay(&mut self.rng);
            self.arrive(target.clone(), delay, Arrival::Core(event.clone()));
        }
    }

    fn call_store(&mut self, vm: &VmId, token: CallToken, call: StoreCall) {
        let joined = self
            .domain_of(vm)
            .is_some_and(|domain| self.network.joins_platform(domain));
        let chances = self.network.chances;
        if !joined || happens(&mut self.rng, chances.store_down_percent) {
            let answer = Err(PlatformError::Unavailable);
            let after = if joined { Millis::new(1) } else { CONNECT_MS };
            let Some(run) = self.vms.get(vm).map(run_of) else {
                return;
            };
            return self.arrive(run, after, Arrival::Core(Event::Platform { token, answer }));
        }
        if happens(&mut self.rng, chances.store_late_percent) {
            let nobody = Run {
                vm: vm.clone(),
                incarnation: persimmon_core::ids::Incarnation::new(u64::MAX),
            };
            let late = self.network.delay(&mut self.rng).get() * STORE_LATE_MS.get()
                / self.network.max_delay.get().max(1);
            let at = self.now + Millis::new(late);
            return self.queue.push(at, Item::Store(nobody, token, call));
        }
        self.later(vm, |run| Item::Store(run, token, call));
    }

    pub(crate) fn on_store(&mut self, run: Run, token: CallToken, call: &StoreCall) {
        let mut answer = self.store.call(call);
        let mut delay = self.network.delay(&mut self.rng);
        if let StoreFault::Slow(span) = self.store.fault {
            delay = delay + span;
        }
        if answer.is_ok() && happens(&mut self.rng, self.network.chances.store_lost_percent) {
            answer = Err(PlatformError::AnswerLost);
        }
        self.arrive(run, delay, Arrival::Core(Event::Platform { token, answer }));
    }

    pub(crate) fn on_list_vms(&mut self, run: Run) {
        let joined = self
            .domain_of(&run.vm)
            .is_some_and(|domain| self.network.joins_platform(domain));
        let now = self.now;
        let listed = |state: &&Vm| state.is_up() || state.died_at.is_some_and(|at| lags(at, now));
        let records = self.vms.values().filter(listed).map(|state| VmRecord {
            vm: state.member.vm.clone(),
            domain: state.member.domain.clone(),
            peer_address: state.member.peer_address,
            state: VmState::Live,
        });
        let answer = if joined {
            Ok(records.collect())
        } else {
            Err(PlatformError::Unavailable)
        };
        let delay = self.network.delay(&mut self.rng);
        self.arrive(run, delay, Arrival::Core(Event::Vms { answer }));
    }

    pub(crate) fn on_order(&mut self, run: Run, order: Order) {
        let reached = self.reaches(&run.vm, &order.upstream);
        let upstream = self.upstreams.get_mut(&order.upstream);
        let answer = match upstream.filter(|_| reached) {
            Some(state) => state.order(&order),
            None => Err(UpstreamError::Refused),
        };
        let delay = self.network.delay(&mut self.rng);
        let event = Event::OrderAnswered {
            upstream: order.upstream,
            token: order.token,
            answer,
        };
        self.arrive(run, delay, Arrival::Core(event));
    }

    pub(crate) fn on_poll(&mut self, run: Run, upstream: UpstreamId) {
        let reached = self.reaches(&run.vm, &upstream);
        let now = self.now;
        let answer = match self.upstreams.get_mut(&upstream).filter(|_| reached) {
            Some(state) => state.report(now),
            None => Err(UpstreamError::Refused),
        };
        let delay = self.network.delay(&mut self.rng);
        let event = Event::Load { upstream, answer };
        self.arrive(run, delay, Arrival::Core(event));
    }

    /// Whoever reads an attempt sees its connection end.
    pub(crate) fn break_reading(&mut self, attempt: AttemptId, error: UpstreamError) {
        let reader = self
            .vms
            .values()
            .find(|vm| vm.readings.contains_key(&attempt));
        if let Some(run) = reader.map(run_of) {
            let arrival = Arrival::Failure { attempt, error };
            self.arrive(run, Millis::new(1), arrival);
        }
    }
}

fn lags(died_at: Time, now: Time) -> bool {
    now.since(died_at) < LIST_LAG_MS
}
