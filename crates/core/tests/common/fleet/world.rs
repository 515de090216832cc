//! The world: daemons with an owner and a router each, engines, and messages between them.

use super::{
    engine::{EngineMake, FakeEngine, Output, Stream},
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

/// One way between daemons, and between a daemon and an engine.
const HOP_US: u64 = 500;
/// Age of the figures of a load report when it comes.
const REPORT_LAG_US: u64 = 300_000;
/// Time between two summaries of an owner.
const GOSSIP_MS: Millis = Millis::new(200);
/// Before this nothing arrives: owners learn their engines.
pub(crate) const WARM_UP_MS: Millis = Millis::new(2_000);

/// What a world is made of.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) engines_count: usize,
    pub(crate) daemons_count: usize,
    pub(crate) make: EngineMake,
    pub(crate) grant: GrantSettings,
    pub(crate) routing: RoutingSettings,
    pub(crate) workspaces_count: usize,
    /// Whether owners and routers see no prefixes.
    pub(crate) hides_prefixes: bool,
    pub(crate) seed: u64,
}

impl Setup {
    /// Warm engines and the settings' defaults.
    pub(crate) fn warm(engines_count: usize, daemons_count: usize, seed: u64) -> Self {
        let make = EngineMake::default();
        let raw = RawGrantSettings {
            ramp_start_requests: make.max_in_flight_requests,
            ..RawGrantSettings::default()
        };
        Self {
            engines_count,
            daemons_count,
            make,
            grant: GrantSettings::try_from(raw).unwrap(),
            routing: RoutingSettings::default(),
            workspaces_count: 10,
            hides_prefixes: false,
            seed,
        }
    }

    /// The same under another policy.
    pub(crate) fn under(mut self, policy: Policy) -> Self {
        self.grant.policy = policy;
        self.routing.policy = policy;
        self
    }

    /// Arrivals a second that keep all prefill busy.
    pub(crate) fn prefill_per_s(&self, mean_prompt_tokens: f64) -> f64 {
        self.engines_count as f64 * self.make.prefill_tokens_per_s() / mean_prompt_tokens
    }

