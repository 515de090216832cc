//! Discrete-event simulation of daemons, each with an owner and a router, of engines, and of the
//! messages between them.

use super::{
    engine::{EngineParams, Output, SimulatedEngine, Stream},
    Arrival,
};
use crate::grant_bench::{member, model, upstream, FakeDirectory, KV_BYTES_PER_TOKEN};
use persimmon_core::{
    config::{
        Configuration, DomainConfig, EngineConfig, ModelConfig, PlacementRule, ServiceState,
        UpstreamConfig, UpstreamKind, WorkspaceConfig,
    },
    grant::{GrantSettings, Owner, RawGrantSettings},
    ids::{AttemptId, AttemptNumber, BlockHash, FencingNumber, RequestId, UpstreamId, VmId},
    message::{
        GrantAnswer, GrantDenial, GrantMessage, GrantOffer, GrantReport, GrantRequest, Member,
        PeerMessage,
    },
    ownership::OwnershipChange,
    platform::CallToken,
    request::{CallTarget, LengthClass, ModelCall, RequestSpec, UpstreamError},
    routing::{router, RouteQuery, Router, RoutingPolicy as Policy, RoutingSettings},
    units::{KvBytes, Millis, Time, Tokens, TokensPerSecond},
    upstream::{CacheBatch, LoadReport, OrderKind},
    Action, Context, View,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// One-way latency between two daemons, and between a daemon and an engine.
const ONE_WAY_LATENCY_US: u64 = 500;
/// Age of the data in a load report or cache batch when the owner receives it.
const REPORT_LAG_US: u64 = 300_000;
/// Time between two broadcasts of the owners' summaries.
const SUMMARY_INTERVAL_MS: Millis = Millis::new(200);
/// Delay of all arrivals, in which the owners collect the state of their engines.
pub(crate) const WARM_UP_MS: Millis = Millis::new(2_000);

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) engines_count: usize,
    pub(crate) daemons_count: usize,
    pub(crate) params: EngineParams,
    pub(crate) grant: GrantSettings,
    pub(crate) routing: RoutingSettings,
    pub(crate) workspaces_count: usize,
    /// Whether prompt prefixes are hidden from owners and routers, which turns prefix affinity off.
    pub(crate) hides_prefixes: bool,
    pub(crate) seed: u64,
}

impl Setup {
    /// Warm engines and default settings, with slow start starting at the engine's limit.
    pub(crate) fn warm(engines_count: usize, daemons_count: usize, seed: u64) -> Self {
        let params = EngineParams::default();
        let raw = RawGrantSettings {
            ramp_start_requests: params.max_in_flight_requests,
            ..RawGrantSettings::default()
        };
        Self {
            engines_count,
            daemons_count,
            params,
            grant: GrantSettings::try_from(raw).unwrap(),
            routing: RoutingSettings::default(),
            workspaces_count: 10,
            hides_prefixes: false,
            seed,
        }
    }

    /// Sets the policy of owners and routers.
    pub(crate) fn with_policy(mut self, policy: Policy) -> Self {
        self.grant.policy = policy;
        self.routing.policy = policy;
        self
    }

    /// Arrival rate that keeps the prefill of all engines busy, per second.
    pub(crate) fn saturating_arrivals_per_s(&self, mean_prompt_tokens: f64) -> f64 {
        self.engines_count as f64 * self.params.prefill_tokens_per_s() / mean_prompt_tokens
    }

    fn visible_blocks(&self, arrival: &Arrival) -> Vec<BlockHash> {
        if self.hides_prefixes {
            return Vec::new();
        }
        arrival.blocks.clone()
    }

    fn configuration(&self) -> Configuration {
        let mut config = Configuration::default();
        let domain = "a".parse().unwrap();
        config.domains.insert(domain, DomainConfig::default());
        let model_config = ModelConfig {
            kv_bytes_per_token: KvBytes::new(KV_BYTES_PER_TOKEN),
            weights_bytes: 1,
            context_tokens: Tokens::new(2_000_000),
            adapters: BTreeSet::new(),
        };
        config.models.insert(model(), model_config);
        for index in 0..self.workspaces_count {
            let weight = WorkspaceConfig { weight_count: 1 };
            let name = format!("w{index}").parse().unwrap();
            config.workspaces.insert(name, weight);
        }
        let engines = 0..self.engines_count;
        config.upstreams = engines
            .map(|index| (engine_id(index), self.engine()))
            .collect();
        config.placement.push(PlacementRule {
            model: model(),
            workspaces: BTreeSet::new(),
            domains: BTreeSet::new(),
        });
        config
    }

