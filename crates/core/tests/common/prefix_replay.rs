//! Replays requests with shared prompt prefixes against model engines that cache prefixes. It runs in virtual time
//! and is deterministic for a seed.

use crate::dispatch::{
    attempts, batch, catalog, daemons_listed,
    engine::{Engine, Job, Progress},
    id, profile, upstream, upstream_list, ENGINES, KEY,
};
use persimmon_core::{
    catalog::{ApiKey, EngineProfile},
    dispatch::{
        Call, DispatchAction, DispatchEvent, DispatchMessage, DispatchSettings, Dispatcher,
        PromptSize, RawDispatchSettings, SendOutcome, SendPlan,
    },
    ids::{BlockHash, CallId, Fingerprint, VmId},
    path::PathEnd,
    prefix::{PromptPart, PromptPrefix, RawPrefixRetention, RawPrefixSettings, RecentKeys},
    units::{Millis, Time, Tokens},
    watch::{Change, Topic},
};
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::{collections::BTreeMap, fmt};

const DAEMONS_LEN: usize = 3;
pub(crate) const ENGINES_LEN: usize = 12;
const SPAN_MS: u64 = 10_000;
const PER_S: f64 = 60.0;
const PREFIXES_LEN: usize = 24;
/// Tokens of each prompt that no other prompt has.
const OWN_TOKENS: u64 = 1_000;
const EVENTS_LEN: u32 = 20;
/// Tokens and time for which an engine keeps prefixes without a request.
pub(crate) const KEEP_TOKENS: u64 = 60_000;
pub(crate) const KEEP_MS: u64 = 30_000;
/// Tokens that the engine that is short of memory keeps.
const SHORT_KEEP_TOKENS: u64 = 3_000;
/// The engine that is short of memory: the last one in the daemons' order, which has no requests in flight at times.
const SHORT: usize = 5;
/// The engine that ends: the first one in that order, which gets most requests.
const TROUBLED: usize = 0;
const TROUBLE_AT_MS: u64 = 4_000;
/// Exponent of the popularity of prefixes by rank.
const SKEW: f64 = 1.2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Affinity {
    /// The dispatcher without the settings section.
    None,
    /// The engine that the hash of the shared part names, or the least loaded one if that has no slot.
    Hash,
    /// The engine that holds most of the prompt, or the least loaded one.
    Longest,
    /// The dispatcher with the settings section.
    Cost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    /// An engine ends and does not come back.
    Lost,
    /// An engine starts again under its id, without a cache.
    Cold,
    /// An engine keeps far less than the settings state.
    ShortOfMemory,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) shared_tokens: u64,
    pub(crate) is_skewed: bool,
    pub(crate) trouble: Option<Trouble>,
}

/// What callers and engines saw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Measured {
    pub(crate) median_ms: u64,
    pub(crate) p95_ms: u64,
    /// Shared tokens that were prefilled again after some engine had prefilled them.
    pub(crate) again_tokens: u64,
    /// Share of the requests whose shared part was cached.
    pub(crate) hit_percent: u64,
    /// 95th percentile of the first events at the engine where it is longest.
    pub(crate) worst_p95_ms: u64,
    /// Most requests that one engine got, as a multiple of the mean.
    pub(crate) busiest_ratio: f64,
    pub(crate) refused: usize,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "first event {:>4} ms, p95 {:>4} ms; {:>5} k tokens again; {:>2}% hits; worst engine p95 {:>4} ms, {:.1} of mean; {} refused",
            self.median_ms, self.p95_ms, self.again_tokens / 1_000, self.hit_percent,
            self.worst_p95_ms, self.busiest_ratio, self.refused,
        )
    }
}

/// What an engine has cached: tokens, requests that use them, and the last use of each part.
struct Cache {
    keep_tokens: u64,
    parts: RecentKeys<BlockHash, (u64, u32, u64)>,
}

impl Cache {
    const fn new(keep_tokens: u64) -> Self {
        Self {
            keep_tokens,
            parts: RecentKeys::new(4_096),
        }
    }

    fn held_tokens(&self, now: u64, prefix: &PromptPrefix) -> u64 {
        let ends = prefix.parts().iter().map(|part| part.end);
        let held = self.parts.leading(ends);
        let fresh = held.take_while(|(_, users, used)| *users > 0 || now - used < KEEP_MS);
        fresh.map(|(tokens, ..)| tokens).sum()
    }

