//! Daemons that are killed, frozen, cut off and joined while their upstreams fail, in virtual time. Counts what
//! upstreams get.

#![allow(dead_code, reason = "each test file uses a part")]

use super::dispatch::{batch, id, ms, node::Node, plain_call};
use persimmon_core::{
    dispatch::{
        AnswerOrigin, DispatchAction, DispatchEvent, DispatchMessage, RawDispatchSettings,
        SendOutcome,
    },
    ids::{CallId, SendId, VmId},
    path::PathAttempts,
    units::Time,
    watch::Topic,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Settings of the budget in these fleets.
pub(crate) const RATIO: f64 = 0.2;
pub(crate) const ALLOWANCE_REQUESTS: f64 = 40.0;
pub(crate) const WINDOW_MS: u64 = 4_000;

const STEP_MS: u64 = 10;
const UPSTREAMS_LEN: u16 = 40;

/// Time from the end of a process to the start of the next one on its VM.
const RESTART_MS: u64 = 300;

/// Time until a peer notices that a process has ended without a word.
const SILENCE_MS: u64 = 1_500;

/// Time from the start of a process until its links are up.
const CONNECT_MS: u64 = 200;

const MESSAGE_MS: u64 = 2;

/// Version of the store once a daemon has read the catalog and the upstreams.
const STORE_VERSION: u64 = 2;

/// How upstreams answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mood {
    Sound,
    /// Nine in ten requests fail: with an error, a refusal, a broken connection or one that can't be opened.
    Failing,
    /// The same after a long time, so that calls queue for free upstreams.
    Stalling,
}

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub(crate) enum Trouble {
    Mood(Mood),
    Kill(usize),
    KillAll,
    Freeze {
        vm: usize,
        span_ms: u64,
    },
    /// A daemon is cut off from all others.
    Cut {
        vm: usize,
        span_ms: u64,
    },
    /// The daemons are divided into two halves.
    Divide {
        span_ms: u64,
    },
    /// A new VM joins.
    Join,
    /// Callers come to this VM instead of the others.
    Crowd {
        vm: usize,
        span_ms: u64,
    },
}

struct Vm {
    name: VmId,
    node: Option<Node>,
    started_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    inbox: BTreeMap<(u64, u64), DispatchEvent>,
    linked: BTreeSet<usize>,
}

impl Vm {
    fn is_frozen(&self, now_ms: u64) -> bool {
        now_ms < self.frozen_until_ms
    }
}

/// A request at an upstream: which one, and whether it counts.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    is_repeat: bool,
}

pub(crate) struct BudgetFleet {
    vms: Vec<Vm>,
    rng: ChaCha8Rng,
    pub(crate) now_ms: u64,
    events_count: u64,
    calls_count: u64,
    mood: Mood,
    divided_until_ms: u64,
    crowd: Option<(usize, u64)>,
    per_s: f64,
    due_calls: f64,
    requests: Vec<u64>,
    arrivals: Vec<Arrival>,
    seen: HashSet<(usize, u64, u64)>,
}

