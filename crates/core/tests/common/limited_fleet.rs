//! Daemons and upstreams in virtual time. Some upstreams state a rate limit in their answers, and messages
//! between daemons take a moment.

#![allow(dead_code, reason = "each test file uses a part")]

use super::dispatch::{catalog, id, ms, node::Node, upstream, ENGINES, KEY};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        Call, DispatchAction, DispatchEvent, DispatchMessage, PromptSize, RateLimitNotice,
        SendOutcome, SendPlan,
    },
    ids::{CallId, Fingerprint, UpstreamId, VmId},
    units::{ByteCount, Millis, RequestsPerSecond, Time, Tokens},
    watch::Change,
};
use std::collections::{BTreeMap, HashMap, HashSet};

const STEP_MS: Millis = Millis::new(1);

/// Time from a request's arrival at an upstream to the head of its answer.
const HEAD_MS: Millis = Millis::new(30);

/// Time from a request's arrival at an engine to the end of its answer.
const ENGINE_ANSWER_MS: Millis = Millis::new(800);

/// Shortest time that a message between daemons takes.
const MESSAGE_MS: u64 = 1;

/// Time without a message after which a daemon considers a peer as disconnected.
const PEER_SILENCE_MS: Millis = Millis::new(2_000);

/// Time for which an engine stays cold.
const COLD_MS: Millis = Millis::new(10_000);

/// Time between two reads of operators' writes.
const READ_INTERVAL_MS: u64 = 500;

struct Message {
    due_at: Time,
    from: usize,
    to: usize,
    content: DispatchMessage,
}

struct Transmission {
    daemon: usize,
    plan: SendPlan,
    sent_at: Time,
    has_head: bool,
}

pub(crate) struct LimitedFleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    /// The rate limits that upstreams state, in requests a second.
    pub(crate) limits: BTreeMap<UpstreamId, f64>,
    /// How many requests each upstream got, with their times.
    pub(crate) arrivals: BTreeMap<UpstreamId, Vec<Time>>,
    pub(crate) served_len: usize,
    /// Refused calls: when, after how long, and when to come back.
    pub(crate) refused: Vec<(Time, Millis, Option<Millis>)>,
    upstreams_len: (u16, u16),
    mail: Vec<Message>,
    at_upstreams: Vec<Transmission>,
    asked_at: HashMap<(usize, CallId), Time>,
    calls_len: u64,
    /// Daemons that are cut off from the others, and since when.
    cut: Option<(HashSet<usize>, Time)>,
}

