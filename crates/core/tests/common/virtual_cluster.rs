//! Simulated cluster: the control components of daemons on a virtual network, with an in-memory
//! store.
#![allow(dead_code, unreachable_pub)]

use bytes::Bytes;
use persimmon_core::{
    config::{ConfigSettings, ConfigStore, Configuration},
    ids::{
        FailureDomain, FencingNumber, Generation, Incarnation, OperatorName, PlanId, UpstreamId,
        VmId,
    },
    membership::{LocalState, Membership, MembershipSettings},
    message::{CapacitySummary, Member, PeerMessage},
    operator::{Intent, OperatorCommand, OperatorReply},
    ownership::{Ownership, OwnershipChange, OwnershipSettings},
    plan::{PlanInputs, PlanSettings, Planner},
    platform::{
        CallToken, Component, Condition, ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord,
        VmState, Write,
    },
    units::{Millis, Time},
    Action, Context, Directory, View,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

pub const TICK_MS: u64 = 20;
pub const LATENCY_MS: u64 = 1;

/// Parses an identifier.
pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Returns a configuration with two engines and one server in each of the failure domains `a`, `b`
/// and `c`.
pub fn small_config() -> Configuration {
    let mut upstreams = String::new();
    for (index, domain) in ["a", "b", "c"].iter().enumerate() {
        for n in 0..3 {
            let kind = match n {
                2 => r#"{"service": "orders"}"#,
                _ => {
                    r#"{"engine": {"kv_bytes": 8000000, "prefill_tokens_per_s": 8000.0,
                    "decode_tokens_per_s": 40.0, "max_in_flight_requests": 8, "can_group": true}}"#
                }
            };
            upstreams += &format!(
                r#""{domain}-u{n}": {{"address": "127.0.0.1:{}", "domain": "{domain}",
                "kind": {kind}, "checks_fencing": true}},"#,
                7000 + index * 10 + n
            );
        }
    }
    let text = format!(
        r#"{{"domains": {{"a": {{}}, "b": {{}}, "c": {{}}}},
        "models": {{"m@1": {{"kv_bytes_per_token": 100, "weights_bytes": 1000,
            "context_tokens": 100000}},
            "m@2": {{"kv_bytes_per_token": 100, "weights_bytes": 1000, "context_tokens": 100000}}}},
        "services": {{"orders": {{"max_in_flight_requests": 4}}}},
        "upstreams": {{{}}},
        "workspaces": {{"w": {{"weight_count": 1}}}},
        "placement": [{{"model": "m@1"}}]}}"#,
        upstreams.trim_end_matches(',')
    );
    serde_json::from_str(&text).unwrap()
}

pub struct Node {
    pub me: Member,
    pub membership: Membership,
    pub ownership: Ownership,
    pub config: ConfigStore,
    pub planner: Planner,
    pub summary: CapacitySummary,
    pub up: bool,
    pub applied: Vec<Generation>,
    /// Upstreams that this daemon owns according to its ownership changes, with their fencing
    /// numbers.
    pub owned: BTreeMap<UpstreamId, FencingNumber>,
    rng: ChaCha8Rng,
    last_token: u64,
}

pub struct ClusterDirectory<'a>(pub &'a Membership, pub &'a Ownership);

impl Directory for ClusterDirectory<'_> {
    fn member(&self, vm: &VmId) -> Option<&Member> {
        self.0.member(vm)
    }

    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.0.is_alive(vm, incarnation)
    }

    fn live_in(&self, domain: &FailureDomain) -> &[Member] {
        self.0.live_in(domain)
    }

    fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId> {
        self.1.owner_of(upstream)
    }

    fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary> {
        self.0.summary_of(vm)
    }
}

enum Input {
    Peer(Member, PeerMessage),
    Platform(CallToken, Result<TableAnswer, PlatformError>),
    Vms(Vec<VmRecord>),
}

