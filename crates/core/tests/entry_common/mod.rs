//! Test harness for the entry daemon, with a fixed directory, a stub router, an in-memory store and
//! virtual time.
#![allow(dead_code, missing_docs, unreachable_pub)]

use persimmon_core::{
    config::{Configuration, ServiceConfig, WorkspaceConfig},
    entry::{Entry, EntrySettings, RawEntrySettings},
    ids::{
        AttemptId, AttemptNumber, BodyHash, FencingNumber, Generation, Incarnation, RequestId,
        UpstreamId, VmId,
    },
    message::{
        CapacitySummary, GrantAnswer, GrantDenial, GrantMessage, GrantOffer, GrantReport, Member,
        PeerMessage,
    },
    platform::{CallToken, Condition, PlatformError, TableAnswer, TableOp, Write},
    request::{
        AttemptResult, CallTarget, FinalResponse, ModelCall, Priority, Refusal, RefusalCode,
        RequestSpec, ServiceCall, StoredResult, UpstreamError,
    },
    routing::{Route, RouteQuery, Router},
    units::{Millis, Time, Tokens},
    Action, Context, Directory, View,
};
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::{collections::BTreeMap, sync::Arc};

/// Router that selects the suggested owner, or the first owner that was not tried.
#[derive(Debug)]
pub struct FirstRouter(pub Vec<VmId>);

impl Router for FirstRouter {
    fn route(
        &mut self,
        _: &mut Context<'_>,
        _: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        let better = query.suggested_owner.filter(|vm| !query.tried.contains(vm));
        let first = self.0.iter().find(|vm| !query.tried.contains(vm));
        let code = match self.0.is_empty() {
            true => RefusalCode::Unreachable,
            false => RefusalCode::NoCapacity,
        };
        let refusal = || Refusal::not_run(code, "none left: come back");
        let model = match &query.spec.target {
            CallTarget::Model(_) => Some("m@1".parse().expect("version")),
            CallTarget::Service(_) => None,
        };
        Ok(Route {
            owner: better.or(first).ok_or_else(refusal)?.clone(),
            model,
            runner_up: None,
            reason: "first",
        })
    }

    fn on_answer(&mut self, _: &mut Context<'_>, _: &VmId, _: &GrantAnswer) {}

    fn on_end(&mut self, _: &VmId, _: &UpstreamId, _: &GrantReport) {}
}

pub struct FakeDirectory(pub BTreeMap<VmId, Member>);

impl Directory for FakeDirectory {
    fn member(&self, vm: &VmId) -> Option<&Member> {
        self.0.get(vm)
    }
    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.0.get(vm).is_some_and(|m| m.incarnation == incarnation)
    }
    fn live_in(&self, _: &persimmon_core::ids::FailureDomain) -> &[Member] {
        &[]
    }
    fn owner_of(&self, _: &UpstreamId) -> Option<&VmId> {
        None
    }
    fn summary_of(&self, _: &VmId) -> Option<&CapacitySummary> {
        None
    }
}

/// In-memory table service with fault injection.
#[derive(Default)]
pub struct FakeStore {
    pub rows: BTreeMap<String, bytes::Bytes>,
    pub down: bool,
    /// Writes take effect but are answered with `AnswerLost`.
    pub loses_answers: bool,
    pub writes: u32,
}

