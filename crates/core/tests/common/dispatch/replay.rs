//! Replays a load against model engines, through the dispatchers of several daemons or through simple
//! policies. It runs in virtual time and is deterministic for a seed.

use super::{
    attempts, batch,
    callers::{Attempt, Callers, Refused, ReturnTally},
    daemons_listed,
    engine::{is_ticket_of, Engine, Job, Progress},
    id,
    site::Site,
    upstream_list, ENGINES, KEY,
};
use persimmon_core::{
    catalog::{ApiKey, RawCatalog},
    dispatch::{
        Call, DispatchAction, DispatchEvent, DispatchMessage, DispatchRecord, DispatchSettings,
        Dispatcher, OrderKind, OrderOutcome, PromptSize, RawDispatchSettings, ReserveOrder,
        SendOutcome, SendPlan,
    },
    ids::{CallId, FailureDomain, Fingerprint, VmId},
    path::PathEnd,
    units::{ByteCount, Millis, Time, Tokens},
    watch::{Change, Topic},
};
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::{collections::BTreeMap, fmt, ops::Range};

/// Kinds of requests on the first site.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "alarm",
        mean: 4_960.0,
        spread: 0.9,
        max: 23_800.0,
        timeout_ms: 10_000,
        events: 33.0,
        target: 300.0,
        pause: 250.0,
        worth: 1.3,
        late: 0.33,
    },
    Kind {
        name: "review",
        mean: 45_000.0,
        spread: 0.5,
        max: 110_000.0,
        timeout_ms: 10_000,
        events: 20.0,
        target: 1_500.0,
        pause: 600.0,
        worth: 4.2,
        late: 1.0,
    },
    Kind {
        name: "digest",
        mean: 154_000.0,
        spread: 0.55,
        max: 280_000.0,
        timeout_ms: 15_000,
        events: 16.0,
        target: 3_000.0,
        pause: 1_000.0,
        worth: 21.0,
        late: 5.2,
    },
];

/// Peers that a daemon with 0.12 of a core notifies in a millisecond.
const PEERS_NOTIFIED_PER_MS: u64 = 4;

/// Time after which a connection to an engine that is cut off fails.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// A kind of request: sizes in tokens, times in ms, `worth` and `late` in credit for an answer that is
/// on time or late.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) mean: f64,
    pub(crate) spread: f64,
    pub(crate) max: f64,
    pub(crate) timeout_ms: u64,
    pub(crate) events: f64,
    pub(crate) target: f64,
    pub(crate) pause: f64,
    pub(crate) worth: f64,
    pub(crate) late: f64,
}

/// Arrival rates of each kind for a span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) span_ms: u64,
    pub(crate) per_s: [f64; 3],
}

/// A workspace's key, and its arrival rates as a multiple of those of the phase.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) key: &'static str,
    pub(crate) rate_ratio: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Dispatcher,
    LeastOutstanding,
    RoundRobin,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Callers who left before the first event.
    pub(crate) left: u32,
    /// Requests of a daemon that was killed.
    pub(crate) lost: u32,
    /// Late responses by cause: the first event, a gap, or both.
    pub(crate) late_by: [u32; 3],
}

impl Tally {
    pub(crate) fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            left: self.left + other.left,
            lost: self.lost + other.lost,
            late_by: [0, 1, 2].map(|cause| self.late_by[cause] + other.late_by[cause]),
        }
    }
}

/// The results for callers.
#[derive(Debug, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) kinds: [Tally; 3],
    pub(crate) names: [&'static str; 3],
    /// Times that an engine ran out of KV memory.
    pub(crate) overruns_count: u32,
    /// Credit earned, as a share of the credit for all answers on time.
    pub(crate) credit: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, tally) in self.names.iter().zip(self.kinds) {
            let Tally {
                asked,
                on_time,
                late,
                refused,
                left,
                ..
            } = tally;
            writeln!(
                f,
                "{name}: {asked} asked, {on_time} on time, {late} late, {refused} refused, {left} left"
            )?;
        }
        write!(f, "credit {:.2}", self.credit)
    }
}

struct Request {
    kind: usize,
    caller: usize,
    arrived: f64,
    first: Option<f64>,
    pause: f64,
    done: bool,
    sent: Option<SendPlan>,
    daemon: usize,
    engine: usize,
    prompt: Tokens,
    events: u32,
    attempt: Attempt,
    deadline_at: u64,
}