pub struct Cluster {
    pub now: Time,
    pub nodes: BTreeMap<VmId, Node>,
    pub table: BTreeMap<String, Bytes>,
    pub objects: BTreeMap<String, Bytes>,
    pub store_down: bool,
    /// Failure domains that are partitioned from the platform.
    pub store_partitions: BTreeSet<FailureDomain>,
    /// Number of further writes that take effect but whose answers are lost.
    pub lost_answers_count: u32,
    /// Pairs of failure domains that are partitioned from each other.
    pub partitions: BTreeSet<(FailureDomain, FailureDomain)>,
    /// VMs that the platform no longer lists.
    pub unlisted_vms: BTreeSet<VmId>,
    /// Share of messages between daemons that are lost.
    pub loss_percent: u32,
    /// Share of messages between daemons that are delivered twice.
    pub duplicate_percent: u32,
    /// Maximum delay of messages between daemons.
    pub delay_ms: u64,
    pub replies: Vec<(CallToken, OperatorReply)>,
    pub sent_count: u64,
    pub store_calls_count: u64,
    /// Every pair of upstream and fencing number ever owned, with its owner. Two owners of one pair
    /// would defeat fencing.
    pub owners_by_number: BTreeMap<(UpstreamId, FencingNumber), VmId>,
    queue: BTreeMap<(Time, u64), (VmId, Input)>,
    last_sequence_index: u64,
    calls_count: u64,
    rng: ChaCha8Rng,
}