impl FakeStore {
    pub fn call(&mut self, op: &TableOp) -> Result<TableAnswer, PlatformError> {
        if self.down {
            return Err(PlatformError::Unavailable);
        }
        match op {
            TableOp::Get { key } => Ok(TableAnswer::Value(self.rows.get(key).cloned())),
            TableOp::Scan {
                prefix,
                after,
                limit_len,
            } => {
                let rows = self.rows.iter().filter(|(key, _)| {
                    key.starts_with(prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let rows = rows.take(*limit_len as usize);
                Ok(TableAnswer::Rows(
                    rows.map(|(k, v)| (k.clone(), v.clone())).collect(),
                ))
            }
            TableOp::Transact { conditions, writes } => self.transact(conditions, writes),
        }
    }

    fn transact(
        &mut self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<TableAnswer, PlatformError> {
        let holds = conditions.iter().all(|condition| match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Equals { key, value } => self.rows.get(key) == Some(value),
        });
        if !holds {
            return Ok(TableAnswer::Conflict);
        }
        self.writes += 1;
        for write in writes {
            match write {
                Write::Put { key, value } => self.rows.insert(key.clone(), value.clone()),
                Write::Delete { key } => self.rows.remove(key),
            };
        }
        if self.loses_answers {
            return Err(PlatformError::AnswerLost);
        }
        Ok(TableAnswer::Done)
    }
}

/// One entry daemon under test.
pub struct EntryHarness {
    pub entry: Entry,
    pub now: Time,
    pub me: Member,
    pub directory: FakeDirectory,
    pub config: Arc<Configuration>,
    rng: ChaCha8Rng,
    last_token: u64,
}

pub fn vm(name: &str) -> VmId {
    name.parse().expect("VM")
}

pub fn member(name: &str, port: u16) -> Member {
    Member {
        vm: vm(name),
        incarnation: Incarnation::new(1),
        domain: "d1".parse().expect("domain"),
        peer_address: ([127, 0, 0, 1], port).into(),
    }
}

pub fn settings(raw: RawEntrySettings) -> EntrySettings {
    raw.try_into().expect("settings")
}

impl EntryHarness {
    /// Creates a daemon `e1` whose router knows the owners `o1` to `o3`.
    pub fn new(raw: RawEntrySettings) -> Self {
        Self::with_name("e1", 1, raw)
    }

    pub fn with_name(name: &str, seed: u64, raw: RawEntrySettings) -> Self {
        Self::with_owners(&["o1", "o2", "o3"], name, seed, raw)
    }

    /// Creates a daemon whose router knows these owners.
    pub fn with_owners(owners: &[&str], name: &str, seed: u64, raw: RawEntrySettings) -> Self {
        let me = member(name, 1);
        let owners: Vec<Member> = owners.iter().map(|name| member(name, 2)).collect();
        let router = FirstRouter(owners.iter().map(|m| m.vm.clone()).collect());
        let mut config = Configuration {
            generation: Generation::new(1),
            ..Configuration::default()
        };
        let workspace = WorkspaceConfig { weight_count: 1 };
        config
            .workspaces
            .insert("w".parse().expect("workspace"), workspace);
        let service = ServiceConfig {
            max_in_flight_requests: 8,
        };
        config
            .services
            .insert("orders".parse().expect("service"), service);
        let known = owners.into_iter().chain([me.clone()]);
        Self {
            entry: Entry::new(settings(raw), Box::new(router), &me),
            now: Time::from_ms(1_000),
            me,
            directory: FakeDirectory(known.map(|m| (m.vm.clone(), m)).collect()),
            config: Arc::new(config),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_token: 0,
        }
    }

    pub fn run(
        &mut self,
        step: impl FnOnce(&mut Entry, &mut Context<'_>, &View<'_>),
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut ctx = Context {
            now: self.now,
            rng: &mut self.rng,
            actions: &mut actions,
            last_token: &mut self.last_token,
        };
        let view = View {
            me: &self.me,
            config: &self.config,
            directory: &self.directory,
        };
        step(&mut self.entry, &mut ctx, &view);
        actions
    }

    pub fn request(&mut self, spec: RequestSpec) -> Vec<Action> {
        self.run(|entry, ctx, view| entry.on_request(ctx, view, spec))
    }

    /// Advances the virtual time and runs expired timers.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now + Millis::new(ms);
        self.run(|entry, ctx, view| entry.on_tick(ctx, view))
    }

    pub fn answer(&mut self, owner: &str, attempt: AttemptId, answer: GrantAnswer) -> Vec<Action> {
        let from = member(owner, 2);
        let message = GrantMessage::Answer { attempt, answer };
        self.run(|entry, ctx, view| entry.on_message(ctx, view, &from, message))
    }

    pub fn ended(&mut self, attempt: AttemptId, end: AttemptResult) -> Vec<Action> {
        self.run(|entry, ctx, view| entry.on_attempt_ended(ctx, view, attempt, end))
    }

    pub fn progress(&mut self, attempt: AttemptId, tokens: u64) -> Vec<Action> {
        let delivered = Tokens::new(tokens);
        self.run(|entry, ctx, view| entry.on_progress(ctx, view, attempt, delivered))
    }

    /// Answers the store calls among `actions`, and those that follow from the answers, and returns
    /// the other actions.
    pub fn answer_store_calls(
        &mut self,
        store: &mut FakeStore,
        actions: Vec<Action>,
    ) -> Vec<Action> {
        let mut remaining = Vec::new();
        let mut queue: std::collections::VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Table { token, op } => {
                    let answer = store.call(&op);
                    queue.extend(self.store_answer(token, answer));
                }
                other => remaining.push(other),
            }
        }
        remaining
    }