    fn update(&mut self, now: u64, prefix: &PromptPrefix, change: impl Fn(u32) -> u32) {
        for part in prefix.parts() {
            let users = self.parts.get(&part.end).map_or(0, |(_, users, _)| *users);
            self.parts
                .insert(part.end, (part.tokens.get(), change(users), now));
        }
    }

    fn shrink(&mut self, free_tokens: u64) {
        let kept = |parts: &RecentKeys<_, (u64, u32, u64)>| -> u64 {
            let kept = parts.newest().filter(|(_, (_, users, _))| *users == 0);
            kept.map(|(_, (tokens, ..))| tokens).sum()
        };
        let mut kept_tokens = kept(&self.parts);
        while kept_tokens > self.keep_tokens.min(free_tokens) {
            let dropped = self.parts.pop_oldest(|(_, users, _)| *users == 0);
            kept_tokens -= dropped.map_or(0, |(tokens, ..)| tokens);
        }
    }
}

struct CachingEngine {
    engine: Engine,
    cache: Cache,
    queue: Vec<u64>,
    requests_len: usize,
    is_lost: bool,
}

struct Request {
    arrived: u64,
    first: Option<u64>,
    prefix: PromptPrefix,
    prompt: Tokens,
    sent: Option<SendPlan>,
    daemon: usize,
    engine: Option<usize>,
    is_done: bool,
}

pub(crate) struct PrefixReplay {
    affinity: Affinity,
    load: Load,
    profile: EngineProfile,
    daemons: Vec<Dispatcher>,
    engines: Vec<CachingEngine>,
    requests: BTreeMap<u64, Request>,
    messages: Vec<(u64, usize, usize, DispatchMessage)>,
    held: Vec<(u64, usize, Topic)>,
    unsent: Vec<(u64, usize, SendPlan)>,
    seen: BTreeMap<BlockHash, u64>,
    rng: ChaCha8Rng,
    again_tokens: u64,
    hits_len: usize,
    runs_len: usize,
    refused: usize,
}

/// Settings that state what the model engines keep.
pub(crate) fn settings(is_on: bool) -> DispatchSettings {
    let retention = RawPrefixRetention {
        keep_ms: KEEP_MS,
        keep_tokens: KEEP_TOKENS,
    };
    let raw = RawDispatchSettings {
        prefix: is_on.then(|| RawPrefixSettings {
            services: [(id(ENGINES), retention)].into(),
        }),
        ..RawDispatchSettings::default()
    };
    DispatchSettings::try_from(raw).unwrap()
}

impl PrefixReplay {
    pub(crate) fn new(affinity: Affinity, load: Load, seed: u64) -> Self {
        let settings = settings(affinity == Affinity::Cost);
        let daemon = |index| Dispatcher::new(settings.clone(), vm(index), id("a"));
        let engine = |index| CachingEngine {
            engine: Engine::default(),
            cache: Cache::new(match load.trouble {
                Some(Trouble::ShortOfMemory) if index == SHORT => SHORT_KEEP_TOKENS,
                _ => KEEP_TOKENS,
            }),
            queue: Vec::new(),
            requests_len: 0,
            is_lost: false,
        };
        let mut replay = Self {
            affinity,
            load,
            profile: profile(),
            daemons: (0..DAEMONS_LEN).map(daemon).collect(),
            engines: (0..ENGINES_LEN).map(engine).collect(),
            requests: BTreeMap::new(),
            messages: Vec::new(),
            held: Vec::new(),
            unsent: Vec::new(),
            seen: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            again_tokens: 0,
            hits_len: 0,
            runs_len: 0,
            refused: 0,
        };
        for to in 0..DAEMONS_LEN {
            replay.handle(0, to, DispatchEvent::Tick);
            let operators = vec![Change::Catalog(Box::new(catalog(1)))];
            replay.tell(0, to, Topic::Operators, true, operators);
            let upstreams = upstream_list(ENGINES_LEN as u16, 0);
            replay.tell(0, to, Topic::Upstreams, true, upstreams);
            replay.handle(0, to, daemons_listed((0..DAEMONS_LEN).map(vm)));
            for from in (0..DAEMONS_LEN).filter(|from| *from != to) {
                replay.handle(0, to, DispatchEvent::PeerUp { vm: vm(from) });
            }
        }
        replay
    }

