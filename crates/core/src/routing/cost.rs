//! The owner with the least predicted wait among a few sampled ones.

use super::{
    candidates::{among, candidates, check_target, Candidate, Tier},
    sent::SentWork,
    Route, RouteQuery, Router, RoutingSettings,
};
use crate::{
    context::{Context, View},
    ids::{FailureDomain, UpstreamId, VmId},
    message::{GrantAnswer, GrantDenial, GrantReport, Member},
    request::{CallTarget, LengthClass, Refusal},
    units::{Millis, Time, Tokens},
};
use rand::RngExt;
use std::{
    collections::{BTreeMap, BTreeSet},
    iter,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cost of an owner that has no free place, in milliseconds.
const FULL_MS: u64 = 1_000;
/// Least number of owners that are compared for a long prompt.
const LONG_SAMPLED_COUNT: usize = 16;
/// Weight of one grant in the share of grants with a cached prefix.
const HIT_WEIGHT_RATIO: f64 = 0.02;
/// Share of a prompt's prefill that a cached prefix is thought to save.
const SAVED_RATIO: f64 = 0.5;
/// The block of a prompt by which its home is chosen, or its last one.
const HOME_BLOCK_INDEX: usize = 3;
/// Cost of an owner none of whose engines holds the prompt, in milliseconds.
const TOO_SMALL_MS: u64 = 10_000;

/// Compares a few sampled owners by their summaries.
#[derive(Debug)]
pub(super) struct Cost {
    settings: RoutingSettings,
    busy_until: BTreeMap<VmId, Time>,
    sent: SentWork,
    /// Share of recent grants whose prompt was partly cached.
    hit_ratio: f64,
}

impl Cost {
    pub(super) fn new(settings: RoutingSettings) -> Self {
        Self {
            settings,
            busy_until: BTreeMap::new(),
            sent: SentWork::default(),
            hit_ratio: 0.0,
        }
    }

    fn cost(&self, now: Time, candidate: &Candidate<'_>, query: &RouteQuery<'_>) -> Millis {
        let wait = match (
            &query.spec.target,
            candidate.capacity,
            candidate.free_requests,
        ) {
            (CallTarget::Model(call), Some(capacity), _) => {
                let wait = match call.class() {
                    LengthClass::Short | LengthClass::Medium => capacity.short_wait_ms,
                    LengthClass::Long | LengthClass::Huge => capacity.long_wait_ms,
                };
                let small = capacity.max_prompt_tokens < call.prompt_tokens;
                let small = if small { TOO_SMALL_MS } else { 0 };
                let full = if capacity.free_requests == 0 {
                    FULL_MS
                } else {
                    0
                };
                wait + Millis::new(small + full)
            }
            (CallTarget::Service(_), _, Some(0)) => Millis::new(FULL_MS),
            (CallTarget::Service(_), _, Some(_)) => Millis::ZERO,
            _ => self.settings.no_summary_ms,
        };
        let busy = self.busy_until.get(&candidate.member.vm);
        let busy = busy.map_or(Millis::ZERO, |until| until.since(now));
        let away = match candidate.tier {
            Tier::Remote => self.settings.cross_domain_ms,
            Tier::Known | Tier::Unheard => Millis::ZERO,
        };
        let sent = self.sent.wait(now, &candidate.member.vm, is_long(query));
        wait.max(busy) + sent + away
    }

    fn note_sent(
        &mut self,
        now: Time,
        view: &View<'_>,
        query: &RouteQuery<'_>,
        chosen: &Candidate<'_>,
    ) {
        let CallTarget::Model(call) = &query.spec.target else {
            return;
        };
        let daemons = view.directory.live_in(&chosen.member.domain).len().max(1) as f64;
        let sampled = self.settings.sampled_count as f64;
        let alike_ratio = 1.0 + (daemons - 1.0) * (sampled / daemons).min(1.0);
        let engines = chosen.capacity.map_or(1, |capacity| capacity.engines);
        let work = self.sent.prefill(view, call.prompt_tokens);
        let owner = &chosen.member.vm;
        let long = is_long(query);
        self.sent
            .add(now, owner, long, work, (engines, alike_ratio));
    }

    /// Prefill time that is probably saved at the owner where prompts of this prefix go.
    fn saved_by_prefix(&mut self, view: &View<'_>, query: &RouteQuery<'_>) -> Millis {
        let CallTarget::Model(call) = &query.spec.target else {
            return Millis::ZERO;
        };
        let prefill_ms = self.sent.prefill(view, call.prompt_tokens).get() as f64;
        Millis::new((prefill_ms * self.hit_ratio * SAVED_RATIO) as u64)
    }

    /// A few owners of the own failure domain, with the prompt's home, and one of another domain.
    /// More of them for a long prompt: fewer owners have an engine for it.
    fn sampled<'a>(
        &self,
        ctx: &mut Context<'_>,
        view: &View<'a>,
        query: &RouteQuery<'_>,
        home: Option<&'a Member>,
    ) -> Vec<Candidate<'a>> {
        if query.tried.len() >= self.settings.asked_count {
            return Vec::new();
        }
        let near = view.directory.live_in(&view.me.domain);
        let count = match is_long(query) {
            true => self.settings.sampled_count.max(LONG_SAMPLED_COUNT),
            false => self.settings.sampled_count,
        };
        let chosen: Vec<&Member> = if near.len() <= count {
            near.iter().collect()
        } else {
            let mut indexes: BTreeSet<usize> = BTreeSet::new();
            while indexes.len() < count {
                indexes.insert(ctx.rng.random_range(0..near.len()));
            }
            let sampled = indexes.into_iter().map(|index| &near[index]);
            let others = sampled.filter(|m| home.is_none_or(|home| home.vm != m.vm));
            others.chain(home).collect()
        };
        let mut found = among(view, &view.me.domain, chosen.into_iter(), query);
        found.extend(far(ctx, view, query));
        found
    }
}