    pub fn store_answer(
        &mut self,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) -> Vec<Action> {
        self.run(|entry, ctx, view| entry.on_platform(ctx, view, token, answer))
    }
}

pub fn id(number: u128) -> RequestId {
    RequestId::new(number)
}

pub fn attempt(request: u128, number: u32) -> AttemptId {
    AttemptId {
        request: id(request),
        number: AttemptNumber::new(number),
    }
}

pub fn model_spec(number: u128) -> RequestSpec {
    RequestSpec {
        id: id(number),
        workspace: "w".parse().expect("workspace"),
        target: CallTarget::Model(ModelCall {
            model: "m".parse().expect("model"),
            adapter: None,
            prompt_tokens: Tokens::new(1_000),
            max_output_tokens: Tokens::new(100),
            prefix_blocks: Vec::new(),
            stream: true,
        }),
        timeout_ms: Millis::new(30_000),
    }
}

pub fn keyed_spec(number: u128, key: &str, body: u64) -> RequestSpec {
    RequestSpec {
        id: id(number),
        workspace: "w".parse().expect("workspace"),
        target: CallTarget::Service(ServiceCall {
            service: "orders".parse().expect("service"),
            idempotent: false,
            key: (!key.is_empty()).then(|| key.parse().expect("key")),
            body_hash: BodyHash::new(body),
        }),
        timeout_ms: Millis::new(30_000),
    }
}

pub fn granted(upstream: &str, fencing: u64, resume: bool) -> GrantAnswer {
    GrantAnswer::Granted(GrantOffer {
        upstream: upstream.parse().expect("upstream"),
        address: ([127, 0, 0, 1], 9).into(),
        fencing: FencingNumber::new(fencing),
        priority: Priority(0),
        predicted_ms: Millis::new(100),
        runner_up: None,
        cached_tokens: Tokens::ZERO,
        resume,
    })
}

pub fn busy() -> GrantAnswer {
    GrantAnswer::Denied(GrantDenial::Busy {
        better: None,
        retry_after_ms: Millis::new(700),
        summary: CapacitySummary::default(),
    })
}

pub fn failed(tokens: u64, error: UpstreamError) -> AttemptResult {
    AttemptResult::Failed {
        delivered_tokens: Tokens::new(tokens),
        error,
    }
}

pub fn complete(tokens: u64) -> AttemptResult {
    AttemptResult::Complete {
        output_tokens: Tokens::new(tokens),
        result: None,
    }
}

/// Complete answer of a keyed call.
pub fn complete_with(body: &'static str) -> AttemptResult {
    AttemptResult::Complete {
        output_tokens: Tokens::ZERO,
        result: Some(StoredResult {
            status: 200,
            content_type: "text/plain".into(),
            body: body.into(),
        }),
    }
}

