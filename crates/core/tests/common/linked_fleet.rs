//! Daemons and upstreams in virtual time. Some daemons lose their links to all upstreams, while callers and the
//! other daemons still reach them.

#![allow(dead_code, reason = "each test file uses a part")]

use super::dispatch::{id, ms, node::Node, KEY};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        Call, DispatchAction, DispatchEvent, DispatchMessage, PromptSize, QuarantineMessage,
        SendOutcome, SendPlan,
    },
    ids::{CallId, Fingerprint, VmId},
    units::{Millis, Time, Tokens},
};
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: Millis = Millis::new(1);

/// Time from a request's arrival at an engine to its first event, and to the end of its answer.
const ENGINE_FIRST_MS: Millis = Millis::new(100);
const ENGINE_ANSWER_MS: Millis = Millis::new(800);

/// Time from a request's arrival at a plain upstream to its answer.
const PLAIN_ANSWER_MS: Millis = Millis::new(30);

/// Time until a refused connection is known.
const REFUSED_MS: Millis = Millis::new(2);

/// Time limit of the transport for connecting.
const CONNECT_TIMEOUT_MS: Millis = Millis::new(400);

/// Time between two reads of operators' writes.
const READ_INTERVAL_MS: u64 = 500;

/// What happens to connections over a lost link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lost {
    /// Open ones are reset and new ones refused.
    Refuses,
    /// All hang.
    Hangs,
}

/// A request that was sent to an upstream, or is being sent.
struct Transmission {
    daemon: usize,
    plan: SendPlan,
    state: State,
    since: Time,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum State {
    Connecting,
    Working,
    Answering,
    /// The link is lost, and no byte arrives any more.
    Silent,
}

/// How a caller's first attempt ended.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    daemon: usize,
    at: Time,
    is_served: Option<bool>,
}

pub(crate) struct LinkedFleet {
    nodes: Vec<Node>,
    pub(crate) now: Time,
    cut: Option<(Lost, BTreeSet<usize>)>,
    transmissions: Vec<Transmission>,
    attempts: BTreeMap<(usize, CallId), Attempt>,
    /// Ejections and crashes of upstreams that daemons have reported to their peers.
    pub(crate) ejections_len: usize,
    pub(crate) crashes_len: usize,
}