    /// Replays the load, and then runs until all requests are done.
    pub(crate) fn play(mut self) -> Measured {
        for now in 0..SPAN_MS + 15_000 {
            if now < SPAN_MS && self.draw() < PER_S / 1_000.0 {
                self.arrive(now);
            }
            if now == TROUBLE_AT_MS {
                self.begin_trouble(now);
            }
            self.step(now);
        }
        self.measured()
    }

    fn measured(&self) -> Measured {
        let firsts = |engine: Option<usize>| {
            let of_engine = self
                .requests
                .values()
                .filter(|request| engine.is_none_or(|_| request.engine == engine));
            let mut firsts: Vec<_> = of_engine
                .filter_map(|request| Some(request.first? - request.arrived))
                .collect();
            firsts.sort_unstable();
            firsts
        };
        let share = |sorted: &[u64], percent: usize| {
            sorted
                .get(sorted.len() * percent / 100)
                .copied()
                .unwrap_or(0)
        };
        let all = firsts(None);
        let worst = (0..ENGINES_LEN).map(|engine| share(&firsts(Some(engine)), 95));
        let most = self.engines.iter().map(|engine| engine.requests_len).max();
        let mean = self.runs_len as f64 / ENGINES_LEN as f64;
        Measured {
            median_ms: share(&all, 50),
            p95_ms: share(&all, 95),
            again_tokens: self.again_tokens,
            hit_percent: (self.hits_len * 100 / self.runs_len.max(1)) as u64,
            worst_p95_ms: worst.max().unwrap(),
            busiest_ratio: most.unwrap() as f64 / mean,
            refused: self.refused,
        }
    }

    fn arrive(&mut self, now: u64) {
        let rank = self.draw_prefix();
        let tag = self.requests.len() as u64 + 1;
        let part = |number: u64, tokens: u64| PromptPart {
            id: Fingerprint::new(number),
            tokens: Tokens::new(tokens),
        };
        let parts = [
            part(rank as u64, self.load.shared_tokens),
            part(1_000_000 + tag, OWN_TOKENS),
        ];
        let prefix: PromptPrefix = parts.into_iter().collect();
        let daemon = (self.draw() * DAEMONS_LEN as f64) as usize;
        let prompt = prefix.tokens();
        let request = Request {
            arrived: now,
            first: None,
            prefix: prefix.clone(),
            prompt,
            sent: None,
            daemon,
            engine: None,
            is_done: false,
        };
        self.requests.insert(tag, request);
        if matches!(self.affinity, Affinity::Hash | Affinity::Longest) {
            return self.place_simply(now, tag);
        }
        let call = Call {
            id: CallId::new(tag),
            request_id: format!("request-{tag}").into(),
            host: "cells.example".into(),
            path: "/alarm/x".into(),
            key: Some(ApiKey::from(KEY)),
            deadline_ms: None,
            prompt: Some(PromptSize {
                prompt_tokens: prompt,
                output_tokens: Tokens::new(u64::from(EVENTS_LEN) * 51),
            }),
            fingerprints: Vec::new(),
            prefix,
            content: Fingerprint::new(tag),
            body_bytes: Default::default(),
            age_ms: Millis::ZERO,
        };
        self.handle(now, daemon, DispatchEvent::Arrived(Box::new(call)));
    }

    fn place_simply(&mut self, now: u64, tag: u64) {
        let prefix = &self.requests[&tag].prefix;
        let slots_len = self.profile.slots_len as usize;
        let len = |index: usize| {
            let engine = &self.engines[index];
            engine.engine.jobs.len() + engine.queue.len()
        };
        let alive = (0..ENGINES_LEN).filter(|index| !self.engines[*index].is_lost);
        let alive: Vec<_> = alive.collect();
        let least = alive
            .iter()
            .copied()
            .min_by_key(|index| len(*index))
            .unwrap();
        let wanted = match self.affinity {
            Affinity::Hash => alive[prefix.parts()[0].end.get() as usize % alive.len()],
            _ => {
                let held = |index: usize| self.engines[index].cache.held_tokens(now, prefix);
                let best = alive.iter().copied().max_by_key(|index| {
                    let free = len(*index) < slots_len;
                    (free, held(*index), usize::MAX - len(*index))
                });
                best.unwrap()
            }
        };
        let engine = if len(wanted) < slots_len {
            wanted
        } else {
            least
        };
        self.run(now, tag, engine);
    }