    fn engine(&self) -> UpstreamConfig {
        let rate = |value| TokensPerSecond::try_from(value).unwrap();
        UpstreamConfig {
            address: "127.0.0.1:2".parse().unwrap(),
            domain: "a".parse().unwrap(),
            kind: UpstreamKind::Engine(EngineConfig {
                kv_bytes: Tokens::new(self.params.kv_tokens)
                    .kv_bytes(KvBytes::new(KV_BYTES_PER_TOKEN)),
                prefill_tokens_per_s: rate(self.params.prefill_tokens_per_s()),
                decode_tokens_per_s: rate(1e6 / self.params.step_us as f64),
                max_in_flight_requests: self.params.max_in_flight_requests,
                can_group: true,
            }),
            state: ServiceState::Serving,
            checks_fencing: true,
        }
    }
}

fn engine_id(index: usize) -> UpstreamId {
    upstream(&format!("e{index:04}"))
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Pending,
    /// The whole answer came before the deadline.
    Complete,
    Refused,
    Failed,
}

/// State and outcome of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) arrival: Arrival,
    pub(crate) outcome: Outcome,
    pub(crate) ended_at: Time,
    pub(crate) engine: Option<usize>,
    first_token_at: Option<Time>,
    started_at: Time,
    entry: usize,
    attempt: u32,
    tried: Vec<VmId>,
    better: Option<VmId>,
    avoid: Vec<UpstreamId>,
    owner: usize,
    running: bool,
}

impl RequestRecord {
    fn new(arrival: Arrival, entry: usize) -> Self {
        Self {
            arrival,
            outcome: Outcome::Pending,
            ended_at: Time::START,
            engine: None,
            first_token_at: None,
            started_at: Time::START,
            entry,
            attempt: 0,
            tried: Vec::new(),
            better: None,
            avoid: Vec::new(),
            owner: 0,
            running: false,
        }
    }

    pub(crate) fn class(&self) -> LengthClass {
        LengthClass::of(Tokens::new(self.arrival.prompt_tokens))
    }

    pub(crate) fn first_token_ms(&self) -> Option<f64> {
        let at = self.first_token_at?;
        Some((at.as_us() - self.arrival.at.as_us()) as f64 / 1_000.0)
    }

    fn deadline(&self) -> Time {
        self.arrival.at + self.arrival.timeout_ms
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Peer {
        to: usize,
        from: usize,
        message: GrantMessage,
    },
    Tick(usize),
    Step(usize),
    Start {
        engine: usize,
        index: usize,
        offer: GrantOffer,
    },
    Ended {
        index: usize,
        attempt: AttemptId,
        error: Option<UpstreamError>,
    },
    Load {
        engine: usize,
        report: Box<LoadReport>,
    },
    Cancel {
        engine: usize,
        request: RequestId,
        token: CallToken,
    },
    OrderAnswer {
        engine: usize,
        token: CallToken,
    },
    Cache {
        engine: usize,
        batch: CacheBatch,
    },
    Deadline(usize),
    BroadcastSummaries,
    Restart(usize),
}

struct Daemon {
    me: Member,
    owner: Owner,
    router: Box<dyn Router>,
    rng: ChaCha8Rng,
    last_token: u64,
    tick_at: Option<Time>,
}

/// The state of the simulation.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) records: Vec<RequestRecord>,
    pub(crate) engines: Vec<SimulatedEngine>,
    pub(crate) max_over_bearable: u32,
    pub(crate) hit_tokens: u64,
    setup: Setup,
    config: Arc<Configuration>,
    directory: FakeDirectory,
    daemons: Vec<Daemon>,
    events: BTreeMap<(Time, u64), Event>,
    events_count: u64,
}

