//! A fleet in virtual time: daemons, upstreams, callers and the platform, joined by a queue.

use crate::{
    caller::{Caller, End},
    network::Network,
    node::Node,
    queue::Queue,
    store::{Store, StoreCall},
    switch::{Switch, Switches},
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

/// Makes the process of a VM, given its seed.
pub type MakeNode = Box<dyn Fn(&Member, u64) -> Box<dyn Node>>;

/// Wall clock at the fleet's start, in milliseconds since the epoch.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;
/// When the switches that make daemons deaf begin.
const DEAF_FROM: Time = Time::from_ms(10_000);
/// Shortest time between two ticks of one process.
const TICK_MIN_MS: Millis = Millis::new(1);

/// A run of a VM's process: what is sent to an earlier run is lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Run {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
}

/// Something that happens in the fleet.
#[derive(Debug)]
pub(crate) enum Item {
    /// Something reaches a VM.
    Vm(Run, Arrival),
    /// An attempt reaches its upstream.
    Attempt(Run, Box<AttemptPlan>),
    /// An engine generates the next token of a stream.
    Token(Run, UpstreamId, Incarnation, Box<AttemptPlan>),
    /// A service has carried a call out.
    Served(Run, UpstreamId, Incarnation, Box<AttemptPlan>),
    /// An order reaches its upstream.
    Order(Run, Box<Order>),
    /// A question for an upstream's load.
    Poll(Run, UpstreamId),
    /// A call reaches the store.
    Store(Run, CallToken, StoreCall),
    /// A question for the list of VMs.
    ListVms(Run),
}

/// A fleet in virtual time.
pub struct Fleet {
    /// The time.
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
    /// Calls that ran at services, by key or by request.
    pub runs: BTreeMap<String, Vec<RequestId>>,
    /// Tickets that were issued, by the request that asked.
    pub tickets: BTreeMap<RequestId, IdempotencyKey>,
    /// Answers to operators.
    pub replies: BTreeMap<CallToken, OperatorReply>,
    /// Promises that are broken on purpose.
    pub switches: Switches,
    /// Log records.
    pub log: Vec<(Time, VmId, Record)>,
    pub(crate) queue: Queue<Item>,
    pub(crate) rng: ChaCha8Rng,
    calls_count: u64,
    make: MakeNode,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = (self.vms.len(), self.upstreams.len(), self.callers.len());
        write!(f, "Fleet at {}: {counts:?}", self.now)
    }
}

impl Fleet {
    /// An empty fleet whose VMs run what `make` makes.
    pub fn new(seed: u64, make: MakeNode) -> Self {
        Self {
            now: Time::from_ms(1_000),
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            callers: BTreeMap::new(),
            store: Store::default(),
            network: Network::default(),
            runs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            replies: BTreeMap::new(),
            switches: Switches::new(),
            log: Vec::new(),
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls_count: 0,
            make,
        }
    }

    /// Starts a VM, or a new run on one.
    pub fn start_vm(&mut self, mut member: Member) {
        let mut woken_at = None;
        if let Some(vm) = self.vms.get(&member.vm) {
            member.incarnation = vm.member.incarnation.next();
            woken_at = vm.woken_at;
        }
        let seed = self.rng.next_u64();
        let mut vm = Vm::new(member.clone(), (self.make)(&member, seed), self.now);
        vm.woken_at = woken_at;
        self.vms.insert(member.vm.clone(), vm);
        self.deliver(&member.vm, Event::Tick);
    }

    /// A caller sends a request to a VM.
    pub fn request(&mut self, vm: &VmId, spec: RequestSpec) {
        let mut caller = Caller::new(spec.clone(), vm.clone(), self.now);
        let up = self.vms.get(vm).is_some_and(Vm::is_up);
        if !up {
            caller.finish(self.now, End::ConnectionLost);
        }
        self.callers.insert(spec.id, caller);
        if up {
            self.send_core(vm, Event::Request(Box::new(spec)));
        }
    }