    fn run(&mut self, now: u64, tag: u64, engine: usize) {
        self.runs_len += 1;
        self.engines[engine].requests_len += 1;
        self.engines[engine].queue.push(tag);
        self.requests.get_mut(&tag).unwrap().engine = Some(engine);
        self.admit(now, engine);
    }

    /// Moves queued requests into free slots of an engine.
    fn admit(&mut self, now: u64, index: usize) {
        let engine = &mut self.engines[index];
        while engine.engine.jobs.len() < self.profile.slots_len as usize && !engine.queue.is_empty()
        {
            let tag = engine.queue.remove(0);
            let request = &self.requests[&tag];
            let held = engine.cache.held_tokens(now, &request.prefix);
            let shared = &request.prefix.parts()[0];
            self.hits_len += usize::from(held >= self.load.shared_tokens);
            let seen = self.seen.entry(shared.end).or_default();
            if held < self.load.shared_tokens && *seen > 0 {
                self.again_tokens += self.load.shared_tokens;
            }
            *seen += 1;
            engine.cache.update(now, &request.prefix, |users| users + 1);
            engine.engine.jobs.push(Job {
                tag,
                read_ms: self.profile.prefill_ms(request.prompt)
                    - self.profile.prefill_ms(Tokens::new(held)),
                read_tokens: 0.0,
                is_helper: false,
                parts_open: 0,
                context: request.prompt,
                event_tokens: Tokens::new(51),
                events_left: EVENTS_LEN,
                last_event_ms: 0.0,
                begun: false,
            });
            let running: u64 = engine.engine.jobs.iter().map(|job| job.context.get()).sum();
            let kv_tokens = self.profile.kv_tokens.get();
            engine.cache.shrink(kv_tokens.saturating_sub(running));
        }
    }

    fn begin_trouble(&mut self, now: u64) {
        let trouble = self.load.trouble;
        if trouble.is_none_or(|trouble| trouble == Trouble::ShortOfMemory) {
            return;
        }
        let engine = &mut self.engines[TROUBLED];
        engine.is_lost = trouble == Some(Trouble::Lost);
        engine.cache = Cache::new(KEEP_TOKENS);
        let jobs = std::mem::take(&mut engine.engine.jobs);
        let queue = std::mem::take(&mut engine.queue);
        engine.engine = Engine::default();
        let mut record = upstream(ENGINES, TROUBLED as u16 + 1);
        record.started_unix_ms += 1;
        record.cold_remaining_ms = Millis::new(3_000);
        let change = if engine.is_lost {
            Change::UpstreamRemoved(record.id)
        } else {
            Change::Upstream(Box::new(record))
        };
        for daemon in 0..DAEMONS_LEN {
            self.tell(now, daemon, Topic::Upstreams, false, vec![change.clone()]);
        }
        for tag in jobs.into_iter().map(|job| job.tag).chain(queue) {
            let request = &self.requests[&tag];
            let Some(plan) = request.sent.clone() else {
                self.place_simply(now, tag);
                continue;
            };
            let end = SendOutcome::Lost {
                reason: "closed".to_owned(),
                stalled: false,
            };
            let (call, send) = (plan.call, plan.send);
            self.handle(
                now,
                request.daemon,
                DispatchEvent::Ended { call, send, end },
            );
        }
    }