    fn shown_blocks(&self, arrival: &Arrival) -> Vec<BlockHash> {
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
                kv_bytes: Tokens::new(self.make.kv_tokens).kv(KvBytes::new(KV_BYTES_PER_TOKEN)),
                prefill_tokens_per_s: rate(self.make.prefill_tokens_per_s()),
                decode_tokens_per_s: rate(1e6 / self.make.step_us as f64),
                max_in_flight_requests: self.make.max_in_flight_requests,
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

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    Open,
    /// The whole answer before the deadline.
    Good,
    Refused,
    Failed,
}

/// One request of the run.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) arrival: Arrival,
    pub(crate) fate: Fate,
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

impl Asked {
    fn new(arrival: Arrival, entry: usize) -> Self {
        Self {
            arrival,
            fate: Fate::Open,
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
enum Input {
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
    Gossip,
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

/// All of it.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) asked: Vec<Asked>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) most_over_bearable: u32,
    pub(crate) hit_tokens: u64,
    setup: Setup,
    config: Arc<Configuration>,
    directory: FakeDirectory,
    daemons: Vec<Daemon>,
    inputs: BTreeMap<(Time, u64), Input>,
    inputs_count: u64,
}

impl World {
    pub(crate) fn new(setup: Setup, arrivals: Vec<Arrival>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut directory = FakeDirectory::default();
        let daemons = 0..setup.daemons_count;
        let daemons: Vec<Daemon> = daemons.map(|index| daemon(&setup, index)).collect();
        daemons.iter().for_each(|daemon| directory.add(&daemon.me));
        let entry = |_| rng.random_range(0..setup.daemons_count);
        let entries: Vec<usize> = (0..arrivals.len()).map(entry).collect();
        let asked = arrivals.into_iter().zip(entries);
        let mut world = Self {
            now: Time::START,
            asked: asked
                .map(|(arrival, entry)| Asked::new(arrival, entry))
                .collect(),
            engines: (0..setup.engines_count)
                .map(|_| FakeEngine::new(setup.make))
                .collect(),
            most_over_bearable: 0,
            hit_tokens: 0,
            config: Arc::new(setup.configuration()),
            setup,
            directory,
            daemons,
            inputs: BTreeMap::new(),
            inputs_count: 0,
        };
        world.own();
        for index in 0..world.asked.len() {
            let at = world.asked[index].arrival.at + WARM_UP_MS;
            world.asked[index].arrival.at = at;
            world.put(at, Input::Arrive(index));
        }
        world.put(Time::START, Input::Gossip);
        world
    }

    fn own(&mut self) {
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
        self.put(at, Input::Restart(engine));
    }

    /// Runs until every request has ended.
    pub(crate) fn run(&mut self) -> &[Asked] {
        let last = self
            .asked
            .iter()
            .map(Asked::deadline)
            .max()
            .unwrap_or(self.now);
        let end = last + Millis::from_secs(5);
        while let Some(((at, _), input)) = self.inputs.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.take_in(input);
        }
        &self.asked
    }

    fn put(&mut self, at: Time, input: Input) {
        self.inputs_count += 1;
        self.inputs.insert((at, self.inputs_count), input);
    }

    fn put_after(&mut self, us: u64, input: Input) {
        self.put(Time::from_us(self.now.as_us() + us), input);
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
            self.put(at, Input::Tick(index));
        }
        actions
            .into_iter()
            .for_each(|action| self.act(index, action));
    }

    fn act(&mut self, from: usize, action: Action) {
        match action {
            Action::SendPeer {
                to,
                message: PeerMessage::Grant(message),
                ..
            } => {
                let to = self.daemons.iter().position(|d| d.me.vm == to).unwrap();
                let us = if to == from { 1 } else { HOP_US };
                self.put_after(us, Input::Peer { to, from, message });
            }
            Action::PollLoad { upstream, .. } => {
                let engine = index_of(&upstream);
                let report = Box::new(self.report(engine));
                self.put_after(REPORT_LAG_US, Input::Load { engine, report });
            }
            Action::PollCache {
                upstream,
                from_seq_index,
                ..
            } => {
                let engine = index_of(&upstream);
                let batch = self.engines[engine].cache_batch(from_seq_index);
                self.put_after(REPORT_LAG_US, Input::Cache { engine, batch });
            }
            Action::Order(order) => {
                if let OrderKind::Cancel { request } = order.kind {
                    let engine = index_of(&order.upstream);
                    let token = order.token;
                    self.put_after(
                        HOP_US,
                        Input::Cancel {
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
        let kv = Tokens::new(engine.kv_held()).kv(KvBytes::new(KV_BYTES_PER_TOKEN));
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

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Arrive(index) => {
                let deadline = self.asked[index].deadline();
                self.put(deadline, Input::Deadline(index));
                self.route(index);
            }
            Input::Peer { to, from, message } => self.on_peer(to, from, message),
            Input::Tick(index) => {
                if self.daemons[index].tick_at == Some(self.now) {
                    self.daemons[index].tick_at = None;
                    self.with(index, |daemon, ctx, view| daemon.owner.on_tick(ctx, view));
                }
            }
            Input::Step(engine) => self.on_step(engine),
            Input::Start {
                engine,
                index,
                offer,
            } => self.on_start(engine, index, &offer),
            Input::Ended {
                index,
                attempt,
                error,
            } => self.on_ended(index, attempt, error),
            Input::Load { engine, report } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_load(ctx, view, &id, Ok(&report))
                });
            }
            Input::Cancel {
                engine,
                request,
                token,
            } => {
                self.engines[engine].cancel(request);
                self.put_after(HOP_US, Input::OrderAnswer { engine, token });
            }
            Input::OrderAnswer { engine, token } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_order(ctx, view, &id, token, Ok(()))
                });
            }
            Input::Cache { engine, batch } => {
                let owner = self.owner_of(engine);
                let id = engine_id(engine);
                self.with(owner, |d, ctx, view| {
                    d.owner.on_cache(ctx, view, &id, batch)
                });
            }
            Input::Deadline(index) => self.on_deadline(index),
            Input::Gossip => self.gossip(),
            Input::Restart(engine) => {
                let lost = self.engines[engine].restart();
                for attempt in lost {
                    let error = Some(UpstreamError::Broken);
                    let index = index_of_request(attempt.request);
                    self.put_after(
                        HOP_US,
                        Input::Ended {
                            index,
                            attempt,
                            error,
                        },
                    );
                }
            }
        }
    }