/// Creates a daemon that has read the epoch and can claim keys.
pub fn ready_harness(name: &str, seed: u64, store: &mut FakeStore) -> EntryHarness {
    let mut harness = EntryHarness::with_name(name, seed, RawEntrySettings::default());
    let actions = harness.advance(0);
    harness.answer_store_calls(store, actions);
    harness
}

/// Requests a ticket from a daemon.
pub fn ticket(harness: &mut EntryHarness) -> String {
    let request = id(99);
    let actions = harness.run(|entry, ctx, view| entry.on_ticket_requested(ctx, view, request));
    match &actions[..] {
        [Action::Ticket { key, .. }] => key.to_string(),
        other => panic!("no ticket: {other:?}"),
    }
}

/// Delivers the ticket messages among `actions` to a daemon, and returns its actions.
pub fn deliver_ticket_messages(
    to: &mut EntryHarness,
    from: &Member,
    actions: Vec<Action>,
) -> Vec<Action> {
    let mut answers = Vec::new();
    for action in actions {
        if let Action::SendPeer {
            message: PeerMessage::Ticket(message),
            ..
        } = action
        {
            answers.extend(to.run(|entry, ctx, view| entry.on_ticket(ctx, view, from, message)));
        }
    }
    answers
}

/// Formats actions as one short line each, without log records.
pub fn summary_lines(actions: &[Action]) -> String {
    let lines: Vec<String> = actions.iter().filter_map(line).collect();
    lines.join("\n")
}

fn line(action: &Action) -> Option<String> {
    match action {
        Action::Log(_) => None,
        Action::StartAttempt(plan) => Some(format!(
            "start #{} at {} from {}{}",
            plan.attempt.number,
            plan.upstream,
            plan.offset_tokens,
            if plan.resume { " resume" } else { "" }
        )),
        Action::StopAttempt { attempt } => Some(format!("stop #{}", attempt.number)),
        Action::EndRequest { end, .. } => Some(match end {
            FinalResponse::Complete => "end complete".into(),
            FinalResponse::Stored(result) => format!("end stored {:?}", result.body),
            FinalResponse::Refused(refusal) => {
                let back = refusal.retry_after_ms;
                let back = back.map_or(String::new(), |ms| format!(" retry_after {ms}"));
                format!("end refused {} {}{back}", refusal.code, refusal.outcome)
            }
        }),
        Action::SendPeer { to, message, .. } => Some(format!("{to} <- {}", peer_line(message))),
        Action::Table { op, .. } => Some(format!("table {}", table_line(op))),
        other => Some(format!("{other:?}")),
    }
}

fn peer_line(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Grant(GrantMessage::Request(request)) => format!(
            "request #{} from {} avoid {:?} resume {:?}",
            request.attempt.number, request.offset_tokens, request.avoid, request.resume_at
        ),
        PeerMessage::Grant(GrantMessage::Withdraw { attempt }) => {
            format!("withdraw #{}", attempt.number)
        }
        PeerMessage::Grant(GrantMessage::Release {
            attempt,
            upstream,
            end,
        }) => format!(
            "release #{} {upstream} complete {} blame {} cancel {} tokens {}",
            attempt.number, end.complete, end.upstream_failed, end.needs_cancel, end.output_tokens
        ),
        other => format!("{other:?}"),
    }
}

fn table_line(op: &TableOp) -> String {
    match op {
        TableOp::Get { key } => format!("get {key}"),
        TableOp::Scan { prefix, .. } => format!("scan {prefix}"),
        TableOp::Transact { writes, .. } => {
            let writes = writes.iter().map(|write| match write {
                Write::Put { key, .. } => format!("put {key}"),
                Write::Delete { key } => format!("delete {key}"),
            });
            writes.collect::<Vec<_>>().join(", ")
        }
    }
}