    fn step(&mut self, now: u64) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            let vm = vm(from);
            self.handle(now, to, DispatchEvent::PeerMessage { vm, message });
        }
        let held = std::mem::take(&mut self.held);
        let (due, later): (Vec<_>, Vec<_>) = held.into_iter().partition(|(at, ..)| *at <= now);
        self.held = later;
        for (_, daemon, topic) in due {
            self.tell(now, daemon, topic, false, Vec::new());
        }
        for (_, daemon, plan) in std::mem::take(&mut self.unsent) {
            let (call, send) = (plan.call, plan.send);
            let end = SendOutcome::NotSent {
                reason: "refused".to_owned(),
                timed_out: false,
                attempts: attempts(&plan.paths, PathEnd::Silent),
            };
            self.handle(now, daemon, DispatchEvent::Ended { call, send, end });
        }
        for engine in 0..ENGINES_LEN {
            let all = self.engines[engine]
                .engine
                .run_passes(now as f64, &self.profile);
            for progress in all {
                self.progress(now, engine, progress);
            }
            self.admit(now, engine);
        }
        if now % 10 == 0 {
            for daemon in 0..DAEMONS_LEN {
                self.handle(now, daemon, DispatchEvent::Tick);
            }
        }
    }

    fn progress(&mut self, now: u64, engine: usize, progress: Progress) {
        let Progress::Event { tag, last, .. } = progress else {
            return;
        };
        let request = self.requests.get_mut(&tag).unwrap();
        let is_first = request.first.is_none();
        request.first.get_or_insert(now);
        request.is_done |= last;
        let (daemon, plan) = (request.daemon, request.sent.clone());
        if last {
            let cache = &mut self.engines[engine].cache;
            cache.update(now, &request.prefix, |users| users.saturating_sub(1));
            cache.shrink(self.profile.kv_tokens.get());
        }
        let Some(SendPlan { call, send, .. }) = plan else {
            return;
        };
        if is_first {
            self.handle(now, daemon, DispatchEvent::FirstByte { call, send });
        }
        if last {
            let end = SendOutcome::Delivered;
            self.handle(now, daemon, DispatchEvent::Ended { call, send, end });
        }
    }

    fn tell(&mut self, now: u64, daemon: usize, topic: Topic, whole: bool, changes: Vec<Change>) {
        let version = if changes.is_empty() { 1 } else { 1 + now };
        let answer = Ok(Box::new(batch(version, whole, changes)));
        self.handle(now, daemon, DispatchEvent::StoreAnswered { topic, answer });
    }

    fn handle(&mut self, now: u64, daemon: usize, event: DispatchEvent) {
        let mut actions = Vec::new();
        self.daemons[daemon].handle(Time::from_ms(now), event, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send(plan) => self.sent(now, daemon, *plan),
                DispatchAction::Notify { to, message } => {
                    let peers = (0..DAEMONS_LEN).filter(|peer| {
                        *peer != daemon && to.as_ref().is_none_or(|to| *to == vm(*peer))
                    });
                    let messages = peers.map(|peer| (now + 2, daemon, peer, message.clone()));
                    self.messages.extend(messages.collect::<Vec<_>>());
                }
                DispatchAction::Refuse { call, .. } | DispatchAction::AbortAnswer { call } => {
                    self.refused += 1;
                    self.requests.get_mut(&call.get()).unwrap().is_done = true;
                }
                DispatchAction::ReadStore(call) if call.after.is_some() => {
                    let due = now + call.wait_ms.get().max(1);
                    self.held.push((due, daemon, call.topic));
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: u64, daemon: usize, plan: SendPlan) {
        let tag = plan.call.get();
        let std::net::IpAddr::V4(ip) = plan.address.ip() else {
            panic!("no IPv4 address");
        };
        let engine = usize::from(ip.octets()[3]) - 1;
        assert!(plan.helpers.is_empty(), "the model has no helpers");
        self.requests.get_mut(&tag).unwrap().sent = Some(plan.clone());
        if self.engines[engine].is_lost {
            self.unsent.push((now, daemon, plan));
        } else {
            self.run(now, tag, engine);
        }
    }

    fn draw_prefix(&mut self) -> usize {
        let weight = |rank: usize| match self.load.is_skewed {
            true => 1.0 / ((rank + 1) as f64).powf(SKEW),
            false => 1.0,
        };
        let all: f64 = (0..PREFIXES_LEN).map(weight).sum();
        let mut left = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * all;
        let drawn = (0..PREFIXES_LEN).find(|rank| {
            left -= weight(*rank);
            left <= 0.0
        });
        drawn.unwrap_or(PREFIXES_LEN - 1)
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}

fn vm(index: usize) -> VmId {
    id(&format!("vm-{index}"))
}
