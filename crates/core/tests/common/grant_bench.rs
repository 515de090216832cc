//! Test harness for grants and routing: a configuration of one or more failure domains, and an
//! owner with an entry daemon.

use persimmon_core::{
    config::{
        Configuration, DomainConfig, EngineConfig, ModelConfig, PlacementRule, ServiceConfig,
        ServiceState, UpstreamConfig, UpstreamKind, WorkspaceConfig,
    },
    grant::{GrantSettings, Owner},
    ids::{
        AttemptId, AttemptNumber, BodyHash, FailureDomain, FencingNumber, Incarnation,
        ModelVersion, RequestId, UpstreamId, VmId,
    },
    membership::MemberChange,
    message::{
        CapacitySummary, GrantAnswer, GrantMessage, GrantOffer, GrantReport, GrantRequest, Member,
        PeerMessage,
    },
    ownership::OwnershipChange,
    request::{CallTarget, ModelCall, RequestSpec, ServiceCall, UpstreamError},
    units::{KvBytes, Millis, Time, Tokens, TokensPerSecond},
    upstream::{LoadReport, OrderKind},
    Action, Context, Directory, View,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub(crate) const KV_BYTES_PER_TOKEN: u64 = 10;

#[derive(Default)]
pub(crate) struct FakeDirectory {
    pub(crate) domains: BTreeMap<FailureDomain, Vec<Member>>,
    pub(crate) summaries: BTreeMap<VmId, CapacitySummary>,
    pub(crate) owners: BTreeMap<UpstreamId, VmId>,
}

impl FakeDirectory {
    pub(crate) fn add(&mut self, member: &Member) {
        let members = self.domains.entry(member.domain.clone()).or_default();
        members.push(member.clone());
    }

    pub(crate) fn remove(&mut self, vm: &VmId) {
        for members in self.domains.values_mut() {
            members.retain(|member| member.vm != *vm);
        }
    }
}

impl Directory for FakeDirectory {
    fn member(&self, vm: &VmId) -> Option<&Member> {
        self.domains.values().flatten().find(|m| m.vm == *vm)
    }

    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.member(vm)
            .is_some_and(|m| m.incarnation == incarnation)
    }

    fn live_in(&self, domain: &FailureDomain) -> &[Member] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId> {
        self.owners.get(upstream)
    }

    fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary> {
        self.summaries.get(vm)
    }
}

/// The context and view that components of the core are called with, and the actions they return.
pub(crate) struct Bench {
    pub(crate) now: Time,
    pub(crate) me: Member,
    pub(crate) config: Arc<Configuration>,
    pub(crate) directory: FakeDirectory,
    pub(crate) actions: Vec<Action>,
    rng: ChaCha8Rng,
    last_token: u64,
}

impl Bench {
    pub(crate) fn new(config: Configuration) -> Self {
        let me = member("vm-1", "a");
        let mut directory = FakeDirectory::default();
        directory.add(&me);
        Self {
            now: Time::from_ms(1_000),
            me,
            config: Arc::new(config),
            directory,
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            last_token: 0,
        }
    }

    pub(crate) fn with<T>(&mut self, step: impl FnOnce(&mut Context<'_>, &View<'_>) -> T) -> T {
        let mut ctx = Context {
            now: self.now,
            rng: &mut self.rng,
            actions: &mut self.actions,
            last_token: &mut self.last_token,
        };
        let view = View {
            me: &self.me,
            config: &self.config,
            directory: &self.directory,
        };
        step(&mut ctx, &view)
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
    }

    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

pub(crate) fn member(vm: &str, domain: &str) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation::new(1),
        domain: domain.parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
    }
}

pub(crate) fn model() -> ModelVersion {
    "cell-advisor@1".parse().unwrap()
}

pub(crate) fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

pub(crate) fn engine(domain: &str, kv_tokens: u64, max_in_flight_requests: u32) -> UpstreamConfig {
    UpstreamConfig {
        address: "127.0.0.1:2".parse().unwrap(),
        domain: domain.parse().unwrap(),
        kind: UpstreamKind::Engine(EngineConfig {
            kv_bytes: Tokens::new(kv_tokens).kv_bytes(KvBytes::new(KV_BYTES_PER_TOKEN)),
            prefill_tokens_per_s: TokensPerSecond::try_from(10_000.0).unwrap(),
            decode_tokens_per_s: TokensPerSecond::try_from(100.0).unwrap(),
            max_in_flight_requests,
            can_group: true,
        }),
        state: ServiceState::Serving,
        checks_fencing: true,
    }
}