pub(crate) struct Replay {
    policy: Policy,
    pub(super) site: Site,
    daemons: Vec<Dispatcher>,
    engines: Vec<Engine>,
    requests: BTreeMap<u64, Request>,
    orders: Vec<(u64, usize, ReserveOrder)>,
    messages: Vec<(u64, usize, usize, DispatchMessage)>,
    /// Pairs of daemons that are not connected yet, and when they will be.
    connecting: Vec<(u64, usize, usize)>,
    held: Vec<(u64, usize, Topic)>,
    rng: ChaCha8Rng,
    rounds: usize,
    callers: Vec<Caller>,
    /// Time until the first peer has a message.
    pub(crate) message_delay_ms: u64,
    /// Number of calls held back for the share of each workspace.
    pub(crate) held_counts: BTreeMap<String, u32>,
    tallies: Vec<[Tally; 3]>,
    /// The failure domain that is cut off, and when.
    cut: Option<(FailureDomain, Range<u64>)>,
    /// Transmissions that fail, and when.
    failing: Vec<(u64, usize, SendPlan)>,
    failed_sends_count: usize,
    /// What refused callers do.
    retries: Callers,
    pub(crate) faults: Faults,
}

/// Faults of daemons in a replay.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Messages between this pair of daemons take a second within this time.
    pub(crate) slow_link: Option<(usize, usize, Range<u64>)>,
    /// This daemon is killed at this time.
    pub(crate) killed: Option<(u64, usize)>,
}

impl Replay {
    pub(crate) fn new(policy: Policy, daemons_len: usize, engines_len: u16, seed: u64) -> Self {
        let settings = RawDispatchSettings::default();
        Self::with_settings(policy, daemons_len, engines_len, seed, settings)
    }

    /// Daemons with these settings.
    pub(crate) fn with_settings(
        policy: Policy,
        daemons_len: usize,
        engines_len: u16,
        seed: u64,
        settings: RawDispatchSettings,
    ) -> Self {
        let site = Site::first();
        Self::on_site(site, settings, policy, daemons_len, engines_len, seed)
    }

    pub(crate) fn on_site(
        site: Site,
        settings: RawDispatchSettings,
        policy: Policy,
        daemons_len: usize,
        engines_len: u16,
        seed: u64,
    ) -> Self {
        let caller = Caller {
            key: KEY,
            rate_ratio: 1.0,
        };
        let mut replay = Self::empty(policy, engines_len, seed, site, vec![caller]);
        replay.connect_all(&settings, daemons_len, engines_len);
        replay
    }

    /// Connected daemons with these settings, for several workspaces.
    pub(crate) fn shared(
        settings: &RawDispatchSettings,
        (daemons_len, engines_len, seed): (usize, u16, u64),
        catalog: RawCatalog,
        callers: Vec<Caller>,
    ) -> Self {
        let site = Site {
            catalog,
            ..Site::first()
        };
        let mut replay = Self::empty(Policy::Dispatcher, engines_len, seed, site, callers);
        replay.connect_all(settings, daemons_len, engines_len);
        replay
    }

    fn empty(
        policy: Policy,
        engines_len: u16,
        seed: u64,
        site: Site,
        callers: Vec<Caller>,
    ) -> Self {
        Self {
            policy,
            message_delay_ms: site.delay_ms,
            site,
            daemons: Vec::new(),
            engines: (0..engines_len).map(|_| Engine::default()).collect(),
            requests: BTreeMap::new(),
            orders: Vec::new(),
            messages: Vec::new(),
            connecting: Vec::new(),
            held: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            rounds: 0,
            tallies: vec![Default::default(); callers.len()],
            callers,
            held_counts: BTreeMap::new(),
            cut: None,
            failing: Vec::new(),
            failed_sends_count: 0,
            faults: Faults::default(),
            retries: Callers::default(),
        }
    }

    fn connect_all(&mut self, raw: &RawDispatchSettings, daemons_len: usize, engines_len: u16) {
        let settings = DispatchSettings::try_from(raw.clone()).unwrap();
        let daemon = |index| Dispatcher::new(settings.clone(), vm(index), id("a"));
        self.daemons = (0..daemons_len).map(daemon).collect();
        for to in 0..daemons_len {
            self.learn(0, to, engines_len);
            self.handle(0, to, daemons_listed((0..daemons_len).map(vm)));
            for from in (0..daemons_len).filter(|from| *from != to) {
                self.handle(0, to, DispatchEvent::PeerUp { vm: vm(from) });
            }
        }
    }