/// The owner to which prompts of one prefix go where nothing else speaks against it.
fn home_of<'a>(view: &View<'a>, query: &RouteQuery<'_>) -> Option<&'a Member> {
    let CallTarget::Model(call) = &query.spec.target else {
        return None;
    };
    let last_index = call.prefix_blocks.len().checked_sub(1)?;
    let block = call.prefix_blocks[last_index.min(HOME_BLOCK_INDEX)];
    let near = view.directory.live_in(&view.me.domain).iter();
    near.max_by_key(|m| xxh3_64_with_seed(m.vm.as_str().as_bytes(), block.get()))
}

/// One owner of another failure domain, at random.
fn far<'a>(ctx: &mut Context<'_>, view: &View<'a>, query: &RouteQuery<'_>) -> Vec<Candidate<'a>> {
    let domains = view.config.domains.keys().filter(|d| **d != view.me.domain);
    let domains: Vec<&FailureDomain> = domains.collect();
    if domains.is_empty() {
        return Vec::new();
    }
    let domain = domains[ctx.rng.random_range(0..domains.len())];
    let members = view.directory.live_in(domain);
    if members.is_empty() {
        return Vec::new();
    }
    let member = &members[ctx.rng.random_range(0..members.len())];
    among(view, domain, iter::once(member), query)
}

/// The owner that the last denial named, also where it was asked before.
fn named<'a>(
    view: &View<'a>,
    settings: &RoutingSettings,
    query: &RouteQuery<'_>,
) -> Option<Candidate<'a>> {
    let member = view.directory.member(query.better?)?;
    if query.tried.len() >= settings.asked_count {
        return None;
    }
    let query = RouteQuery {
        tried: &[],
        ..*query
    };
    among(view, &member.domain, iter::once(member), &query).pop()
}

fn is_long(query: &RouteQuery<'_>) -> bool {
    match &query.spec.target {
        CallTarget::Model(call) => call.class() >= LengthClass::Long,
        CallTarget::Service(_) => false,
    }
}

impl Router for Cost {
    fn route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        check_target(view, query)?;
        if let Some(better) = named(view, &self.settings, query) {
            self.note_sent(ctx.now, view, query, &better);
            return Ok(better.route(None, "named by the last denial"));
        }
        let home = home_of(view, query);
        let mut all = self.sampled(ctx, view, query, home);
        if all.is_empty() {
            all = candidates(view, &self.settings, query)?;
        }
        let saved_ms = self.saved_by_prefix(view, query);
        all.sort_by_key(|c| {
            let away = if home.map(|home| &home.vm) == Some(&c.member.vm) {
                Millis::ZERO
            } else {
                saved_ms
            };
            (self.cost(ctx.now, c, query) + away, c.tier)
        });
        self.note_sent(ctx.now, view, query, &all[0]);
        let runner_up = all.get(1).map(|c| c.member.vm.clone());
        Ok(all[0].route(runner_up, "least predicted wait"))
    }

    fn on_answer(&mut self, ctx: &mut Context<'_>, owner: &VmId, answer: &GrantAnswer) {
        let busy_ms = match answer {
            GrantAnswer::Granted(offer) => {
                let hit = if offer.cached_tokens > Tokens::ZERO {
                    1.0
                } else {
                    0.0
                };
                self.hit_ratio += HIT_WEIGHT_RATIO * (hit - self.hit_ratio);
                self.busy_until.remove(owner);
                return;
            }
            GrantAnswer::Queued { wait_ms } => *wait_ms,
            GrantAnswer::Denied(
                GrantDenial::Busy { retry_after_ms, .. } | GrantDenial::Learning { retry_after_ms },
            ) => *retry_after_ms,
            GrantAnswer::Denied(_) => return,
        };
        self.busy_until.retain(|_, until| *until > ctx.now);
        self.busy_until.insert(owner.clone(), ctx.now + busy_ms);
    }

    fn on_end(&mut self, _owner: &VmId, _upstream: &UpstreamId, _end: &GrantReport) {}
}