impl LinkedFleet {
    pub(crate) fn new(daemons_len: usize, engines_len: u16, plain_len: u16) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Time::START,
            cut: None,
            transmissions: Vec::new(),
            attempts: BTreeMap::new(),
            ejections_len: 0,
            crashes_len: 0,
        };
        for index in 0..daemons_len {
            let mut node = Node::named(&vm(index).to_string());
            node.learn(engines_len, plain_len);
            fleet.nodes.push(node);
        }
        for (one, other) in fleet.pairs() {
            fleet.handle(one, DispatchEvent::PeerUp { vm: vm(other) });
        }
        // Limits are shared with daemons that may connect in the first seconds.
        fleet.pass(ms(6_000));
        fleet
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let indexes = 0..self.nodes.len();
        let pairs = indexes
            .clone()
            .flat_map(|one| indexes.clone().map(move |other| (one, other)));
        pairs.filter(|(one, other)| one != other).collect()
    }

    /// The links of these daemons to all upstreams are lost.
    pub(crate) fn lose_links(&mut self, lost: Lost, daemons: &[usize]) {
        self.cut = Some((lost, daemons.iter().copied().collect()));
        let (broken, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.transmissions)
            .into_iter()
            .partition(|sent| daemons.contains(&sent.daemon));
        self.transmissions = open;
        for mut sent in broken {
            if lost == Lost::Refuses {
                self.end(&sent, lost_answer());
            } else {
                sent.state = State::Silent;
                self.transmissions.push(sent);
            }
        }
    }

    pub(crate) fn restore_links(&mut self) {
        self.cut = None;
    }

    fn lost_link(&self, daemon: usize) -> Option<Lost> {
        let cut = self.cut.as_ref();
        cut.filter(|(_, daemons)| daemons.contains(&daemon))
            .map(|(lost, _)| *lost)
    }

    /// First attempts of callers at all daemons in turn, of all kinds, for a time.
    pub(crate) fn traffic(&mut self, per_s: u64, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            let number = self.attempts.len();
            let route = match number % 8 {
                3 => "order",
                5 => "status",
                _ => "alarm",
            };
            self.call(number * 7 / 3 % self.nodes.len(), route);
            self.pass(ms(1_000 / per_s));
        }
    }

    pub(crate) fn call(&mut self, daemon: usize, route: &str) {
        let call = CallId::new(self.attempts.len() as u64 + 1);
        let attempt = Attempt {
            daemon,
            at: self.now,
            is_served: None,
        };
        self.attempts.insert((daemon, call), attempt);
        let event = DispatchEvent::Arrived(Box::new(Call {
            id: call,
            request_id: format!("request-{call}").into(),
            host: "cells.example".into(),
            path: format!("/{route}/x"),
            key: Some(ApiKey::from(KEY)),
            deadline_ms: Some(ms(10_000)),
            prompt: (route == "alarm").then(|| PromptSize {
                prompt_tokens: Tokens::new(5_000),
                output_tokens: Tokens::new(600),
            }),
            fingerprints: Vec::new(),
            content: Fingerprint::new(call.get()),
            age_ms: Millis::ZERO,
        }));
        self.handle(daemon, event);
    }

    pub(crate) fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP_MS;
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
            self.progress_transmissions();
        }
    }

    fn progress_transmissions(&mut self) {
        let due = |sent: &Transmission, now: Time| sent.due_at().is_some_and(|at| at <= now);
        while let Some(index) = self
            .transmissions
            .iter()
            .position(|sent| due(sent, self.now))
        {
            let mut sent = self.transmissions.swap_remove(index);
            match sent.state {
                State::Connecting => self.connect(sent),
                State::Working => {
                    let (call, send) = (sent.plan.call, sent.plan.send);
                    sent.state = State::Answering;
                    let daemon = sent.daemon;
                    self.transmissions.push(sent);
                    self.handle(daemon, DispatchEvent::FirstByte { call, send });
                }
                State::Answering => {
                    self.set_served(sent.daemon, sent.plan.call, true);
                    self.end(&sent, SendOutcome::Delivered);
                }
                State::Silent => self.end(&sent, lost_answer()),
            }
        }
    }

    /// The request is sent once a connection is there.
    fn connect(&mut self, mut sent: Transmission) {
        match self.lost_link(sent.daemon) {
            Some(lost) => self.end(
                &sent,
                SendOutcome::NotSent {
                    reason: "not reached".to_owned(),
                    timed_out: lost == Lost::Hangs,
                },
            ),
            None => {
                sent.state = State::Working;
                sent.since = self.now;
                self.transmissions.push(sent);
            }
        }
    }

    fn end(&mut self, sent: &Transmission, end: SendOutcome) {
        let (call, send) = (sent.plan.call, sent.plan.send);
        self.handle(sent.daemon, DispatchEvent::Ended { call, send, end });
    }

    fn handle(&mut self, daemon: usize, event: DispatchEvent) {
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
                let connecting_ms = match self.lost_link(daemon) {
                    Some(Lost::Hangs) => CONNECT_TIMEOUT_MS,
                    Some(Lost::Refuses) | None => REFUSED_MS,
                };
                self.transmissions.push(Transmission {
                    daemon,
                    plan: *plan,
                    state: State::Connecting,
                    since: self.now + connecting_ms,
                });
            }
            DispatchAction::Refuse { call, .. } => {
                self.transmissions
                    .retain(|sent| (sent.daemon, sent.plan.call) != (daemon, call));
                self.set_served(daemon, call, false);
            }
            DispatchAction::CheckUpstream { upstream, .. } => {
                let has_ended = self.lost_link(daemon) == Some(Lost::Refuses);
                let event = DispatchEvent::UpstreamChecked {
                    upstream,
                    has_ended,
                };
                self.handle(daemon, event);
            }
            DispatchAction::Notify { to, message } => {
                self.count_reports(&message);
                for other in (0..self.nodes.len()).filter(|other| *other != daemon) {
                    if to.as_ref().is_none_or(|to| *to == vm(other)) {
                        let (vm, message) = (vm(daemon), message.clone());
                        self.handle(other, DispatchEvent::PeerMessage { vm, message });
                    }
                }
            }
            _ => {}
        }
    }

    fn count_reports(&mut self, message: &DispatchMessage) {
        match message {
            DispatchMessage::Batch(messages) => {
                for message in messages {
                    self.count_reports(message);
                }
            }
            DispatchMessage::UpstreamEjected { .. } => self.ejections_len += 1,
            DispatchMessage::Quarantine(QuarantineMessage::Crashed(_)) => self.crashes_len += 1,
            _ => {}
        }
    }

    fn set_served(&mut self, daemon: usize, call: CallId, is_served: bool) {
        if let Some(attempt) = self.attempts.get_mut(&(daemon, call)) {
            attempt.is_served.get_or_insert(is_served);
        }
    }

    /// First attempts at some daemons since a time that have ended: how many were served, and how many there were.
    pub(crate) fn served_since(&self, since: Time, at: impl Fn(usize) -> bool) -> (usize, usize) {
        let attempts = self.attempts.values();
        let ended = attempts.filter(|attempt| attempt.at >= since && at(attempt.daemon));
        let ends: Vec<_> = ended.filter_map(|attempt| attempt.is_served).collect();
        (ends.iter().filter(|served| **served).count(), ends.len())
    }
}

impl Transmission {
    /// When the next step is due.
    fn due_at(&self) -> Option<Time> {
        let is_engine = self.plan.streaming;
        let after_ms = match self.state {
            State::Connecting => Millis::ZERO,
            State::Working if is_engine => ENGINE_FIRST_MS,
            State::Working => PLAIN_ANSWER_MS,
            State::Answering if is_engine => ENGINE_ANSWER_MS.saturating_sub(ENGINE_FIRST_MS),
            State::Answering => Millis::ZERO,
            State::Silent => return None,
        };
        Some(self.since + after_ms)
    }
}

fn lost_answer() -> SendOutcome {
    SendOutcome::Lost {
        reason: "connection error".to_owned(),
        stalled: false,
    }
}

fn vm(index: usize) -> VmId {
    id(&format!("vm-{index}"))
}