impl LimitedFleet {
    pub(crate) fn new(daemons_len: usize, engines_len: u16, plain_len: u16) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Time::START,
            limits: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            served_len: 0,
            refused: Vec::new(),
            upstreams_len: (engines_len, plain_len),
            mail: Vec::new(),
            at_upstreams: Vec::new(),
            asked_at: HashMap::new(),
            calls_len: 0,
            cut: None,
        };
        for _ in 0..daemons_len {
            fleet.start_daemon();
        }
        // Limits are shared with daemons that may connect in the first seconds.
        fleet.pass(ms(6_000));
        fleet
    }

    /// Starts another daemon that connects to all others.
    pub(crate) fn start_daemon(&mut self) {
        let index = self.nodes.len();
        let mut node = Node::named(&format!("vm-{index}"));
        node.now = self.now;
        node.learn(self.upstreams_len.0, self.upstreams_len.1);
        self.nodes.push(node);
        for other in 0..index {
            self.handle(other, DispatchEvent::PeerUp { vm: vm(index) });
            self.handle(index, DispatchEvent::PeerUp { vm: vm(other) });
        }
    }

    /// An engine is cold for a while, and engines take this many requests a second while they are.
    pub(crate) fn chill(&mut self, engine: u16, cold_per_s: f64) {
        for node in &mut self.nodes {
            let mut catalog = catalog(2);
            catalog.services[0].cold_per_s = cold_per_s;
            node.operators(false, vec![Change::Catalog(Box::new(catalog))]);
            let mut record = upstream(ENGINES, engine);
            record.cold_remaining_ms = COLD_MS;
            record.writes_count = 2;
            node.upstreams(false, vec![Change::Upstream(Box::new(record))]);
        }
    }

    /// Cuts some daemons off from the others.
    pub(crate) fn cut_off(&mut self, daemons: &[usize]) {
        self.cut = Some((daemons.iter().copied().collect(), self.now));
    }

    /// Ends the cut.
    pub(crate) fn heal(&mut self) {
        let Some((cut_off, since)) = self.cut.take() else {
            return;
        };
        if self.now < since + PEER_SILENCE_MS {
            return;
        }
        for (one, other) in self.pairs(&cut_off) {
            self.handle(one, DispatchEvent::PeerUp { vm: vm(other) });
        }
    }

    /// Both directions between daemons that are cut off and the others.
    fn pairs(&self, cut_off: &HashSet<usize>) -> Vec<(usize, usize)> {
        let others = (0..self.nodes.len()).filter(|index| !cut_off.contains(index));
        let pairs = others.flat_map(|other| cut_off.iter().map(move |own| (*own, other)));
        let mut pairs: Vec<_> = pairs
            .flat_map(|(own, other)| [(own, other), (other, own)])
            .collect();
        pairs.sort_unstable();
        pairs
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let is_off = |index: usize| {
            let cut = self.cut.as_ref();
            cut.is_some_and(|(cut_off, _)| cut_off.contains(&index))
        };
        is_off(one) != is_off(other)
    }

    pub(crate) fn call(&mut self, daemon: usize, route: &str) {
        self.calls_len += 1;
        let call = CallId::new(self.calls_len);
        self.asked_at.insert((daemon, call), self.now);
        let is_prompt = route == "alarm";
        let event = DispatchEvent::Arrived(Box::new(Call {
            id: call,
            request_id: format!("request-{call}").into(),
            host: "cells.example".into(),
            path: format!("/{route}/x"),
            key: Some(ApiKey::from(KEY)),
            deadline_ms: Some(ms(10_000)),
            prompt: is_prompt.then(|| PromptSize {
                prompt_tokens: Tokens::new(5_000),
                output_tokens: Tokens::new(600),
            }),
            fingerprints: Vec::new(),
            prefix: Default::default(),
            content: Fingerprint::new(call.get()),
            body_bytes: ByteCount::ZERO,
            age_ms: Millis::ZERO,
        }));
        self.handle(daemon, event);
    }

    /// Calls at a fixed rate for a time, by way of all daemons in an uneven order.
    pub(crate) fn traffic(&mut self, route: &str, per_s: u64, span: Millis) {
        let end = self.now + span;
        let gap = ms(1_000 / per_s);
        while self.now < end {
            let daemon = (self.calls_len * 7 / 3) as usize % self.nodes.len();
            self.call(daemon, route);
            self.pass(gap);
        }
    }

    pub(crate) fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.progress_cut();
            self.deliver_mail();
            let reads = self.now.since(Time::START).get() % READ_INTERVAL_MS == 0;
            for daemon in 0..self.nodes.len() {
                self.nodes[daemon].now = self.now;
                if reads {
                    self.nodes[daemon].operators(false, Vec::new());
                }
                if self.nodes[daemon].dispatcher.next_wakeup() <= self.now {
                    self.handle(daemon, DispatchEvent::Tick);
                }
            }
            self.progress_upstreams();
        }
    }

    fn progress_cut(&mut self) {
        let ends_now = |since: Time| since + PEER_SILENCE_MS == self.now;
        let cut = self.cut.as_ref().filter(|(_, since)| ends_now(*since));
        let Some((cut_off, _)) = cut.cloned() else {
            return;
        };
        for (one, other) in self.pairs(&cut_off) {
            self.handle(one, DispatchEvent::PeerDown { vm: vm(other) });
        }
    }

    fn deliver_mail(&mut self) {
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|message| message.due_at <= self.now);
        self.mail = later;
        for Message {
            from, to, content, ..
        } in due
        {
            if !self.is_cut(from, to) {
                let (vm, message) = (vm(from), content);
                self.handle(to, DispatchEvent::PeerMessage { vm, message });
            }
        }
    }

    fn progress_upstreams(&mut self) {
        for index in 0..self.at_upstreams.len() {
            let sent = &mut self.at_upstreams[index];
            if sent.has_head || sent.sent_at + HEAD_MS > self.now {
                continue;
            }
            sent.has_head = true;
            let (daemon, plan, sent_at) = (sent.daemon, sent.plan.clone(), sent.sent_at);
            self.answer(daemon, &plan, sent_at);
        }
        while let Some(index) = self
            .at_upstreams
            .iter()
            .position(|sent| sent.sent_at + answer_ms(&sent.plan) <= self.now)
        {
            let Transmission { daemon, plan, .. } = self.at_upstreams.swap_remove(index);
            let (call, send) = (plan.call, plan.send);
            let end = SendOutcome::Delivered;
            self.handle(daemon, DispatchEvent::Ended { call, send, end });
            self.served_len += 1;
        }
    }

    /// The head of an answer arrives.
    fn answer(&mut self, daemon: usize, plan: &SendPlan, sent_at: Time) {
        let (call, send) = (plan.call, plan.send);
        let limit = self.limits.get(&plan.upstream);
        let per_s = limit.map(|per_s| RequestsPerSecond::try_from(*per_s).unwrap());
        if per_s.is_some() || plan.is_rate_limited {
            let notice = RateLimitNotice {
                upstream: plan.incarnation(),
                address: plan.address,
                is_misdirected: false,
                request: None,
                per_s,
                answered_after_ms: self.now.since(sent_at),
            };
            self.handle(daemon, DispatchEvent::UpstreamRateLimit(notice));
        }
        self.handle(daemon, DispatchEvent::FirstByte { call, send });
    }

    pub(crate) fn handle(&mut self, daemon: usize, event: DispatchEvent) {
        let node = &mut self.nodes[daemon];
        let mut actions = Vec::new();
        node.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(daemon, action);
        }
    }

    fn execute(&mut self, daemon: usize, action: DispatchAction) {
        match action {
            DispatchAction::Send(plan) => {
                let arrivals = self.arrivals.entry(plan.upstream.clone()).or_default();
                arrivals.push(self.now);
                self.at_upstreams.push(Transmission {
                    daemon,
                    plan: *plan,
                    sent_at: self.now,
                    has_head: false,
                });
            }
            DispatchAction::Refuse { call, refusal } => {
                let asked_at = self.asked_at[&(daemon, call)];
                let held_ms = self.now.since(asked_at);
                self.refused
                    .push((self.now, held_ms, refusal.retry_after_ms));
            }
            DispatchAction::Notify { to, message } => {
                for other in (0..self.nodes.len()).filter(|other| *other != daemon) {
                    if to.as_ref().is_none_or(|to| *to == vm(other)) {
                        let spread_ms = ((daemon + other) % 4) as u64;
                        self.mail.push(Message {
                            due_at: self.now + ms(MESSAGE_MS + spread_ms),
                            from: daemon,
                            to: other,
                            content: message.clone(),
                        });
                    }
                }
            }
            _ => {}
        }
    }

    /// Requests that an upstream got since a time.
    pub(crate) fn got_since(&self, upstream: &str, since: Time) -> usize {
        let arrivals = self.arrivals.get(&id::<UpstreamId>(upstream));
        arrivals.map_or(0, |times| times.iter().filter(|at| **at >= since).count())
    }

    /// The most requests that an upstream got in any span of this length since a time.
    pub(crate) fn most_in(&self, upstream: &str, since: Time, span: Millis) -> usize {
        let arrivals = self.arrivals.get(&id::<UpstreamId>(upstream));
        let times: Vec<_> = arrivals
            .into_iter()
            .flatten()
            .filter(|at| **at >= since)
            .collect();
        let len_from = |start: usize| {
            let end = *times[start] + span;
            times[start..].iter().filter(|at| ***at < end).count()
        };
        (0..times.len()).map(len_from).max().unwrap_or_default()
    }
}

fn answer_ms(plan: &SendPlan) -> Millis {
    if plan.upstream.as_str().starts_with(ENGINES) {
        ENGINE_ANSWER_MS
    } else {
        HEAD_MS
    }
}

fn vm(index: usize) -> VmId {
    id(&format!("vm-{index}"))
}