/// A configuration with one model, one service with a limit of 2 calls, two workspaces and the
/// given upstreams.
pub(crate) fn configuration(
    domains: &[&str],
    engines: Vec<(&str, UpstreamConfig)>,
) -> Configuration {
    let mut config = Configuration::default();
    for domain in domains {
        let domain = domain.parse().unwrap();
        config.domains.insert(domain, DomainConfig::default());
    }
    let model_config = ModelConfig {
        kv_bytes_per_token: KvBytes::new(KV_BYTES_PER_TOKEN),
        weights_bytes: 1,
        context_tokens: Tokens::new(1_000_000),
        adapters: BTreeSet::new(),
    };
    config.models.insert(model(), model_config);
    let service = ServiceConfig {
        max_in_flight_requests: 2,
    };
    config
        .services
        .insert("cell-orders".parse().unwrap(), service);
    for workspace in ["w1", "w2"] {
        let workspace = workspace.parse().unwrap();
        config
            .workspaces
            .insert(workspace, WorkspaceConfig { weight_count: 1 });
    }
    let engines = engines.into_iter();
    config.upstreams = engines.map(|(id, config)| (upstream(id), config)).collect();
    config.placement.push(PlacementRule {
        model: model(),
        workspaces: BTreeSet::new(),
        domains: BTreeSet::new(),
    });
    config
}

pub(crate) fn attempt(request: u128) -> AttemptId {
    AttemptId {
        request: RequestId::new(request),
        number: AttemptNumber::new(0),
    }
}

pub(crate) fn model_spec(request: u128, prompt_tokens: u64, max_output_tokens: u64) -> RequestSpec {
    RequestSpec {
        id: RequestId::new(request),
        workspace: "w1".parse().unwrap(),
        target: CallTarget::Model(ModelCall {
            model: "cell-advisor".parse().unwrap(),
            adapter: None,
            prompt_tokens: Tokens::new(prompt_tokens),
            max_output_tokens: Tokens::new(max_output_tokens),
            prefix_blocks: Vec::new(),
            stream: true,
        }),
        timeout_ms: Millis::from_secs(30),
    }
}

pub(crate) fn service_spec(request: u128) -> RequestSpec {
    RequestSpec {
        target: CallTarget::Service(ServiceCall {
            service: "cell-orders".parse().unwrap(),
            idempotent: true,
            key: None,
            body_hash: BodyHash::new(0),
        }),
        ..model_spec(request, 0, 0)
    }
}

pub(crate) fn grant_request(spec: RequestSpec) -> GrantRequest {
    let is_model = matches!(spec.target, CallTarget::Model(_));
    GrantRequest {
        attempt: AttemptId {
            request: spec.id,
            number: AttemptNumber::new(0),
        },
        model: is_model.then(model),
        remaining_ms: spec.timeout_ms,
        spec,
        offset_tokens: Tokens::ZERO,
        avoid: Vec::new(),
        resume_at: None,
        generation: Default::default(),
    }
}

pub(crate) fn end_of(needs_cancel: bool) -> GrantReport {
    GrantReport {
        complete: !needs_cancel,
        upstream_failed: false,
        needs_cancel,
        first_token_ms: Some(Millis::new(50)),
        total_ms: Millis::new(500),
        output_tokens: Tokens::new(10),
    }
}

pub(crate) fn offer(name: &str) -> GrantOffer {
    GrantOffer {
        upstream: upstream(name),
        address: "127.0.0.1:2".parse().unwrap(),
        fencing: FencingNumber::new(1),
        priority: Default::default(),
        predicted_ms: Millis::ZERO,
        runner_up: None,
        cached_tokens: Tokens::ZERO,
        resume: false,
    }
}

pub(crate) fn warm_report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation::new(1),
        models: BTreeMap::from([(model(), BTreeSet::new())]),
        fencing: Some(FencingNumber::new(1)),
        ..LoadReport::default()
    }
}