impl BudgetFleet {
    /// Daemons that have run for a while, with callers who send `per_s` requests a second to all of them together.
    pub(crate) fn new(seed: u64, daemons_len: usize, per_s: f64) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            events_count: 0,
            calls_count: 0,
            mood: Mood::Sound,
            divided_until_ms: 0,
            crowd: None,
            per_s,
            due_calls: 0.0,
            requests: Vec::new(),
            arrivals: Vec::new(),
            seen: HashSet::new(),
        };
        (0..daemons_len).for_each(|_| fleet.join());
        fleet.pass(3 * WINDOW_MS);
        fleet
    }

    pub(crate) fn apply(&mut self, trouble: &Trouble) {
        let vm = |index: usize| index % self.vms.len();
        match *trouble {
            Trouble::Mood(mood) => self.mood = mood,
            Trouble::Kill(index) => self.kill(vm(index)),
            Trouble::KillAll => (0..self.vms.len()).for_each(|index| self.kill(index)),
            Trouble::Freeze { vm: index, span_ms } => {
                let index = vm(index);
                self.vms[index].frozen_until_ms = self.now_ms + span_ms;
            }
            Trouble::Cut { vm: index, span_ms } => {
                let index = vm(index);
                self.vms[index].cut_until_ms = self.now_ms + span_ms;
            }
            Trouble::Divide { span_ms } => self.divided_until_ms = self.now_ms + span_ms,
            Trouble::Join => self.join(),
            Trouble::Crowd { vm: index, span_ms } => {
                self.crowd = Some((vm(index), self.now_ms + span_ms));
            }
        }
    }

    fn join(&mut self) {
        self.vms.push(Vm {
            name: id(&format!("vm-{}", self.vms.len())),
            node: None,
            started_ms: self.now_ms,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            inbox: BTreeMap::new(),
            linked: BTreeSet::new(),
        });
    }

    fn kill(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.node = None;
        vm.frozen_until_ms = 0;
        vm.inbox.clear();
        vm.started_ms = self.now_ms + RESTART_MS;
        for peer in std::mem::take(&mut vm.linked) {
            self.unlink(peer, index, SILENCE_MS);
        }
    }

    /// A peer notices that the link to another daemon is lost.
    fn unlink(&mut self, peer: usize, lost: usize, after_ms: u64) {
        self.vms[peer].linked.remove(&lost);
        let vm = self.vms[lost].name.clone();
        self.post(peer, after_ms, DispatchEvent::PeerDown { vm });
    }

    fn post(&mut self, index: usize, after_ms: u64, event: DispatchEvent) {
        self.events_count += 1;
        let key = (self.now_ms + after_ms, self.events_count);
        self.vms[index].inbox.insert(key, event);
    }

    /// Whether two daemons can reach each other.
    fn can_link(&self, a: usize, b: usize) -> bool {
        let is_up = |index: usize| {
            let vm = &self.vms[index];
            let is_connected = self.now_ms >= vm.started_ms + CONNECT_MS;
            vm.node.is_some() && is_connected && self.now_ms >= vm.cut_until_ms
        };
        let is_divided = self.now_ms < self.divided_until_ms && a % 2 != b % 2;
        a != b && is_up(a) && is_up(b) && !is_divided
    }

    fn update_links(&mut self) {
        for a in 0..self.vms.len() {
            for b in 0..a {
                let linked = self.vms[a].linked.contains(&b);
                if self.can_link(a, b) == linked {
                    continue;
                }
                for (own, peer) in [(a, b), (b, a)] {
                    if linked {
                        self.unlink(own, peer, SILENCE_MS);
                    } else {
                        self.vms[own].linked.insert(peer);
                        let vm = self.vms[peer].name.clone();
                        self.post(own, MESSAGE_MS, DispatchEvent::PeerUp { vm });
                    }
                }
            }
        }
    }

    pub(crate) fn pass(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.start_due();
            self.update_links();
            self.send_calls();
            for index in 0..self.vms.len() {
                if !self.vms[index].is_frozen(self.now_ms) {
                    self.run(index);
                }
            }
        }
    }

    fn start_due(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].node.is_some() || self.now_ms < self.vms[index].started_ms {
                continue;
            }
            let mut node = Node::started(
                self.vms[index].name.as_str(),
                RawDispatchSettings {
                    retry_ratio: RATIO,
                    retry_allowance_requests: ALLOWANCE_REQUESTS,
                    retry_window_s: WINDOW_MS as f64 / 1_000.0,
                    ..RawDispatchSettings::default()
                },
            );
            node.learn(0, UPSTREAMS_LEN);
            self.vms[index].node = Some(node);
            self.vms[index].started_ms = self.now_ms;
            // All VMs have registered before it reads the list.
            let event = DispatchEvent::DaemonsListed {
                vms: self.vms.iter().map(|vm| vm.name.clone()).collect(),
                age_ms: ms(MESSAGE_MS),
            };
            self.post(index, MESSAGE_MS, event);
            // The reads that followed the first answers.
            for topic in [Topic::Operators, Topic::Upstreams] {
                self.answer_read(index, topic, 0);
            }
        }
    }

    fn send_calls(&mut self) {
        self.due_calls += self.per_s * STEP_MS as f64 / 1_000.0;
        while self.due_calls >= 1.0 {
            self.due_calls -= 1.0;
            self.requests.push(self.now_ms);
            let drawn = self.rng.random_range(0..self.vms.len());
            let crowd = self.crowd.filter(|(_, until_ms)| self.now_ms < *until_ms);
            let index = crowd.map_or(drawn, |(index, _)| index);
            self.calls_count += 1;
            let call = plain_call("status", self.calls_count);
            if self.vms[index].node.is_some() {
                self.post(index, 0, DispatchEvent::Arrived(Box::new(call)));
            }
        }
    }

    /// Handles what has come to a daemon.
    fn run(&mut self, index: usize) {
        loop {
            let vm = &mut self.vms[index];
            let Some(node) = &mut vm.node else { return };
            node.now = Time::START + ms(self.now_ms - vm.started_ms);
            let due = vm.inbox.first_key_value();
            let event = match due {
                Some(((at_ms, _), _)) if *at_ms <= self.now_ms => {
                    vm.inbox.pop_first().map(|(_, event)| event)
                }
                _ => None,
            };
            let is_last = event.is_none();
            if is_last && node.dispatcher.next_wakeup() > node.now {
                return;
            }
            let mut actions = Vec::new();
            let event = event.unwrap_or(DispatchEvent::Tick);
            node.dispatcher.handle(node.now, event, &mut actions);
            self.act(index, actions);
            if is_last {
                return;
            }
        }
    }

    fn act(&mut self, index: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send(plan) => self.transmit(index, plan.call, plan.send),
                DispatchAction::Notify { to, message } => self.notify(index, to, &message),
                DispatchAction::ReadStore(call) => {
                    self.answer_read(index, call.topic, call.wait_ms.get());
                }
                _ => {}
            }
        }
    }

    /// Nothing changes in the store.
    fn answer_read(&mut self, index: usize, topic: Topic, wait_ms: u64) {
        let event = DispatchEvent::StoreAnswered {
            topic,
            answer: Ok(Box::new(batch(STORE_VERSION, false, Vec::new()))),
        };
        self.post(index, wait_ms + MESSAGE_MS, event);
    }

    fn notify(&mut self, index: usize, to: Option<VmId>, message: &DispatchMessage) {
        let vm = self.vms[index].name.clone();
        let peers: Vec<_> = self.vms[index].linked.iter().copied().collect();
        for peer in peers {
            if to.as_ref().is_none_or(|to| *to == self.vms[peer].name) {
                let event = DispatchEvent::PeerMessage {
                    vm: vm.clone(),
                    message: message.clone(),
                };
                self.post(peer, MESSAGE_MS, event);
            }
        }
    }

    fn transmit(&mut self, index: usize, call: CallId, send: SendId) {
        let end = self.outcome();
        let answer_ms = match self.mood {
            Mood::Stalling => self.rng.random_range(200..1_000),
            Mood::Sound | Mood::Failing => self.rng.random_range(10..60),
        };
        let way_ms = self.rng.random_range(1..20);
        if !matches!(end, SendOutcome::NotSent { .. }) {
            let is_repeat = !self.seen.insert((0, 0, call.get()));
            self.arrivals.push(Arrival {
                at_ms: self.now_ms + way_ms,
                is_repeat,
            });
        }
        self.post(
            index,
            way_ms + answer_ms,
            DispatchEvent::Ended { call, send, end },
        );
    }

    fn outcome(&mut self) -> SendOutcome {
        let drawn = self.rng.random_range(0..10);
        match drawn {
            _ if self.mood == Mood::Sound => SendOutcome::Delivered,
            0 => SendOutcome::Delivered,
            1 => SendOutcome::NotSent {
                reason: String::new(),
                timed_out: false,
                attempts: PathAttempts::default(),
            },
            2 => SendOutcome::Lost {
                reason: String::new(),
                stalled: false,
            },
            _ => SendOutcome::Failed {
                status: if drawn < 5 { 503 } else { 500 },
                not_run: drawn < 5,
                wrong_upstream: false,
                culprit: None,
                retry_after_ms: None,
                origin: AnswerOrigin::default(),
            },
        }
    }

    /// Number of repeats that upstreams got.
    pub(crate) fn repeats_len(&self) -> usize {
        let repeats = self.arrivals.iter().filter(|arrival| arrival.is_repeat);
        repeats.count()
    }

    /// The window that is furthest over the budget, or next to it: the repeats in it and those allowed.
    pub(crate) fn worst_window(&self) -> Option<(usize, f64)> {
        let mut repeats: Vec<_> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.is_repeat)
            .map(|arrival| arrival.at_ms)
            .collect();
        repeats.sort_unstable();
        let len_in = |times: &[u64], from_ms: u64| {
            let until = times.partition_point(|at| *at <= from_ms + WINDOW_MS);
            until - times.partition_point(|at| *at < from_ms)
        };
        let windows = repeats.iter().map(|from_ms| {
            let earlier = [0, WINDOW_MS / 2, WINDOW_MS];
            let requests = earlier
                .iter()
                .map(|ms| len_in(&self.requests, from_ms.saturating_sub(*ms)));
            let requests = requests.max().unwrap_or_default();
            let allowed = requests as f64 * RATIO + ALLOWANCE_REQUESTS;
            (len_in(&repeats, *from_ms), allowed)
        });
        windows.max_by(|a, b| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1)))
    }
}
