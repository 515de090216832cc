//! A discrete-event simulation of a fleet: daemons, upstreams, callers and the platform.

use crate::{
    caller::{Caller, RequestEnd},
    defect::{Defect, Defects},
    network::Network,
    node::Node,
    queue::EventQueue,
    store::{Store, StoreCall},
    upstream::Upstream,
    vm::{Arrival, Vm},
};
use persimmon_core::{
    decision::Record,
    ids::{IdempotencyKey, Incarnation, OperatorName, RequestId, UpstreamId, VmId},
    message::{Member, PeerMessage},
    operator::{OperatorCommand, OperatorReply},
    platform::{CallToken, Component},
    request::{AttemptPlan, RequestSpec},
    units::{Millis, Time},
    upstream::Order,
    Action, Event,
};
use rand::Rng;
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::{collections::BTreeMap, fmt};

/// Creates the process of a VM from its member record and a seed.
pub type NodeFactory = Box<dyn Fn(&Member, u64) -> Box<dyn Node>>;

/// Wall clock at time 0 of the fleet, in milliseconds since the Unix epoch.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;
/// Time from which the defects that suppress events are active.
const SUPPRESS_FROM: Time = Time::from_ms(10_000);
/// Minimum time between two ticks of one process.
const TICK_MIN_MS: Millis = Millis::new(1);

/// One incarnation of a VM's process. Events for an earlier incarnation are dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ProcessId {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
}

/// A scheduled event of the simulation.
#[derive(Debug)]
pub(crate) enum FleetEvent {
    /// An input reaches a VM's process.
    Arrival(ProcessId, Arrival),
    /// An attempt reaches its upstream.
    Attempt(ProcessId, Box<AttemptPlan>),
    /// An engine generates the next token of a stream.
    Token(ProcessId, UpstreamId, Incarnation, Box<AttemptPlan>),
    /// A service completed a call.
    ServiceDone(ProcessId, UpstreamId, Incarnation, Box<AttemptPlan>),
    /// An order reaches its upstream.
    Order(ProcessId, Box<Order>),
    /// A request for a load report reaches an upstream.
    LoadPoll(ProcessId, UpstreamId),
    /// A call reaches the store.
    Store(ProcessId, CallToken, StoreCall),
    /// A request for the list of VMs reaches the platform.
    ListVms(ProcessId),
}

/// A simulated fleet in virtual time.
pub struct Fleet {
    /// Current virtual time.
    pub now: Time,
    /// The VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The callers, by request.
    pub callers: BTreeMap<RequestId, Caller>,
    /// The platform's store.
    pub store: Store,
    /// The network.
    pub network: Network,
    /// Requests whose call was executed at a service, by workspace and idempotency key or by
    /// request id.
    pub executions: BTreeMap<String, Vec<RequestId>>,
    /// Issued tickets, by the request that asked for them.
    pub tickets: BTreeMap<RequestId, IdempotencyKey>,
    /// Replies to operator commands.
    pub replies: BTreeMap<CallToken, OperatorReply>,
    /// Deliberate defects.
    pub defects: Defects,
    /// Log records of all VMs, with time and VM.
    pub log: Vec<(Time, VmId, Record)>,
    pub(crate) queue: EventQueue<FleetEvent>,
    pub(crate) rng: ChaCha8Rng,
    calls_count: u64,
    node_factory: NodeFactory,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = (self.vms.len(), self.upstreams.len(), self.callers.len());
        write!(f, "Fleet at {}: {counts:?}", self.now)
    }
}

impl Fleet {
    /// Creates an empty fleet whose VMs run the processes that `node_factory` creates.
    pub fn new(seed: u64, node_factory: NodeFactory) -> Self {
        Self {
            now: Time::from_ms(1_000),
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            callers: BTreeMap::new(),
            store: Store::default(),
            network: Network::default(),
            executions: BTreeMap::new(),
            tickets: BTreeMap::new(),
            replies: BTreeMap::new(),
            defects: Defects::new(),
            log: Vec::new(),
            queue: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls_count: 0,
            node_factory,
        }
    }

    /// Starts a VM, or a new incarnation of the process on an existing VM.
    pub fn start_vm(&mut self, mut member: Member) {
        let mut resumed_at = None;
        if let Some(vm) = self.vms.get(&member.vm) {
            member.incarnation = vm.member.incarnation.next();
            resumed_at = vm.resumed_at;
        }
        let seed = self.rng.next_u64();
        let mut vm = Vm::new(member.clone(), (self.node_factory)(&member, seed), self.now);
        vm.resumed_at = resumed_at;
        self.vms.insert(member.vm.clone(), vm);
        self.deliver(&member.vm, Event::Tick);
    }

    /// Sends a caller's request to a VM. If the VM is down, the request ends as connection lost.
    pub fn request(&mut self, vm: &VmId, spec: RequestSpec) {
        let mut caller = Caller::new(spec.clone(), vm.clone(), self.now);
        let up = self.vms.get(vm).is_some_and(Vm::is_up);
        if !up {
            caller.finish(self.now, RequestEnd::ConnectionLost);
        }
        self.callers.insert(spec.id, caller);
        if up {
            self.send_core(vm, Event::Request(Box::new(spec)));
        }
    }