impl Simulation {
    pub(crate) fn new(setup: Setup, arrivals: Vec<Arrival>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut directory = FakeDirectory::default();
        let daemons = 0..setup.daemons_count;
        let daemons: Vec<Daemon> = daemons.map(|index| daemon(&setup, index)).collect();
        daemons.iter().for_each(|daemon| directory.add(&daemon.me));
        let entry = |_| rng.random_range(0..setup.daemons_count);
        let entries: Vec<usize> = (0..arrivals.len()).map(entry).collect();
        let arrivals_by_entry = arrivals.into_iter().zip(entries);
        let mut simulation = Self {
            now: Time::START,
            records: arrivals_by_entry
                .map(|(arrival, entry)| RequestRecord::new(arrival, entry))
                .collect(),
            engines: (0..setup.engines_count)
                .map(|_| SimulatedEngine::new(setup.params))
                .collect(),
            max_over_bearable: 0,
            hit_tokens: 0,
            config: Arc::new(setup.configuration()),
            setup,
            directory,
            daemons,
            events: BTreeMap::new(),
            events_count: 0,
        };
        simulation.assign_owners();
        for index in 0..simulation.records.len() {
            let at = simulation.records[index].arrival.at + WARM_UP_MS;
            simulation.records[index].arrival.at = at;
            simulation.schedule(at, Event::Arrive(index));
        }
        simulation.schedule(Time::START, Event::BroadcastSummaries);
        simulation
    }

    fn assign_owners(&mut self) {
        for engine in 0..self.engines.len() {
            let change = OwnershipChange::Gained {
                upstream: engine_id(engine),
                fencing: FencingNumber::new(1),
                learning_until: Time::START,
            };
            let owner = self.owner_of(engine);
            let vm = self.daemons[owner].me.vm.clone();
            self.directory.owners.insert(engine_id(engine), vm);
            self.with(owner, |daemon, ctx, view| {
                daemon.owner.on_ownership(ctx, view, &change)
            });
        }
    }

    fn owner_of(&self, engine: usize) -> usize {
        engine % self.daemons.len()
    }

    pub(crate) fn restart_at(&mut self, at: Time, engine: usize) {
        self.schedule(at, Event::Restart(engine));
    }

    /// Runs until five seconds after the last deadline, or until no event is left.
    pub(crate) fn run(&mut self) -> &[RequestRecord] {
        let last = self
            .records
            .iter()
            .map(RequestRecord::deadline)
            .max()
            .unwrap_or(self.now);
        let end = last + Millis::from_secs(5);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        &self.records
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events_count += 1;
        self.events.insert((at, self.events_count), event);
    }

    fn schedule_after(&mut self, us: u64, event: Event) {
        self.schedule(Time::from_us(self.now.as_us() + us), event);
    }

    fn with(&mut self, index: usize, step: impl FnOnce(&mut Daemon, &mut Context<'_>, &View<'_>)) {
        let mut actions = Vec::new();
        let daemon = &mut self.daemons[index];
        let (mut rng, mut last_token) = (daemon.rng.clone(), daemon.last_token);
        let me = daemon.me.clone();
        let mut ctx = Context {
            now: self.now,
            rng: &mut rng,
            actions: &mut actions,
            last_token: &mut last_token,
        };
        let view = View {
            me: &me,
            config: &self.config,
            directory: &self.directory,
        };
        step(daemon, &mut ctx, &view);
        daemon.rng = rng;
        daemon.last_token = last_token;
        let wakeup = daemon.owner.next_wakeup().map(|at| at.max(self.now));
        if let Some(at) = wakeup.filter(|at| daemon.tick_at.is_none_or(|tick| *at < tick)) {
            daemon.tick_at = Some(at);
            self.schedule(at, Event::Tick(index));
        }
        actions
            .into_iter()
            .for_each(|action| self.handle_action(index, action));
    }