    /// Cuts all links between daemons for good.
    pub(crate) fn cut_links(&mut self) {
        self.message_delay_ms = u64::from(u32::MAX);
        for to in 0..self.daemons.len() {
            for from in (0..self.daemons.len()).filter(|from| *from != to) {
                self.handle(0, to, DispatchEvent::PeerDown { vm: vm(from) });
            }
        }
    }

    /// What callers of a workspace got, by kind.
    pub(crate) fn tally(&self, caller: usize) -> [Tally; 3] {
        self.tallies[caller]
    }

    /// Daemons that have all restarted at once: they know the catalog and the upstreams, and connect to
    /// each other between `connect_ms.0` and `connect_ms.1`.
    pub(crate) fn restarted(
        daemons_len: usize,
        engines_len: u16,
        seed: u64,
        connect_ms: (u64, u64),
    ) -> Self {
        let mut replay = Self::new(Policy::Dispatcher, 0, engines_len, seed);
        let settings = DispatchSettings::try_from(RawDispatchSettings::default()).unwrap();
        for index in 0..daemons_len {
            let daemon = Dispatcher::new(settings.clone(), vm(index), id("a"));
            replay.daemons.push(daemon);
            replay.learn(0, index, engines_len);
            replay.handle(0, index, daemons_listed((0..daemons_len).map(vm)));
            for other in 0..index {
                let span_ms = (connect_ms.1 - connect_ms.0) as f64;
                let at = connect_ms.0 + (replay.draw() * span_ms) as u64;
                replay.connecting.push((at, index, other));
            }
        }
        replay
    }

    /// Lets refused callers return when told to. Some of them also repeat at once, three times as often.
    pub(crate) fn let_callers_return(&mut self, impatient_ratio: f64) {
        self.retries.impatient_ratio = Some(impatient_ratio);
    }

    /// What refused callers met with.
    pub(crate) fn return_tally(&self) -> ReturnTally {
        self.retries.tally
    }

    /// Cuts a failure domain off for a time: connections to its engines fail.
    pub(crate) fn cut_domain(&mut self, domain: &str, from: u64, until: u64) {
        self.cut = Some((id(domain), from..until));
    }

    /// Number of transmissions to engines that were cut off.
    pub(crate) fn failed_sends_count(&self) -> usize {
        self.failed_sends_count
    }

    /// Replays the phases, and then runs until all requests are done, for at most 20 s.
    pub(crate) fn play(&mut self, phases: &[Phase]) -> Outcome {
        let mut now = 0;
        for phase in phases {
            let end = now + phase.span_ms;
            while now < end {
                self.arrivals(now, phase);
                self.step(now);
                now += 1;
            }
        }
        let end = now + 20_000;
        while now < end
            && (self.retries.has_due() || self.requests.values().any(|request| !request.done))
        {
            self.step(now);
            now += 1;
        }
        self.outcome()
    }

    fn outcome(&self) -> Outcome {
        let (mut owed, mut earned) = (0.0, 0.0);
        let kinds = [0, 1, 2].map(|kind| {
            let tallies = self.tallies.iter().map(|kinds| kinds[kind]);
            tallies.fold(Tally::default(), Tally::add)
        });
        for (kind, tally) in self.site.kinds.iter().zip(kinds) {
            owed += f64::from(tally.asked) * kind.worth;
            earned += f64::from(tally.on_time) * kind.worth + f64::from(tally.late) * kind.late;
        }
        Outcome {
            kinds,
            names: self.site.kinds.map(|kind| kind.name),
            overruns_count: self
                .engines
                .iter()
                .map(|engine| engine.overruns_count)
                .sum(),
            credit: earned / owed,
        }
    }