impl Cluster {
    /// Creates a cluster of `vms` daemons per failure domain, which all know each other's
    /// addresses.
    pub fn new(domains: &[&str], vms: usize) -> Self {
        let mut cluster = Self {
            now: Time::from_ms(0),
            nodes: BTreeMap::new(),
            table: BTreeMap::new(),
            objects: BTreeMap::new(),
            store_down: false,
            store_partitions: BTreeSet::new(),
            lost_answers_count: 0,
            partitions: BTreeSet::new(),
            unlisted_vms: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            delay_ms: LATENCY_MS,
            rng: ChaCha8Rng::seed_from_u64(17),
            replies: Vec::new(),
            sent_count: 0,
            store_calls_count: 0,
            owners_by_number: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_sequence_index: 0,
            calls_count: 0,
        };
        let mut members = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            for n in 0..vms {
                members.push(Member {
                    vm: id(&format!("{domain}-{n:02}")),
                    incarnation: Incarnation::new(1),
                    domain: id(domain),
                    peer_address: SocketAddr::from((
                        [127, 0, 0, 1],
                        (9000 + index * 100 + n) as u16,
                    )),
                });
            }
        }
        let seeds: Vec<_> = members.iter().map(record).collect();
        for me in members {
            cluster.start(me, seeds.clone());
        }
        cluster
    }

    /// Starts a daemon, or a new run of a daemon.
    pub fn start(&mut self, me: Member, seeds: Vec<VmRecord>) {
        let seed = me.incarnation.get() * 1000 + self.nodes.len() as u64;
        let node = Node {
            membership: Membership::new(me.clone(), MembershipSettings::default(), seeds),
            ownership: Ownership::new(OwnershipSettings::default(), me.clone()),
            config: ConfigStore::new(ConfigSettings::default()),
            planner: Planner::new(PlanSettings::default()),
            summary: CapacitySummary::default(),
            up: true,
            applied: Vec::new(),
            owned: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_token: 0,
            me: me.clone(),
        };
        self.nodes.insert(me.vm, node);
    }

    /// Restarts a daemon as a new run and drops the messages queued for the previous run.
    pub fn restart(&mut self, vm: &str) {
        let mut me = self.node(vm).me.clone();
        me.incarnation = me.incarnation.next();
        let seeds = self.nodes.values().map(|node| record(&node.me)).collect();
        let undelivered = self.queue.iter().filter(|(_, (to, _))| *to == me.vm);
        let undelivered: Vec<_> = undelivered.map(|(key, _)| *key).collect();
        undelivered
            .iter()
            .for_each(|key| drop(self.queue.remove(key)));
        self.start(me, seeds);
    }

    pub fn node(&self, vm: &str) -> &Node {
        &self.nodes[&id::<VmId>(vm)]
    }

    pub fn node_mut(&mut self, vm: &str) -> &mut Node {
        self.nodes.get_mut(&id::<VmId>(vm)).unwrap()
    }

    /// Stops a daemon without any announcement.
    pub fn crash(&mut self, vm: &str) {
        self.node_mut(vm).up = false;
    }

    /// Pauses a daemon's process for `span_ms`; the daemon detects the pause when it resumes.
    pub fn pause(&mut self, vm: &str, span_ms: u64) {
        self.node_mut(vm).up = false;
        self.run(span_ms);
        self.resume(vm);
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, vm: &str) {
        self.node_mut(vm).up = true;
        self.with_context(&id(vm), |node, ctx| {
            node.membership.on_paused(ctx);
            node.ownership.on_paused(ctx);
        });
    }

    /// Advances the virtual time and delivers the inputs that become due.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + Millis::new(span_ms);
        while self.now < end {
            let tick = self.now + Millis::new(TICK_MS);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > tick {
                    break;
                }
                let ((time, _), (vm, input)) = entry.remove_entry();
                self.now = time;
                self.handle(&vm, Some(input));
            }
            self.now = tick;
            let all: Vec<_> = self.nodes.keys().cloned().collect();
            all.iter().for_each(|vm| self.handle(vm, None));
        }
    }

    /// Sends an operator's command without waiting; the reply is added to `replies`.
    pub fn send_command(&mut self, vm: &str, command: OperatorCommand, unix_ms: u64) -> CallToken {
        self.calls_count += 1;
        let call = CallToken::new(Component::External, self.calls_count);
        let operator: OperatorName = id("ayse");
        self.with_context(&id(vm), |node, ctx| {
            let config = node.config.current().clone();
            let directory = ClusterDirectory(&node.membership, &node.ownership);
            let view = View {
                me: &node.me,
                config: &config,
                directory: &directory,
            };
            let facts = PlanInputs::default();
            let planner = &mut node.planner;
            planner.on_command(ctx, &view, &facts, call, operator, command, unix_ms);
        });
        call
    }

    /// Creates a plan and returns its id.
    pub fn plan(&mut self, vm: &str, intent: Intent, force: bool) -> PlanId {
        let command = OperatorCommand::Plan { intent, force };
        match self.execute(vm, command, 1_000) {
            OperatorReply::Plan(plan) => plan.id,
            other => panic!("{other:?}"),
        }
    }

    /// Puts the first configuration in force.
    pub fn configure(&mut self, config: Configuration) {
        let first = self.plan("a-00", Intent::Replace(Box::new(config)), false);
        self.execute("a-00", OperatorCommand::Confirm(first), 2_000);
    }

    /// Sends an operator's command and runs the cluster until the reply arrives.
    pub fn execute(&mut self, vm: &str, command: OperatorCommand, unix_ms: u64) -> OperatorReply {
        let call = self.send_command(vm, command, unix_ms);
        for _ in 0..1_000 {
            if let Some((_, reply)) = self.replies.iter().find(|(c, _)| *c == call) {
                return reply.clone();
            }
            self.run(TICK_MS);
        }
        panic!("no reply within 20 s");
    }

    fn handle(&mut self, vm: &VmId, input: Option<Input>) {
        if !self.nodes[vm].up {
            return;
        }
        self.with_context(vm, |node, ctx| match input {
            None => node.tick(ctx),
            Some(Input::Peer(from, message)) => node.on_peer(ctx, &from, message),
            Some(Input::Platform(token, answer)) => node.on_platform(ctx, token, answer),
            Some(Input::Vms(listed)) => node.membership.on_vms(ctx, Ok(listed)),
        });
    }

    fn with_context(&mut self, vm: &VmId, run: impl FnOnce(&mut Node, &mut Context<'_>)) {
        let mut node = self.nodes.remove(vm).unwrap();
        let mut actions = Vec::new();
        let mut rng = node.rng.clone();
        let mut last_token = node.last_token;
        let mut ctx = Context {
            now: self.now,
            rng: &mut rng,
            actions: &mut actions,
            last_token: &mut last_token,
        };
        run(&mut node, &mut ctx);
        node.propagate_changes(&mut ctx);
        (node.rng, node.last_token) = (rng, last_token);
        for (upstream, number) in &node.owned {
            let owner = self.owners_by_number.entry((upstream.clone(), *number));
            let owner = owner.or_insert_with(|| vm.clone());
            assert_eq!(
                owner, vm,
                "two owners of {upstream} with fencing number {number}"
            );
        }
        let me = node.me.clone();
        self.nodes.insert(vm.clone(), node);
        actions
            .into_iter()
            .for_each(|action| self.perform(&me, action));
    }

    fn perform(&mut self, me: &Member, action: Action) {
        match action {
            Action::SendPeer { to, message, .. } => {
                self.sent_count += 1;
                let Some(peer) = self.nodes.get(&to) else {
                    return;
                };
                let pair = (me.domain.clone(), peer.me.domain.clone());
                let back = (pair.1.clone(), pair.0.clone());
                if !self.partitions.contains(&pair) && !self.partitions.contains(&back) {
                    self.deliver(me, &to, &message);
                }
            }
            Action::Table { token, op } => {
                let answer = self.call_store(&me.domain, |cluster| cluster.access_table(op));
                self.schedule(me.vm.clone(), Input::Platform(token, answer));
            }
            Action::Object { token, op } => {
                let answer = self.call_store(&me.domain, |cluster| cluster.access_objects(op));
                self.schedule(me.vm.clone(), Input::Platform(token, answer));
            }
            Action::ListVms if !self.store_down => {
                let listed = self.nodes.values().map(|node| &node.me);
                let listed = listed.filter(|member| !self.unlisted_vms.contains(&member.vm));
                let listed = listed.map(record).collect();
                self.schedule(me.vm.clone(), Input::Vms(listed));
            }
            Action::OperatorReply { call, reply } => self.replies.push((call, *reply)),
            _ => {}
        }
    }

    /// Sends a message over the virtual network, subject to loss, duplication and delay.
    fn deliver(&mut self, from: &Member, to: &VmId, message: &PeerMessage) {
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let duplicated = self.rng.random_range(0..100) < self.duplicate_percent;
        for _ in 0..u32::from(!lost) + u32::from(duplicated) {
            let delay_ms = self.rng.random_range(LATENCY_MS..=self.delay_ms);
            let input = Input::Peer(from.clone(), message.clone());
            self.schedule_after(delay_ms, to.clone(), input);
        }
    }

    fn schedule(&mut self, to: VmId, input: Input) {
        self.schedule_after(LATENCY_MS, to, input);
    }

    fn schedule_after(&mut self, delay_ms: u64, to: VmId, input: Input) {
        self.last_sequence_index += 1;
        let at = self.now + Millis::new(delay_ms);
        self.queue
            .insert((at, self.last_sequence_index), (to, input));
    }

    fn call_store(
        &mut self,
        from: &FailureDomain,
        run: impl FnOnce(&mut Self) -> TableAnswer,
    ) -> Result<TableAnswer, PlatformError> {
        self.store_calls_count += 1;
        if self.store_down || self.store_partitions.contains(from) {
            return Err(PlatformError::Unavailable);
        }
        let answer = run(self);
        if answer == TableAnswer::Done && self.lost_answers_count > 0 {
            self.lost_answers_count -= 1;
            return Err(PlatformError::AnswerLost);
        }
        Ok(answer)
    }

    fn access_objects(&mut self, op: ObjectOp) -> TableAnswer {
        match op {
            ObjectOp::Get { key } => TableAnswer::Value(self.objects.get(&key).cloned()),
            ObjectOp::Put { key, value } => {
                self.objects.insert(key, value);
                TableAnswer::Done
            }
        }
    }

    fn access_table(&mut self, op: TableOp) -> TableAnswer {
        match op {
            TableOp::Get { key } => TableAnswer::Value(self.table.get(&key).cloned()),
            TableOp::Scan {
                prefix,
                after,
                limit_len,
            } => {
                let rows = self.table.iter();
                let rows = rows.filter(|(key, _)| key.starts_with(&prefix));
                let rows = rows.filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a));
                let rows = rows.take(limit_len as usize);
                TableAnswer::Rows(rows.map(|(k, v)| (k.clone(), v.clone())).collect())
            }
            TableOp::Transact { conditions, writes } => {
                let holds = |condition: &Condition| match condition {
                    Condition::Absent { key } => !self.table.contains_key(key),
                    Condition::Equals { key, value } => self.table.get(key) == Some(value),
                };
                if !conditions.iter().all(holds) {
                    return TableAnswer::Conflict;
                }
                for write in writes {
                    match write {
                        Write::Put { key, value } => drop(self.table.insert(key, value)),
                        Write::Delete { key } => drop(self.table.remove(&key)),
                    }
                }
                TableAnswer::Done
            }
        }
    }
}