    fn gossip(&mut self) {
        for index in 0..self.daemons.len() {
            let me = self.daemons[index].me.clone();
            let now = self.now;
            let mut summary = None;
            self.with(index, |daemon, _, view| {
                summary = Some(daemon.owner.summary(now, view))
            });
            self.directory.summaries.insert(me.vm, summary.unwrap());
        }
        self.put(self.now + GOSSIP_MS, Input::Gossip);
    }

    fn attempt_of(&self, index: usize) -> AttemptId {
        AttemptId {
            request: RequestId::new(index as u128),
            number: AttemptNumber::new(self.asked[index].attempt),
        }
    }

    fn spec_of(&self, index: usize) -> RequestSpec {
        let arrival = &self.asked[index].arrival;
        RequestSpec {
            id: RequestId::new(index as u128),
            workspace: format!("w{}", arrival.workspace).parse().unwrap(),
            target: CallTarget::Model(ModelCall {
                model: "cell-advisor".parse().unwrap(),
                adapter: None,
                prompt_tokens: Tokens::new(arrival.prompt_tokens),
                max_output_tokens: Tokens::new(arrival.max_output_tokens),
                prefix_blocks: self.setup.shown_blocks(arrival),
                stream: true,
            }),
            timeout_ms: arrival.timeout_ms,
        }
    }

    fn route(&mut self, index: usize) {
        let spec = self.spec_of(index);
        let asked = &self.asked[index];
        let (entry, tried, better) = (asked.entry, asked.tried.clone(), asked.better.clone());
        let remaining_ms = asked.deadline().since(self.now);
        let query_spec = spec.clone();
        let mut route = None;
        self.with(entry, |daemon, ctx, view| {
            let query = RouteQuery {
                spec: &query_spec,
                tried: &tried,
                better: better.as_ref(),
                remaining_ms,
            };
            route = daemon.router.route(ctx, view, &query).ok();
        });
        let Some(route) = route else {
            return self.end(index, Fate::Refused);
        };
        let request = GrantRequest {
            attempt: self.attempt_of(index),
            model: route.model,
            remaining_ms,
            spec,
            offset_tokens: Tokens::ZERO,
            avoid: self.asked[index].avoid.clone(),
            resume_at: None,
            generation: Default::default(),
        };
        let owner = self
            .daemons
            .iter()
            .position(|d| d.me.vm == route.owner)
            .unwrap();
        self.asked[index].owner = owner;
        self.asked[index].tried.push(route.owner);
        self.send(entry, owner, GrantMessage::Request(Box::new(request)));
    }

    fn send(&mut self, from: usize, to: usize, message: GrantMessage) {
        let us = if to == from { 1 } else { HOP_US };
        self.put_after(us, Input::Peer { to, from, message });
    }