    /// A caller goes away.
    pub fn leave(&mut self, request: RequestId) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        if caller.is_open() {
            caller.finish(now, End::WentAway);
            let vm = caller.vm.clone();
            self.send_core(&vm, Event::CallerDisconnected { request });
        }
    }

    /// An operator sends a command to a VM; the reply comes under the token.
    pub fn operate(&mut self, vm: &VmId, who: OperatorName, command: OperatorCommand) -> CallToken {
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

    /// Runs what is due up to `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some((at, item)) = self.queue.pop_due(until) {
            self.now = at;
            self.happen(item);
        }
        self.now = until;
    }

    /// Runs for a while.
    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    /// Sends an event of the borders to a VM's core, a moment later.
    pub fn send_core(&mut self, vm: &VmId, event: Event) {
        let Some(run) = self.vms.get(vm).map(run_of) else {
            return;
        };
        self.arrive(run, Millis::new(1), Arrival::Core(event));
    }

    pub(crate) fn arrive(&mut self, run: Run, after: Millis, arrival: Arrival) {
        self.queue.push(self.now + after, Item::Vm(run, arrival));
    }

    /// Gives an event to a VM's core now and carries out what follows.
    pub(crate) fn deliver(&mut self, vm: &VmId, event: Event) {
        let now = self.now;
        let is_tick = event == Event::Tick;
        let is_deaf = self.is_deaf_to(&event);
        let Some(state) = self.vms.get_mut(vm).filter(|_| !is_deaf) else {
            return;
        };
        let local = state.local(now);
        let Some(node) = &mut state.node else { return };
        state.ticks_count += u64::from(is_tick);
        let actions = node.handle(local, event);
        for action in actions {
            self.act(vm, action);
        }
        self.plan_wake(vm, if is_tick { TICK_MIN_MS } else { Millis::ZERO });
    }

    /// Whether a switch keeps an event from the daemons once they know each other.
    fn is_deaf_to(&self, event: &Event) -> bool {
        let is_config = match event {
            Event::Peer { message, .. } => matches!(message, PeerMessage::Config(_)),
            Event::Platform { token, .. } => token.component() == Component::Config,
            _ => false,
        };
        self.now >= DEAF_FROM
            && ((is_config && self.switches.contains(&Switch::NoConfiguration))
                || (*event == Event::Tick && self.switches.contains(&Switch::NoTicks)))
    }

    fn plan_wake(&mut self, vm: &VmId, after: Millis) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(at) = state.wants_wake(now, after) else {
            return;
        };
        if state
            .wake_at
            .is_some_and(|planned| planned <= at && planned >= now)
        {
            return;
        }
        state.wake_at = Some(at);
        let run = run_of(state);
        self.queue.push(at, Item::Vm(run, Arrival::Wake));
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Vm(run, arrival) => self.on_arrival(&run, arrival),
            Item::Attempt(run, plan) => self.on_attempt(run, plan),
            Item::Token(run, upstream, incarnation, plan) => {
                self.on_token(run, &upstream, incarnation, plan);
            }
            Item::Served(run, upstream, incarnation, plan) => {
                self.on_served(run, &upstream, incarnation, &plan);
            }
            Item::Order(run, order) => self.on_order(run, *order),
            Item::Poll(run, upstream) => self.on_poll(run, upstream),
            Item::Store(run, token, call) => self.on_store(run, token, &call),
            Item::ListVms(run) => self.on_list_vms(run),
        }
    }

    fn on_arrival(&mut self, run: &Run, arrival: Arrival) {
        let Some(state) = self.vms.get_mut(&run.vm) else {
            return;
        };
        if state.node.is_none() || state.member.incarnation != run.incarnation {
            return;
        }
        if state.is_paused {
            if !matches!(arrival, Arrival::Wake) {
                state.inbox.push(arrival);
            }
            return;
        }
        match arrival {
            Arrival::Wake if state.wake_at.is_some_and(|at| at > self.now) => {}
            Arrival::Wake => {
                state.wake_at = None;
                self.deliver(&run.vm, Event::Tick);
            }
            Arrival::Core(event) => {
                if let Event::Request(spec) = &event {
                    let caller = self.callers.get_mut(&spec.id);
                    caller
                        .into_iter()
                        .for_each(|c| c.admitted_at = Some(self.now));
                }
                self.deliver(&run.vm, event);
            }
            other => self.on_traffic(&run.vm, other),
        }
    }

    pub(crate) fn act(&mut self, vm: &VmId, action: Action) {
        crate::carry::carry_out(self, vm, action);
    }
}

pub(crate) fn run_of(vm: &Vm) -> Run {
    Run {
        vm: vm.member.vm.clone(),
        incarnation: vm.member.incarnation,
    }
}