fn record(member: &Member) -> VmRecord {
    VmRecord {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        peer_address: member.peer_address,
        state: VmState::Live,
    }
}

impl Node {
    pub fn local_state(&self) -> LocalState {
        LocalState {
            generation: self.config.current().generation,
            summary: self.summary.clone(),
            config: self.config.current().clone(),
            ..LocalState::default()
        }
    }

    /// Returns the members of a failure domain that this daemon considers alive.
    pub fn live_members_in(&self, domain: &str) -> Vec<String> {
        let live = self.membership.live_in(&id(domain));
        live.iter().map(|member| member.vm.to_string()).collect()
    }

    fn tick(&mut self, ctx: &mut Context<'_>) {
        let local = self.local_state();
        self.membership.on_tick(ctx, &local);
        let directory = ClusterDirectory(&self.membership, &self.ownership);
        self.config.on_tick(ctx, &self.me, &directory);
        let config = self.config.current().clone();
        let view = View {
            me: &self.me,
            config: &config,
            directory: &directory,
        };
        let members = self.membership.members();
        self.planner.on_tick(ctx, &view, &members);
    }

    fn on_peer(&mut self, ctx: &mut Context<'_>, from: &Member, message: PeerMessage) {
        let local = self.local_state();
        self.membership
            .on_traffic(ctx.now, &from.vm, from.incarnation);
        let config = self.config.current().clone();
        let peer_generation = match &message {
            PeerMessage::Heartbeat(beat) => Some(beat.generation),
            _ => None,
        };
        if let PeerMessage::Heartbeat(beat) = message.clone() {
            self.membership.on_heartbeat(ctx, *beat, &local);
        }
        let directory = ClusterDirectory(&self.membership, &self.ownership);
        let view = View {
            me: &self.me,
            config: &config,
            directory: &directory,
        };
        if let Some(generation) = peer_generation {
            self.config.on_peer_generation(ctx, &view, from, generation);
        }
        if let PeerMessage::Config(message) = message {
            self.config.on_message(ctx, &view, from, message);
        }
    }

    fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let config = self.config.current().clone();
        let directory = ClusterDirectory(&self.membership, &self.ownership);
        let view = View {
            me: &self.me,
            config: &config,
            directory: &directory,
        };
        match token.component() {
            Component::Config => self
                .config
                .on_platform(ctx, &self.me, &directory, token, answer),
            Component::Plan => self.planner.on_platform(ctx, &view, token, answer),
            Component::Ownership => self.ownership.on_platform(ctx, token, answer),
            _ => {}
        }
    }

    /// Propagates the changes caused by an input, and checks that the generation never decreases.
    fn propagate_changes(&mut self, ctx: &mut Context<'_>) {
        for record in self.planner.take_committed() {
            let config = self.config.current().clone();
            let directory = ClusterDirectory(&self.membership, &self.ownership);
            let view = View {
                me: &self.me,
                config: &config,
                directory: &directory,
            };
            self.config.on_committed(ctx, &view, record);
        }
        let before = self.applied.last().copied().unwrap_or_default();
        self.applied.extend(self.config.take_applied());
        assert!(self.applied.last().copied().unwrap_or_default() >= before);
        let config = self.config.current().clone();
        self.ownership.refresh(ctx, &self.membership, &config);
        for change in self.ownership.take_changes() {
            match change {
                OwnershipChange::Gained {
                    upstream, fencing, ..
                } => drop(self.owned.insert(upstream, fencing)),
                OwnershipChange::Lost { upstream } => drop(self.owned.remove(&upstream)),
            }
        }
    }
}