    fn arrivals(&mut self, now: u64, phase: &Phase) {
        for caller in 0..self.callers.len() {
            let rate_ratio = self.callers[caller].rate_ratio;
            for (kind, per_s) in phase.per_s.into_iter().enumerate() {
                if self.draw() < per_s * rate_ratio / 1_000.0 {
                    self.arrive(now, caller, kind);
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, caller: usize, kind: usize) {
        let figures = self.site.kinds[kind];
        let prompt = self.size(figures.mean, figures.spread).min(figures.max);
        let events = self
            .size(figures.events, 0.6)
            .clamp(1.0, figures.events * 2.5) as u32;
        let prompt = Tokens::new(prompt as u64);
        let tag = self.requests.len() as u64 + 1;
        let mut daemon = (self.draw() * self.daemons.len() as f64) as usize;
        if self.is_killed(now, daemon) {
            daemon = (daemon + 1) % self.daemons.len();
        }
        self.tallies[caller][kind].asked += 1;
        let request = Request {
            kind,
            caller,
            arrived: now as f64,
            first: None,
            pause: 0.0,
            done: false,
            sent: None,
            daemon,
            engine: 0,
            prompt,
            events,
            attempt: Attempt::first(tag),
            deadline_at: now + figures.timeout_ms,
        };
        self.ask(now, tag, request);
    }

    fn ask(&mut self, now: u64, tag: u64, request: Request) {
        let (daemon, prompt, events) = (request.daemon, request.prompt, request.events);
        let (figures, content) = (self.site.kinds[request.kind], request.attempt.content);
        let key = self.callers[request.caller].key;
        let deadline_ms = Millis::new(request.deadline_at - now);
        self.requests.insert(tag, request);
        if self.policy != Policy::Dispatcher {
            let engine = self.simple_policy();
            return self.run(tag, engine, &[]);
        }
        let event = DispatchEvent::Arrived(Box::new(Call {
            id: CallId::new(tag),
            request_id: format!("request-{tag}").into(),
            host: "cells.example".into(),
            path: format!("/{}/x", figures.name),
            key: Some(ApiKey::from(key)),
            deadline_ms: Some(deadline_ms),
            prompt: Some(PromptSize {
                prompt_tokens: prompt,
                output_tokens: Tokens::new(u64::from(events) * self.site.event_tokens),
            }),
            fingerprints: Vec::new(),
            content: Fingerprint::new(content),
            body_bytes: ByteCount::ZERO,
            prefix: Default::default(),
            age_ms: Millis::ZERO,
        }));
        self.handle(now, daemon, event);
    }

    /// Sends the requests of refused callers that repeat them now.
    fn repeats(&mut self, now: u64) {
        for repeat in self.retries.take_due(now) {
            let request = &self.requests[&repeat.last];
            if request.deadline_at <= now || !self.retries.is_refused(repeat.attempt.content) {
                continue;
            }
            let request = Request {
                arrived: now as f64,
                first: None,
                pause: 0.0,
                done: false,
                sent: None,
                daemon: 0,
                engine: 0,
                attempt: repeat.attempt,
                ..*request
            };
            let daemon = (self.draw() * self.daemons.len() as f64) as usize;
            let tag = self.requests.len() as u64 + 1;
            self.retries.on_asked(repeat.attempt.content);
            self.ask(now, tag, Request { daemon, ..request });
        }
    }

    fn on_refused(&mut self, now: u64, daemon: usize, tag: u64, retry_ms: Option<Millis>) {
        let mut spare_slots_len = self.spare_slots_len(now, daemon);
        let request = self.requests.get_mut(&tag).unwrap();
        request.done = true;
        let profile = self.site.profile();
        let ready_ms = profile.prefill_ms(request.prompt) + 2.0 * profile.pass_ms(0.0);
        if now as f64 + ready_ms > request.arrived + self.site.kinds[request.kind].target {
            // A late call leaves free slots to the arrivals that can be on time.
            spare_slots_len = 0;
        }
        let (kind, attempt) = (request.kind, request.attempt);
        let caller = request.caller;
        let refused = Refused {
            tag,
            attempt,
            left_ms: request.deadline_at.saturating_sub(now),
            retry_ms: retry_ms.map(Millis::get),
            spare_slots_len,
        };
        let drawn = if self.retries.impatient_ratio.is_some() {
            self.draw()
        } else {
            0.0
        };
        let gives_up = self.retries.on_refused(now, drawn, refused);
        self.tallies[caller][kind].refused += u32::from(gives_up);
    }

    /// Free slots that are kept for nobody and that no queued call gets, as a daemon knows them.
    fn spare_slots_len(&self, now: u64, daemon: usize) -> usize {
        let daemon = &self.daemons[daemon];
        let free_len = |number: u16| {
            let upstream = id(&format!("{ENGINES}-{number}"));
            let slots_len = self.site.profile().slots_len as usize;
            slots_len.saturating_sub(daemon.in_flight().requests_len(&upstream))
        };
        let free_len: usize = (1..=self.engines.len() as u16).map(free_len).sum();
        free_len
            .saturating_sub(daemon.kept_slots_total_len(Time::from_ms(now)) + daemon.waiting_len())
    }

    fn simple_policy(&mut self) -> usize {
        self.rounds += 1;
        let rounds = self.rounds;
        match self.policy {
            Policy::RoundRobin => rounds % self.engines.len(),
            _ => {
                let len = |index: &usize| self.engines[*index].jobs.len();
                (0..self.engines.len()).min_by_key(len).unwrap()
            }
        }
    }

    fn run(&mut self, tag: u64, engine: usize, helpers: &[usize]) {
        let request = self.requests.get_mut(&tag).unwrap();
        request.engine = engine;
        let (prompt, events) = (request.prompt, request.events);
        let parts = helpers.len() + 1;
        let read_ms = self.site.profile().prefill_ms(prompt) / parts as f64;
        let held = self.engines.iter().flat_map(|engine| &engine.held);
        let held = held.filter(|(ticket, _)| is_ticket_of(ticket, tag));
        let held: Tokens = held.map(|(_, tokens)| *tokens).sum();
        let job = Job {
            tag,
            read_ms,
            read_tokens: if self.site.reads_by_tokens {
                prompt.get() as f64 / parts as f64
            } else {
                0.0
            },
            is_helper: false,
            parts_open: helpers.len(),
            context: prompt.saturating_sub(held),
            event_tokens: Tokens::new(self.site.event_tokens),
            events_left: events.max(1),
            last_event_ms: 0.0,
            begun: false,
        };
        for helper in helpers {
            self.engines[*helper].jobs.push(Job {
                is_helper: true,
                ..job.clone()
            });
        }
        self.engines[engine].jobs.push(job);
    }

    fn connect(&mut self, now: u64) {
        let connecting = std::mem::take(&mut self.connecting);
        let (due, later): (Vec<_>, Vec<_>) =
            connecting.into_iter().partition(|(at, ..)| *at <= now);
        self.connecting = later;
        for (_, one, other) in due {
            self.handle(now, one, DispatchEvent::PeerUp { vm: vm(other) });
            self.handle(now, other, DispatchEvent::PeerUp { vm: vm(one) });
        }
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        let pair = (one.max(other), one.min(other));
        !self.connecting.iter().any(|(_, a, b)| (*a, *b) == pair)
    }

    fn step(&mut self, now: u64) {
        self.connect(now);
        self.fail_sends(now);
        self.repeats(now);
        self.answer_orders(now);
        self.kill(now);
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            let event = DispatchEvent::PeerMessage {
                vm: vm(from),
                message,
            };
            self.handle(now, to, event);
        }
        let held = std::mem::take(&mut self.held);
        let (answered, later): (Vec<_>, Vec<_>) = held.into_iter().partition(|(at, ..)| *at <= now);
        self.held = later;
        for (_, daemon, topic) in answered {
            let answer = Ok(Box::new(batch(9, false, Vec::new())));
            self.handle(now, daemon, DispatchEvent::StoreAnswered { topic, answer });
        }
        self.departures(now);
        for engine in 0..self.engines.len() {
            let profile = self.site.profile();
            for progress in self.engines[engine].run_passes(now as f64, &profile) {
                self.progress(now, progress);
            }
        }
        if self.policy == Policy::Dispatcher && now % 10 == 0 {
            for daemon in 0..self.daemons.len() {
                self.handle(now, daemon, DispatchEvent::Tick);
            }
        }
    }

    /// Removes the callers who leave because their first event takes too long.
    fn departures(&mut self, now: u64) {
        let kinds = self.site.kinds;
        let impatient = |request: &Request| {
            let kind = kinds[request.kind];
            let wait_limit_ms = (kind.target * 4.0).max(kind.pause * 8.0).max(2_000.0);
            let waited = now as f64 - request.arrived;
            !request.done && request.first.is_none() && waited > wait_limit_ms
        };
        let left = self
            .requests
            .iter()
            .filter(|(_, request)| impatient(request));
        let left: Vec<_> = left.map(|(tag, _)| *tag).collect();
        for tag in left {
            for engine in &mut self.engines {
                engine.jobs.retain(|job| job.tag != tag);
            }
            let Some(request) = self.requests.get_mut(&tag) else {
                continue;
            };
            request.done = true;
            self.tallies[request.caller][request.kind].left += 1;
            if self.policy == Policy::Dispatcher {
                let (daemon, call) = (request.daemon, CallId::new(tag));
                self.handle(now, daemon, DispatchEvent::CallerLeft { call });
            }
        }
    }

    fn progress(&mut self, now: u64, progress: Progress) {
        match progress {
            Progress::PartRead { tag } => {
                let engine = self.requests[&tag].engine;
                let jobs = &mut self.engines[engine].jobs;
                if let Some(job) = jobs.iter_mut().find(|job| job.tag == tag && !job.is_helper) {
                    job.parts_open -= 1;
                }
            }
            Progress::Event {
                tag,
                pause_ms,
                last,
            } => {
                let request = self.requests.get_mut(&tag).unwrap();
                let begun = request.first.is_some();
                if begun {
                    request.pause = request.pause.max(pause_ms);
                }
                request.first.get_or_insert(now as f64 - request.arrived);
                let (daemon, plan) = (request.daemon, request.sent.clone());
                if let (false, Some(plan)) = (begun, &plan) {
                    let (call, send) = (plan.call, plan.send);
                    self.handle(now, daemon, DispatchEvent::FirstByte { call, send });
                }
                if last {
                    self.finish(tag);
                    if let Some(plan) = plan {
                        let (call, send) = (plan.call, plan.send);
                        let end = SendOutcome::Delivered;
                        self.handle(now, daemon, DispatchEvent::Ended { call, send, end });
                    }
                }
            }
        }
    }

    fn finish(&mut self, tag: u64) {
        let request = self.requests.get_mut(&tag).unwrap();
        request.done = true;
        let kind = self.site.kinds[request.kind];
        let in_time = request.first.is_some_and(|first| first <= kind.target);
        let tally = &mut self.tallies[request.caller][request.kind];
        if in_time && request.pause <= kind.pause {
            tally.on_time += 1;
        } else {
            tally.late += 1;
            let cause = match (in_time, request.pause <= kind.pause) {
                (false, true) => 0,
                (true, _) => 1,
                (false, false) => 2,
            };
            tally.late_by[cause] += 1;
        }
    }

    fn handle(&mut self, now: u64, daemon: usize, event: DispatchEvent) {
        if self.is_killed(now, daemon) {
            return;
        }
        let mut actions = Vec::new();
        self.daemons[daemon].handle(Time::from_ms(now), event, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send(plan) => self.sent(now, daemon, *plan),
                DispatchAction::Notify { to, message } => {
                    let peers = (0..self.daemons.len()).filter(|peer| {
                        let addressed = to.as_ref().is_none_or(|to| *to == vm(*peer));
                        addressed && *peer != daemon && self.is_connected(daemon, *peer)
                    });
                    let messages = peers.enumerate().map(|(notified_len, peer)| {
                        let spread_ms = notified_len as u64 / PEERS_NOTIFIED_PER_MS;
                        let due = now + self.delay_ms(now, daemon, peer) + spread_ms;
                        (due, daemon, peer, message.clone())
                    });
                    let messages: Vec<_> = messages.collect();
                    self.messages.extend(messages);
                }
                DispatchAction::Log(record) => {
                    if let DispatchRecord::OverShare { holder, .. } = *record {
                        *self.held_counts.entry(holder.to_string()).or_default() += 1;
                    }
                }
                DispatchAction::Refuse { call, refusal } => {
                    self.on_refused(now, daemon, call.get(), refusal.retry_after_ms);
                }
                DispatchAction::Order(order) if self.site.answers_orders => {
                    self.orders
                        .push((now + 2 * self.site.delay_ms, daemon, order));
                }
                DispatchAction::ReadStore(call) if call.after.is_some() => {
                    self.held
                        .push((now + call.wait_ms.get().max(1), daemon, call.topic));
                }
                _ => {}
            }
        }
    }

    /// Time that a message from one daemon takes to another.
    fn delay_ms(&self, now: u64, from: usize, to: usize) -> u64 {
        match &self.faults.slow_link {
            Some((a, b, time))
                if time.contains(&now) && [(*a, *b), (*b, *a)].contains(&(from, to)) =>
            {
                1_000
            }
            _ => self.message_delay_ms,
        }
    }

    fn is_killed(&self, now: u64, daemon: usize) -> bool {
        self.faults
            .killed
            .is_some_and(|(at, killed)| at <= now && killed == daemon)
    }

    /// Ends the requests of a daemon that is killed, and its links.
    fn kill(&mut self, now: u64) {
        let Some((_, killed)) = self.faults.killed.filter(|(at, _)| *at == now) else {
            return;
        };
        for (tag, request) in &mut self.requests {
            if request.daemon == killed && !request.done {
                request.done = true;
                self.tallies[request.caller][request.kind].lost += 1;
                for engine in &mut self.engines {
                    engine.forget(*tag);
                }
            }
        }
        for daemon in (0..self.daemons.len()).filter(|daemon| *daemon != killed) {
            self.handle(now, daemon, DispatchEvent::PeerDown { vm: vm(killed) });
        }
    }

    /// Executes due orders about reservations.
    fn answer_orders(&mut self, now: u64) {
        let orders = std::mem::take(&mut self.orders);
        let (due, later): (Vec<_>, Vec<_>) = orders.into_iter().partition(|(at, ..)| *at <= now);
        self.orders = later;
        for (_, daemon, order) in due {
            let profile = self.site.profile();
            let engine = &mut self.engines[engine_index(order.address)];
            let ticket = order.ticket;
            let end = match order.kind {
                OrderKind::Reserve { tokens, .. } => engine.reserve(&profile, &ticket, tokens),
                OrderKind::Release => {
                    engine.held.remove(&*ticket);
                    OrderOutcome::Done
                }
            };
            let kind = order.kind;
            self.handle(now, daemon, DispatchEvent::OrderEnded { ticket, kind, end });
        }
    }

    fn fail_sends(&mut self, now: u64) {
        let failing = std::mem::take(&mut self.failing);
        let (due, later): (Vec<_>, Vec<_>) = failing.into_iter().partition(|(at, ..)| *at <= now);
        self.failing = later;
        for (_, daemon, plan) in due {
            let (call, send) = (plan.call, plan.send);
            let reason = "connecting timed out".to_owned();
            let end = SendOutcome::NotSent {
                reason,
                timed_out: false,
                attempts: attempts(&plan.paths, PathEnd::Silent),
            };
            self.handle(now, daemon, DispatchEvent::Ended { call, send, end });
        }
    }

    fn sent(&mut self, now: u64, daemon: usize, plan: SendPlan) {
        let tag = plan.call.get();
        let request = self.requests.get_mut(&tag).unwrap();
        request.sent = Some(plan.clone());
        let helpers: Vec<_> = plan
            .helpers
            .iter()
            .map(|helper| engine_index(helper.address))
            .collect();
        let cut = self.cut.as_ref().filter(|(_, time)| time.contains(&now));
        let fleet = self.daemons[daemon].fleet();
        let domain = fleet.get(&plan.upstream).map(|known| &known.record.domain);
        if cut.is_some_and(|(cut, _)| domain == Some(cut)) {
            self.failed_sends_count += 1;
            self.failing.push((now + CONNECT_TIMEOUT_MS, daemon, plan));
            return;
        }
        self.run(tag, engine_index(plan.address), &helpers);
    }

    fn learn(&mut self, now: u64, daemon: usize, engines_len: u16) {
        self.handle(now, daemon, DispatchEvent::Tick);
        let operators = vec![Change::Catalog(Box::new(self.site.catalog.clone()))];
        for (topic, changes) in [
            (Topic::Operators, operators),
            (Topic::Upstreams, upstream_list(engines_len, 0)),
        ] {
            let answer = Ok(Box::new(batch(1, true, changes)));
            self.handle(now, daemon, DispatchEvent::StoreAnswered { topic, answer });
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Draws a size from a log-normal distribution with this mean.
    fn size(&mut self, mean: f64, spread: f64) -> f64 {
        let (a, b) = (self.draw().max(1e-9), self.draw());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }
}

/// The engine at an address.
fn engine_index(address: std::net::SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        std::net::IpAddr::V6(_) => unreachable!(),
    }
}

fn vm(index: usize) -> VmId {
    id(&format!("vm-{index}"))
}

/// Alternating bursts of long and short prompts, as on standard days.
pub(crate) fn alternating_bursts() -> Vec<Phase> {
    let span_ms = 9_500;
    let long = Phase {
        span_ms,
        per_s: [10.0, 2.0, 2.3],
    };
    let short = Phase {
        span_ms,
        per_s: [70.0, 0.8, 0.05],
    };
    vec![long, short, long]
}
