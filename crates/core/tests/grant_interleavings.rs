//! Property test: random interleavings of grants, releases, failures of entry daemons, restarts of
//! engines and lost messages. Checks that no engine exceeds its limit or memory, that the owner
//! accounts for everything that runs, that every waiting state has a timer, and that nothing is
//! left reserved at the end.

#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{
    end_of, engine, grant_request, member, model_spec, upstream, warm_report, OwnerHarness,
    KV_BYTES_PER_TOKEN,
};
use persimmon_core::{
    ids::{AttemptId, Incarnation, RequestId, UpstreamId},
    message::{GrantAnswer, GrantMessage, Member, PeerMessage},
    request::UpstreamError,
    units::Millis,
    upstream::{LoadReport, OrderKind},
    Action,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::collections::BTreeMap;

const LIMITS: [(&str, u64, u32); 2] = [("e1", 4_000, 3), ("e2", 9_000, 5)];
const ENTRIES_COUNT: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    SendRequest {
        entry: usize,
        prompt_tokens: u64,
        timeout_ms: u64,
    },
    RepeatRequest {
        index: usize,
    },
    Withdraw {
        index: usize,
    },
    End {
        index: usize,
        needs_cancel: bool,
        lost: bool,
    },
    RepeatRelease {
        index: usize,
    },
    EntryDies {
        entry: usize,
    },
    EngineRestarts {
        engine: usize,
    },
    LoseOrders,
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..64usize;
    prop_oneof![
        8 => (0..ENTRIES_COUNT, 100..12_000u64, 500..20_000u64).prop_map(
            |(entry, prompt_tokens, timeout_ms)| Step::SendRequest { entry, prompt_tokens, timeout_ms }),
        2 => index.clone().prop_map(|index| Step::RepeatRequest { index }),
        1 => index.clone().prop_map(|index| Step::Withdraw { index }),
        6 => (index.clone(), any::<bool>(), prop::bool::weighted(0.2)).prop_map(
            |(index, needs_cancel, lost)| Step::End { index, needs_cancel, lost }),
        2 => index.prop_map(|index| Step::RepeatRelease { index }),
        1 => (0..ENTRIES_COUNT).prop_map(|entry| Step::EntryDies { entry }),
        1 => (0..LIMITS.len()).prop_map(|engine| Step::EngineRestarts { engine }),
        2 => Just(Step::LoseOrders),
        4 => (1..3_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

struct SentRequest {
    entry: Member,
    message: GrantMessage,
    attempt: AttemptId,
    /// Whether it needed a cancel when it ended; none while it has not ended.
    ended: Option<bool>,
}

struct Simulation {
    harness: OwnerHarness,
    entries: Vec<Member>,
    sent: Vec<SentRequest>,
    streams: BTreeMap<UpstreamId, BTreeMap<RequestId, u64>>,
    incarnations: BTreeMap<UpstreamId, u64>,
    lose_orders: bool,
    /// The engine that runs each granted request; the last member if it has a group.
    answering_engines: BTreeMap<RequestId, UpstreamId>,
    /// KV bytes that the other members of a request's group prefilled.
    segments: BTreeMap<RequestId, u64>,
}

impl Simulation {
    fn new() -> Self {
        let engines = LIMITS.iter();
        let engines = engines.map(|(id, kv, limit)| (*id, engine("a", *kv, *limit)));
        let mut harness = OwnerHarness::new(engines.collect());
        let entries = (0..ENTRIES_COUNT).map(|i| member(&format!("entry-{i}"), "a"));
        let entries: Vec<Member> = entries.collect();
        for entry in &entries {
            harness.bench.directory.add(entry);
        }
        Self {
            harness,
            entries,
            sent: Vec::new(),
            streams: LIMITS
                .iter()
                .map(|l| (upstream(l.0), BTreeMap::new()))
                .collect(),
            incarnations: LIMITS.iter().map(|l| (upstream(l.0), 1)).collect(),
            lose_orders: false,
            answering_engines: BTreeMap::new(),
            segments: BTreeMap::new(),
        }
    }

    fn send(&mut self, index: usize, message: GrantMessage) {
        let entry = self.sent[index].entry.clone();
        if self.entries.contains(&entry) {
            self.harness.message_from(&entry, message);
        }
    }

    fn run(&mut self, step: Step) {
        let count = self.sent.len().max(1);
        let known = !self.sent.is_empty();
        match step {
            Step::SendRequest {
                entry,
                prompt_tokens,
                timeout_ms,
            } => {
                self.ask(entry, prompt_tokens, timeout_ms);
            }
            Step::RepeatRequest { index } if known => {
                let message = self.sent[index % count].message.clone();
                self.send(index % count, message);
            }
            Step::Withdraw { index } if known && !self.is_running(index % count) => {
                let attempt = self.sent[index % count].attempt;
                self.send(index % count, GrantMessage::Withdraw { attempt });
            }
            Step::End {
                index,
                needs_cancel,
                lost,
            } if known => {
                self.end(index % count, needs_cancel, lost);
            }
            Step::RepeatRelease { index } if known => {
                if let Some(needs_cancel) = self.sent[index % count].ended {
                    self.release(index % count, needs_cancel);
                }
            }
            Step::EntryDies { entry } => self.entry_dies(entry),
            Step::EngineRestarts { engine } => self.engine_restarts(engine),
            Step::LoseOrders => self.lose_orders = true,
            Step::Wait { ms } => {
                self.lose_orders = false;
                self.wait(ms);
            }
            _ => {}
        }
        self.deliver();
        self.check();
    }

    fn ask(&mut self, entry: usize, prompt_tokens: u64, timeout_ms: u64) {
        let mut spec = model_spec(self.sent.len() as u128 + 1, prompt_tokens, 100);
        spec.timeout_ms = Millis::new(timeout_ms);
        let request = grant_request(spec);
        let attempt = request.attempt;
        let message = GrantMessage::Request(Box::new(request));
        let entry = self.entries[entry].clone();
        self.sent.push(SentRequest {
            entry,
            message: message.clone(),
            attempt,
            ended: None,
        });
        self.send(self.sent.len() - 1, message);
    }

    fn is_running(&self, index: usize) -> bool {
        let request = self.sent[index].attempt.request;
        let answering = self.answering_engines.get(&request);
        answering.is_some_and(|answering| self.streams[answering].contains_key(&request))
    }

    /// Ends a stream at its engine, or, if it needs a cancel, abandons it at the entry daemon while
    /// it still runs.
    fn end(&mut self, index: usize, needs_cancel: bool, lost: bool) {
        let alive = self.entries.contains(&self.sent[index].entry);
        if !self.is_running(index) || !alive {
            return;
        }
        let request = self.sent[index].attempt.request;
        if !needs_cancel {
            let answering = &self.answering_engines[&request];
            self.streams.get_mut(answering).unwrap().remove(&request);
        }
        self.sent[index].ended = Some(needs_cancel);
        if !lost {
            self.release(index, needs_cancel);
        }
    }

    fn release(&mut self, index: usize, needs_cancel: bool) {
        let message = GrantMessage::Release {
            attempt: self.sent[index].attempt,
            upstream: upstream("e1"),
            end: end_of(needs_cancel),
        };
        self.send(index, message);
    }

    fn entry_dies(&mut self, entry: usize) {
        let old = self.entries[entry].clone();
        self.harness.bench.directory.remove(&old.vm);
        self.harness.dies(&old);
        self.entries[entry].incarnation = old.incarnation.next();
        let new = self.entries[entry].clone();
        self.harness.bench.directory.add(&new);
    }

    fn engine_restarts(&mut self, engine: usize) {
        let id = upstream(LIMITS[engine].0);
        self.streams.get_mut(&id).unwrap().clear();
        *self.incarnations.get_mut(&id).unwrap() += 1;
    }

    fn wait(&mut self, ms: u64) {
        self.harness.bench.advance(ms);
        let owner = &mut self.harness.owner;
        self.harness
            .bench
            .with(|ctx, view| owner.on_tick(ctx, view));
    }

    fn deliver(&mut self) {
        loop {
            let actions = self.harness.bench.take();
            if actions.is_empty() {
                return;
            }
            actions
                .into_iter()
                .for_each(|action| self.handle_action(action));
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::SendPeer {
                message: PeerMessage::Grant(message),
                ..
            } => match message {
                GrantMessage::Answer {
                    attempt,
                    answer: GrantAnswer::Granted(offer),
                } => {
                    self.dispatch(attempt, offer.upstream);
                }
                GrantMessage::Revoke { attempt } => {
                    let index = self.sent.iter().position(|a| a.attempt == attempt).unwrap();
                    self.sent[index].ended.get_or_insert(true);
                }
                _ => {}
            },
            Action::Order(order) => {
                let answer = self.answer_order(&order.upstream, &order.kind);
                let owner = &mut self.harness.owner;
                let (id, token) = (&order.upstream, order.token);
                self.harness
                    .bench
                    .with(|ctx, view| owner.on_order(ctx, view, id, token, answer));
            }
            Action::PollLoad { upstream, .. } => {
                let report = LoadReport {
                    incarnation: Incarnation::new(self.incarnations[&upstream]),
                    ..warm_report()
                };
                self.harness.report(upstream.as_str(), &report);
            }
            _ => {}
        }
    }

    /// Carries out an order at an engine. While orders are lost, a cancel has no effect; other
    /// orders take effect, and only their answer is lost.
    fn answer_order(
        &mut self,
        upstream: &UpstreamId,
        kind: &OrderKind,
    ) -> Result<(), UpstreamError> {
        let streams = self.streams.get_mut(upstream).unwrap();
        match kind {
            OrderKind::Cancel { .. } if self.lose_orders => {}
            OrderKind::Cancel { request } => {
                streams.remove(request);
            }
            OrderKind::PrefillSegment {
                request,
                from_tokens,
                to_tokens,
            } => {
                let tokens = to_tokens.get() - from_tokens.get();
                streams.insert(*request, tokens * KV_BYTES_PER_TOKEN);
                *self.segments.entry(*request).or_default() += tokens * KV_BYTES_PER_TOKEN;
            }
            OrderKind::ImportKv { .. } => {}
            other => panic!("{other:?}"),
        }
        match self.lose_orders {
            true => Err(UpstreamError::Timeout),
            false => Ok(()),
        }
    }

    fn dispatch(&mut self, attempt: AttemptId, upstream: UpstreamId) {
        let sent = self.sent.iter().find(|a| a.attempt == attempt).unwrap();
        if sent.ended.is_some() || !self.entries.contains(&sent.entry) {
            return;
        }
        let GrantMessage::Request(request) = &sent.message else {
            panic!()
        };
        let persimmon_core::request::CallTarget::Model(call) = &request.spec.target else {
            panic!()
        };
        let tokens = call.prompt_tokens + call.max_output_tokens;
        let elsewhere = self
            .segments
            .get(&attempt.request)
            .copied()
            .unwrap_or_default();
        let streams = self.streams.get_mut(&upstream).unwrap();
        streams.insert(
            attempt.request,
            tokens.get() * KV_BYTES_PER_TOKEN - elsewhere,
        );
        self.answering_engines.insert(attempt.request, upstream);
    }

    fn check(&self) {
        let untimed = self.harness.owner.states_without_timer();
        assert!(untimed.is_empty(), "no timer for {untimed:?}");
        for (name, kv_tokens, limit) in LIMITS {
            let streams = &self.streams[&upstream(name)];
            assert!(streams.len() <= limit as usize, "{name} exceeds its limit");
            let held: u64 = streams.values().sum();
            assert!(
                held <= kv_tokens * KV_BYTES_PER_TOKEN,
                "{name} exceeds its memory"
            );
            let (in_flight, kv_held) = self.harness.account(name);
            assert!(
                in_flight as usize >= streams.len(),
                "{name} runs a request that the owner does not account for"
            );
            assert!(in_flight <= limit && kv_held >= held);
        }
    }

    /// Waits past the last deadline, and checks that nothing is reserved, running or queued.
    fn settle_and_check(&mut self) {
        self.lose_orders = false;
        for _ in 0..60 {
            self.wait(1_000);
            self.deliver();
            self.check();
        }
        for (name, ..) in LIMITS {
            assert_eq!(
                self.harness.account(name),
                (0, 0),
                "the owner still accounts for a grant at {name}"
            );
            assert!(
                self.streams[&upstream(name)].is_empty(),
                "{name} still runs a request"
            );
        }
        assert!(
            self.harness.owner.vms_with_requests().is_empty(),
            "a VM still holds or waits for a grant"
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x6772_616e),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_memory_is_lost_and_no_limit_exceeded(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.run(step);
        }
        simulation.settle_and_check();
    }
}