    /// Disconnects the caller of a request, if the request is open.
    pub fn disconnect_caller(&mut self, request: RequestId) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        if caller.is_open() {
            caller.finish(now, RequestEnd::CallerDisconnected);
            let vm = caller.vm.clone();
            self.send_core(&vm, Event::CallerDisconnected { request });
        }
    }

    /// Sends an operator's command to a VM. The reply is stored in `replies` under the returned token.
    pub fn send_command(
        &mut self,
        vm: &VmId,
        who: OperatorName,
        command: OperatorCommand,
    ) -> CallToken {
        self.calls_count += 1;
        let call = CallToken::new(Component::External, self.calls_count);
        let event = Event::Operator {
            call,
            operator: who,
            command,
            unix_ms: EPOCH_UNIX_MS + self.now.as_us() / 1_000,
        };
        self.send_core(vm, event);
        call
    }

    /// Runs the simulation up to `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some((at, item)) = self.queue.pop_due(until) {
            self.now = at;
            self.handle_event(item);
        }
        self.now = until;
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    /// Schedules an external event for a VM's core, 1 ms later.
    pub fn send_core(&mut self, vm: &VmId, event: Event) {
        let Some(process) = self.vms.get(vm).map(process_id) else {
            return;
        };
        self.schedule_arrival(process, Millis::new(1), Arrival::Event(event));
    }

    pub(crate) fn schedule_arrival(&mut self, process: ProcessId, after: Millis, arrival: Arrival) {
        self.queue
            .push(self.now + after, FleetEvent::Arrival(process, arrival));
    }

    /// Delivers an event to a VM's core now and executes the resulting actions.
    pub(crate) fn deliver(&mut self, vm: &VmId, event: Event) {
        let now = self.now;
        let is_tick = event == Event::Tick;
        let is_suppressed = self.is_suppressed(&event);
        let Some(state) = self.vms.get_mut(vm).filter(|_| !is_suppressed) else {
            return;
        };
        let local = state.local_time(now);
        let Some(node) = &mut state.node else { return };
        state.ticks_count += u64::from(is_tick);
        let actions = node.handle(local, event);
        for action in actions {
            self.execute(vm, action);
        }
        self.schedule_tick(vm, if is_tick { TICK_MIN_MS } else { Millis::ZERO });
    }

    /// Whether a deliberate defect drops an event. Applies from [`SUPPRESS_FROM`] on, when the daemons
    /// know each other.
    fn is_suppressed(&self, event: &Event) -> bool {
        let is_config = match event {
            Event::Peer { message, .. } => matches!(message, PeerMessage::Config(_)),
            Event::Platform { token, .. } => token.component() == Component::Config,
            _ => false,
        };
        self.now >= SUPPRESS_FROM
            && ((is_config && self.defects.contains(&Defect::NoConfigUpdates))
                || (*event == Event::Tick && self.defects.contains(&Defect::NoTicks)))
    }

    fn schedule_tick(&mut self, vm: &VmId, after: Millis) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(at) = state.next_tick_at(now, after) else {
            return;
        };
        if state
            .timer_at
            .is_some_and(|planned| planned <= at && planned >= now)
        {
            return;
        }
        state.timer_at = Some(at);
        let process = process_id(state);
        self.queue
            .push(at, FleetEvent::Arrival(process, Arrival::Timer));
    }

    fn handle_event(&mut self, item: FleetEvent) {
        match item {
            FleetEvent::Arrival(process, arrival) => self.on_arrival(&process, arrival),
            FleetEvent::Attempt(process, plan) => self.on_attempt(process, plan),
            FleetEvent::Token(process, upstream, incarnation, plan) => {
                self.on_token(process, &upstream, incarnation, plan);
            }
            FleetEvent::ServiceDone(process, upstream, incarnation, plan) => {
                self.on_served(process, &upstream, incarnation, &plan);
            }
            FleetEvent::Order(process, order) => self.on_order(process, *order),
            FleetEvent::LoadPoll(process, upstream) => self.on_poll(process, upstream),
            FleetEvent::Store(process, token, call) => self.on_store(process, token, &call),
            FleetEvent::ListVms(process) => self.on_list_vms(process),
        }
    }

    fn on_arrival(&mut self, process: &ProcessId, arrival: Arrival) {
        let Some(state) = self.vms.get_mut(&process.vm) else {
            return;
        };
        if state.node.is_none() || state.member.incarnation != process.incarnation {
            return;
        }
        if state.is_paused {
            if !matches!(arrival, Arrival::Timer) {
                state.inbox.push(arrival);
            }
            return;
        }
        match arrival {
            Arrival::Timer if state.timer_at.is_some_and(|at| at > self.now) => {}
            Arrival::Timer => {
                state.timer_at = None;
                self.deliver(&process.vm, Event::Tick);
            }
            Arrival::Event(event) => {
                if let Event::Request(spec) = &event {
                    let caller = self.callers.get_mut(&spec.id);
                    caller
                        .into_iter()
                        .for_each(|c| c.received_at = Some(self.now));
                }
                self.deliver(&process.vm, event);
            }
            other => self.on_traffic(&process.vm, other),
        }
    }

    pub(crate) fn execute(&mut self, vm: &VmId, action: Action) {
        crate::execute::execute_action(self, vm, action);
    }
}

pub(crate) fn process_id(vm: &Vm) -> ProcessId {
    ProcessId {
        vm: vm.member.vm.clone(),
        incarnation: vm.member.incarnation,
    }
}