    fn on_peer(&mut self, to: usize, from: usize, message: GrantMessage) {
        let GrantMessage::Answer { attempt, answer } = message else {
            let sender = self.daemons[from].me.clone();
            let carry_out = |d: &mut Daemon, ctx: &mut Context<'_>, view: &View<'_>| {
                d.owner.on_message(ctx, view, &sender, message);
            };
            return self.with(to, carry_out);
        };
        let index = index_of_request(attempt.request);
        let vm = self.daemons[from].me.vm.clone();
        self.with(to, |daemon, ctx, _| {
            daemon.router.on_answer(ctx, &vm, &answer)
        });
        let current = self.attempt_of(index) == attempt && self.asked[index].fate == Fate::Open;
        match answer {
            GrantAnswer::Granted(offer) if current => {
                let engine = index_of(&offer.upstream);
                self.put_after(
                    HOP_US,
                    Input::Start {
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
                self.asked[index].better = better;
                self.asked[index].attempt += 1;
                self.route(index);
            }
            GrantAnswer::Denied(_) | GrantAnswer::Queued { .. } => {}
        }
    }

    fn on_start(&mut self, engine: usize, index: usize, offer: &GrantOffer) {
        let attempt = self.attempt_of(index);
        let asked = &mut self.asked[index];
        if asked.fate != Fate::Open {
            return self.release(index, attempt, engine, false, false);
        }
        asked.engine = Some(engine);
        asked.started_at = self.now;
        asked.running = true;
        let arrival = &asked.arrival;
        let stream = Stream {
            attempt,
            priority: offer.priority,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            kv_tokens: arrival.prompt_tokens + arrival.max_output_tokens,
            blocks: arrival.blocks.clone(),
        };
        let fake = &mut self.engines[engine];
        let idle = fake.step_end().is_none();
        let over = (fake.in_flight() + 1).saturating_sub(fake.bears());
        self.most_over_bearable = self.most_over_bearable.max(over);
        let started = fake.start(self.now, stream);
        self.hit_tokens += started.as_ref().copied().unwrap_or_default();
        match started {
            Ok(_) if idle => {
                let at = self.engines[engine].step_end().unwrap();
                self.put(at, Input::Step(engine));
            }
            Ok(_) => {}
            Err(error) => {
                let error = Some(error);
                self.put_after(
                    HOP_US,
                    Input::Ended {
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
                    let at = Time::from_us(self.now.as_us() + HOP_US);
                    self.asked[index].first_token_at.get_or_insert(at);
                }
                Output::Done(attempt) => {
                    let index = index_of_request(attempt.request);
                    self.put_after(
                        HOP_US,
                        Input::Ended {
                            index,
                            attempt,
                            error: None,
                        },
                    );
                }
            }
        }
        if let Some(at) = self.engines[engine].step_end() {
            self.put(at, Input::Step(engine));
        }
    }

    fn on_ended(&mut self, index: usize, attempt: AttemptId, error: Option<UpstreamError>) {
        let asked = &mut self.asked[index];
        if asked.fate != Fate::Open || !asked.running {
            return;
        }
        asked.running = false;
        let engine = asked.engine.unwrap();
        self.release(index, attempt, engine, error.is_none(), false);
        if error.is_none() {
            return self.end(index, Fate::Good);
        }
        let asked = &mut self.asked[index];
        asked.avoid.push(engine_id(engine));
        asked.tried.clear();
        asked.attempt += 1;
        self.route(index);
    }

    fn on_deadline(&mut self, index: usize) {
        if self.asked[index].fate != Fate::Open {
            return;
        }
        let attempt = self.attempt_of(index);
        let (entry, owner) = (self.asked[index].entry, self.asked[index].owner);
        if self.asked[index].running {
            let engine = self.asked[index].engine.unwrap();
            self.release(index, attempt, engine, false, true);
            self.end(index, Fate::Failed);
        } else {
            self.send(entry, owner, GrantMessage::Withdraw { attempt });
            self.end(index, Fate::Refused);
        }
    }

    fn end(&mut self, index: usize, fate: Fate) {
        self.asked[index].fate = fate;
        self.asked[index].ended_at = self.now;
    }

    fn release(
        &mut self,
        index: usize,
        attempt: AttemptId,
        engine: usize,
        complete: bool,
        needs_cancel: bool,
    ) {
        let asked = &self.asked[index];
        let (entry, owner) = (asked.entry, self.owner_of(engine));
        let first_token = asked.first_token_at.map(|at| at.since(asked.started_at));
        let end = GrantReport {
            complete,
            upstream_failed: !complete && !needs_cancel && asked.fate == Fate::Open,
            needs_cancel,
            first_token_ms: first_token,
            total_ms: self.now.since(asked.started_at),
            output_tokens: Tokens::new(if complete {
                asked.arrival.output_tokens
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