/// Formats each action as one line, without the parts that tests do not check.
pub(crate) fn lines(actions: &[Action]) -> String {
    let lines = actions.iter().map(|action| match action {
        Action::SendPeer {
            to,
            message: PeerMessage::Grant(message),
            ..
        } => format!("{to} <- {}", grant_line(message)),
        Action::Order(order) => match &order.kind {
            OrderKind::Cancel { request } => format!(
                "{}: cancel {} fencing {}",
                order.upstream,
                short(&request.to_string()),
                order.fencing
            ),
            other => format!("{}: {other:?}", order.upstream),
        },
        Action::PollLoad { upstream, .. } => format!("{upstream}: load?"),
        other => format!("{other:?}"),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn short(id: &str) -> &str {
    id.trim_start_matches('0')
}

fn grant_line(message: &GrantMessage) -> String {
    match message {
        GrantMessage::Answer { attempt, answer } => {
            let what = match answer {
                GrantAnswer::Granted(offer) => format!(
                    "granted {} ttft {} runner-up {:?} resume {}",
                    offer.upstream, offer.predicted_ms, offer.runner_up, offer.resume
                ),
                GrantAnswer::Queued { wait_ms } => format!("queued {wait_ms}"),
                GrantAnswer::Denied(denial) => {
                    let text = format!("{denial:?}");
                    let cut = text.find(", summary").unwrap_or(text.len());
                    format!("denied {}", &text[..cut])
                }
            };
            format!("{} {what}", short(&attempt.to_string()))
        }
        GrantMessage::Revoke { attempt } => format!("revoke {}", short(&attempt.to_string())),
        other => format!("{other:?}"),
    }
}

/// An owner of all configured upstreams, and one entry daemon.
pub(crate) struct OwnerHarness {
    pub(crate) bench: Bench,
    pub(crate) owner: Owner,
    pub(crate) entry: Member,
}

impl OwnerHarness {
    pub(crate) fn new(engines: Vec<(&str, UpstreamConfig)>) -> Self {
        let mut harness = Self {
            bench: Bench::new(configuration(&["a"], engines)),
            owner: Owner::new(GrantSettings::default()),
            entry: member("vm-2", "a"),
        };
        harness.bench.directory.add(&harness.entry);
        let names: Vec<_> = harness.bench.config.upstreams.keys().cloned().collect();
        for name in names {
            harness.gain(name.as_str(), Time::START);
            harness.report(name.as_str(), &warm_report());
        }
        harness.bench.take();
        harness
    }

    pub(crate) fn gain(&mut self, name: &str, learning_until: Time) {
        let change = OwnershipChange::Gained {
            upstream: upstream(name),
            fencing: FencingNumber::new(5),
            learning_until,
        };
        let owner = &mut self.owner;
        self.bench
            .with(|ctx, view| owner.on_ownership(ctx, view, &change));
    }

    pub(crate) fn report(&mut self, name: &str, report: &LoadReport) {
        let owner = &mut self.owner;
        let id = upstream(name);
        self.bench
            .with(|ctx, view| owner.on_load(ctx, view, &id, Ok(report)));
    }

    pub(crate) fn message(&mut self, message: GrantMessage) -> String {
        let entry = self.entry.clone();
        self.message_from(&entry, message);
        lines(&self.bench.take())
    }

    pub(crate) fn message_from(&mut self, entry: &Member, message: GrantMessage) {
        let owner = &mut self.owner;
        self.bench
            .with(|ctx, view| owner.on_message(ctx, view, entry, message));
    }

    pub(crate) fn request(&mut self, request: GrantRequest) -> String {
        self.message(GrantMessage::Request(Box::new(request)))
    }

    pub(crate) fn release(&mut self, request: u128, needs_cancel: bool) -> String {
        self.message(GrantMessage::Release {
            attempt: attempt(request),
            upstream: upstream("e1"),
            end: end_of(needs_cancel),
        })
    }

    pub(crate) fn entry_dies(&mut self) -> Vec<Action> {
        let entry = self.entry.clone();
        self.dies(&entry);
        self.bench.take()
    }

    pub(crate) fn dies(&mut self, entry: &Member) {
        let change = MemberChange::Died(entry.clone());
        let owner = &mut self.owner;
        self.bench
            .with(|ctx, view| owner.on_member(ctx, view, &change));
    }

    pub(crate) fn answer_orders(&mut self, orders: &[Action], answer: Result<(), UpstreamError>) {
        for action in orders {
            let Action::Order(order) = action else {
                continue;
            };
            let owner = &mut self.owner;
            let (id, token) = (&order.upstream, order.token);
            let answer = answer.clone();
            self.bench
                .with(|ctx, view| owner.on_order(ctx, view, id, token, answer));
        }
    }

    pub(crate) fn tick_after(&mut self, ms: u64) -> Vec<Action> {
        self.bench.advance(ms);
        let owner = &mut self.owner;
        self.bench.with(|ctx, view| owner.on_tick(ctx, view));
        let poll =
            |action: &Action| matches!(action, Action::PollCache { .. } | Action::PollLoad { .. });
        let not_poll = |action: &Action| !poll(action);
        self.bench.take().into_iter().filter(not_poll).collect()
    }

    pub(crate) fn account(&self, name: &str) -> (u32, u64) {
        let status = self.owner.status(&upstream(name)).unwrap();
        (status.in_flight_requests, status.kv_held_bytes.get())
    }
}