    fn handle_action(&mut self, from: usize, action: Action) {
        match action {
            Action::SendPeer {
                to,
                message: PeerMessage::Grant(message),
                ..
            } => {
                let to = self.daemons.iter().position(|d| d.me.vm == to).unwrap();
                let us = if to == from { 1 } else { ONE_WAY_LATENCY_US };
                self.schedule_after(us, Event::Peer { to, from, message });
            }
            Action::PollLoad { upstream, .. } => {
                let engine = index_of(&upstream);
                let report = Box::new(self.report(engine));
                self.schedule_after(REPORT_LAG_US, Event::Load { engine, report });
            }
            Action::PollCache {
                upstream,
                from_seq_index,
                ..
            } => {
                let engine = index_of(&upstream);
                let batch = self.engines[engine].cache_batch(from_seq_index);
                self.schedule_after(REPORT_LAG_US, Event::Cache { engine, batch });
            }
            Action::Order(order) => {
                if let OrderKind::Cancel { request } = order.kind {
                    let engine = index_of(&order.upstream);
                    let token = order.token;
                    self.schedule_after(
                        ONE_WAY_LATENCY_US,
                        Event::Cancel {
                            engine,
                            request,
                            token,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    fn report(&self, engine: usize) -> LoadReport {
        let engine = &self.engines[engine];
        let kv = Tokens::new(engine.kv_held()).kv_bytes(KvBytes::new(KV_BYTES_PER_TOKEN));
        LoadReport {
            incarnation: engine.incarnation,
            in_flight_requests: engine.in_flight(),
            kv_held_bytes: kv,
            requests: engine.requests(),
            models: BTreeMap::from([(model(), BTreeSet::new())]),
            fencing: Some(FencingNumber::new(1)),
            ..LoadReport::default()
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let deadline = self.records[index].deadline();
                self.schedule(deadline, Event::Deadline(index));
                self.route(index);
            }
            Event::Peer { to, from, message } => self.on_peer(to, from, message),
            Event::Tick(index) => {
                if self.daemons[index].tick_at == Some(self.now) {
                    self.daemons[index].tick_at = None;
                    self.with(index, |daemon, ctx, view| daemon.owner.on_tick(ctx, view));
                }
            }
            Event::Step(engine) => self.on_step(engine),
            Event::Start {
                engine,
                index,
                offer,
            } => self.on_start(engine, index, &offer),
            Event::Ended {
                index,
                attempt,
                error,
            } => self.on_ended(index, attempt, error),
            Event::Load { engine, report } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_load(ctx, view, &id, Ok(&report))
                });
            }
            Event::Cancel {
                engine,
                request,
                token,
            } => {
                self.engines[engine].cancel(request);
                self.schedule_after(ONE_WAY_LATENCY_US, Event::OrderAnswer { engine, token });
            }
            Event::OrderAnswer { engine, token } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_order(ctx, view, &id, token, Ok(()))
                });
            }
            Event::Cache { engine, batch } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_cache(ctx, view, &id, batch)
                });
            }
            Event::Deadline(index) => self.on_deadline(index),
            Event::BroadcastSummaries => self.broadcast_summaries(),
            Event::Restart(engine) => {
                let lost = self.engines[engine].restart();
                for attempt in lost {
                    let error = Some(UpstreamError::Broken);
                    let index = index_of_request(attempt.request);
                    self.schedule_after(
                        ONE_WAY_LATENCY_US,
                        Event::Ended {
                            index,
                            attempt,
                            error,
                        },
                    );
                }
            }
        }
    }

    fn broadcast_summaries(&mut self) {
        for index in 0..self.daemons.len() {
            let me = self.daemons[index].me.clone();
            let now = self.now;
            let mut summary = None;
            self.with(index, |daemon, _, view| {
                summary = Some(daemon.owner.summary(now, view))
            });
            self.directory.summaries.insert(me.vm, summary.unwrap());
        }
        self.schedule(self.now + SUMMARY_INTERVAL_MS, Event::BroadcastSummaries);
    }

    fn attempt_of(&self, index: usize) -> AttemptId {
        AttemptId {
            request: RequestId::new(index as u128),
            number: AttemptNumber::new(self.records[index].attempt),
        }
    }

    fn spec_of(&self, index: usize) -> RequestSpec {
        let arrival = &self.records[index].arrival;
        RequestSpec {
            id: RequestId::new(index as u128),
            workspace: format!("w{}", arrival.workspace).parse().unwrap(),
            target: CallTarget::Model(ModelCall {
                model: "cell-advisor".parse().unwrap(),
                adapter: None,
                prompt_tokens: Tokens::new(arrival.prompt_tokens),
                max_output_tokens: Tokens::new(arrival.max_output_tokens),
                prefix_blocks: self.setup.visible_blocks(arrival),
                stream: true,
            }),
            timeout_ms: arrival.timeout_ms,
        }
    }

    fn route(&mut self, index: usize) {
        let spec = self.spec_of(index);
        let record = &self.records[index];
        let (entry, tried, better) = (record.entry, record.tried.clone(), record.better.clone());
        let remaining_ms = record.deadline().since(self.now);
        let query_spec = spec.clone();
        let mut route = None;
        self.with(entry, |daemon, ctx, view| {
            let query = RouteQuery {
                spec: &query_spec,
                tried: &tried,
                suggested_owner: better.as_ref(),
                remaining_ms,
            };
            route = daemon.router.route(ctx, view, &query).ok();
        });
        let Some(route) = route else {
            return self.end(index, Outcome::Refused);
        };
        let request = GrantRequest {
            attempt: self.attempt_of(index),
            model: route.model,
            remaining_ms,
            spec,
            offset_tokens: Tokens::ZERO,
            avoid: self.records[index].avoid.clone(),
            resume_at: None,
            generation: Default::default(),
        };
        let owner = self
            .daemons
            .iter()
            .position(|d| d.me.vm == route.owner)
            .unwrap();
        self.records[index].owner = owner;
        self.records[index].tried.push(route.owner);
        self.send(entry, owner, GrantMessage::Request(Box::new(request)));
    }

    fn send(&mut self, from: usize, to: usize, message: GrantMessage) {
        let us = if to == from { 1 } else { ONE_WAY_LATENCY_US };
        self.schedule_after(us, Event::Peer { to, from, message });
    }

    fn on_peer(&mut self, to: usize, from: usize, message: GrantMessage) {
        let GrantMessage::Answer { attempt, answer } = message else {
            let sender = self.daemons[from].me.clone();
            let deliver = |d: &mut Daemon, ctx: &mut Context<'_>, view: &View<'_>| {
                d.owner.on_message(ctx, view, &sender, message);
            };
            return self.with(to, deliver);
        };
        let index = index_of_request(attempt.request);
        let vm = self.daemons[from].me.vm.clone();
        self.with(to, |daemon, ctx, _| {
            daemon.router.on_answer(ctx, &vm, &answer)
        });
        let current =
            self.attempt_of(index) == attempt && self.records[index].outcome == Outcome::Pending;
        match answer {
            GrantAnswer::Granted(offer) if current => {
                let engine = index_of(&offer.upstream);
                self.schedule_after(
                    ONE_WAY_LATENCY_US,
                    Event::Start {
                        engine,
                        index,
                        offer,
                    },
                );
            }
            GrantAnswer::Granted(offer) => {
                self.release(index, attempt, index_of(&offer.upstream), false, false);
            }
            GrantAnswer::Denied(denial) if current => {
                let better = match denial {
                    GrantDenial::Busy { better, .. } | GrantDenial::NotOwner { better } => better,
                    _ => None,
                };
                self.records[index].better = better;
                self.records[index].attempt += 1;
                self.route(index);
            }
            GrantAnswer::Denied(_) | GrantAnswer::Queued { .. } => {}
        }
    }

    fn on_start(&mut self, engine: usize, index: usize, offer: &GrantOffer) {
        let attempt = self.attempt_of(index);
        let record = &mut self.records[index];
        if record.outcome != Outcome::Pending {
            return self.release(index, attempt, engine, false, false);
        }
        record.engine = Some(engine);
        record.started_at = self.now;
        record.running = true;
        let arrival = &record.arrival;
        let stream = Stream {
            attempt,
            priority: offer.priority,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            kv_tokens: arrival.prompt_tokens + arrival.max_output_tokens,
            blocks: arrival.blocks.clone(),
        };
        let chosen_engine = &mut self.engines[engine];
        let idle = chosen_engine.step_end().is_none();
        let over =
            (chosen_engine.in_flight() + 1).saturating_sub(chosen_engine.bearable_requests());
        self.max_over_bearable = self.max_over_bearable.max(over);
        let started = chosen_engine.start(self.now, stream);
        self.hit_tokens += started.as_ref().copied().unwrap_or_default();
        match started {
            Ok(_) if idle => {
                let at = self.engines[engine].step_end().unwrap();
                self.schedule(at, Event::Step(engine));
            }
            Ok(_) => {}
            Err(error) => {
                let error = Some(error);
                self.schedule_after(
                    ONE_WAY_LATENCY_US,
                    Event::Ended {
                        index,
                        attempt,
                        error,
                    },
                );
            }
        }
    }

    fn on_step(&mut self, engine: usize) {
        if self.engines[engine].step_end() != Some(self.now) {
            return;
        }
        for output in self.engines[engine].end_step(self.now) {
            match output {
                Output::FirstToken(attempt) => {
                    let index = index_of_request(attempt.request);
                    let at = Time::from_us(self.now.as_us() + ONE_WAY_LATENCY_US);
                    self.records[index].first_token_at.get_or_insert(at);
                }
                Output::Done(attempt) => {
                    let index = index_of_request(attempt.request);
                    self.schedule_after(
                        ONE_WAY_LATENCY_US,
                        Event::Ended {
                            index,
                            attempt,
                            error: None,
                        },
                    );
                }
            }
        }
        if let Some(at) = self.engines[engine].step_end() {
            self.schedule(at, Event::Step(engine));
        }
    }

    fn on_ended(&mut self, index: usize, attempt: AttemptId, error: Option<UpstreamError>) {
        let record = &mut self.records[index];
        if record.outcome != Outcome::Pending || !record.running {
            return;
        }
        record.running = false;
        let engine = record.engine.unwrap();
        self.release(index, attempt, engine, error.is_none(), false);
        if error.is_none() {
            return self.end(index, Outcome::Complete);
        }
        let record = &mut self.records[index];
        record.avoid.push(engine_id(engine));
        record.tried.clear();
        record.attempt += 1;
        self.route(index);
    }

    fn on_deadline(&mut self, index: usize) {
        if self.records[index].outcome != Outcome::Pending {
            return;
        }
        let attempt = self.attempt_of(index);
        let (entry, owner) = (self.records[index].entry, self.records[index].owner);
        if self.records[index].running {
            let engine = self.records[index].engine.unwrap();
            self.release(index, attempt, engine, false, true);
            self.end(index, Outcome::Failed);
        } else {
            self.send(entry, owner, GrantMessage::Withdraw { attempt });
            self.end(index, Outcome::Refused);
        }
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        self.records[index].outcome = outcome;
        self.records[index].ended_at = self.now;
    }

    fn release(
        &mut self,
        index: usize,
        attempt: AttemptId,
        engine: usize,
        complete: bool,
        needs_cancel: bool,
    ) {
        let record = &self.records[index];
        let (entry, owner) = (record.entry, self.owner_of(engine));
        let first_token = record.first_token_at.map(|at| at.since(record.started_at));
        let end = GrantReport {
            complete,
            upstream_failed: !complete && !needs_cancel && record.outcome == Outcome::Pending,
            needs_cancel,
            first_token_ms: first_token,
            total_ms: self.now.since(record.started_at),
            output_tokens: Tokens::new(if complete {
                record.arrival.output_tokens
            } else {
                0
            }),
        };
        let vm = self.daemons[owner].me.vm.clone();
        self.daemons[entry]
            .router
            .on_end(&vm, &engine_id(engine), &end);
        let upstream = engine_id(engine);
        self.send(
            entry,
            owner,
            GrantMessage::Release {
                attempt,
                upstream,
                end,
            },
        );
    }
}

fn index_of(upstream: &UpstreamId) -> usize {
    upstream.as_str()[1..].parse().unwrap()
}

fn index_of_request(request: RequestId) -> usize {
    usize::from_str_radix(&request.to_string(), 16).unwrap()
}

fn daemon(setup: &Setup, index: usize) -> Daemon {
    Daemon {
        me: member(&format!("vm-{index:03}"), "a"),
        owner: Owner::new(setup.grant.clone()),
        router: router(&setup.routing),
        rng: ChaCha8Rng::seed_from_u64(setup.seed + 1 + index as u64),
        last_token: 0,
        tick_at: None,
    }
}
