//! Routing policy that asks the owner with the lowest predicted wait among a few sampled ones.

use super::{
    candidates::{candidates, candidates_among, check_target, Candidate, Tier},
    unreported_work::UnreportedWork,
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

/// Cost added for an owner without a free request slot, in milliseconds.
const NO_FREE_SLOT_COST_MS: u64 = 1_000;
/// Minimum number of owners compared for a long prompt, since fewer owners have an engine for it.
const LONG_PROMPT_SAMPLED_COUNT: usize = 16;
/// Smoothing factor of the moving average of the prefix-cache hit rate: the weight of one grant.
const HIT_SMOOTHING_RATIO: f64 = 0.02;
/// Assumed share of a prompt's prefill time that a cached prefix saves.
const PREFIX_SAVING_RATIO: f64 = 0.5;
/// Index of the prompt block whose hash selects the affinity owner. Shorter prompts use their last
/// block.
const AFFINITY_BLOCK_INDEX: usize = 3;
/// Cost added for an owner none of whose engines has enough memory for the prompt, in milliseconds.
const PROMPT_TOO_LARGE_COST_MS: u64 = 10_000;

/// Asks the owner with the lowest predicted wait, estimated from the summaries of sampled owners.
#[derive(Debug)]
pub(super) struct LeastCost {
    settings: RoutingSettings,
    busy_until: BTreeMap<VmId, Time>,
    unreported: UnreportedWork,
    /// Moving average of the share of grants whose prompt was partly cached.
    hit_ratio: f64,
}

impl LeastCost {
    pub(super) fn new(settings: RoutingSettings) -> Self {
        Self {
            settings,
            busy_until: BTreeMap::new(),
            unreported: UnreportedWork::default(),
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
                let too_large = capacity.max_prompt_tokens < call.prompt_tokens;
                let too_large = if too_large {
                    PROMPT_TOO_LARGE_COST_MS
                } else {
                    0
                };
                let no_slot = if capacity.free_requests == 0 {
                    NO_FREE_SLOT_COST_MS
                } else {
                    0
                };
                wait + Millis::new(too_large + no_slot)
            }
            (CallTarget::Service(_), _, Some(0)) => Millis::new(NO_FREE_SLOT_COST_MS),
            (CallTarget::Service(_), _, Some(_)) => Millis::ZERO,
            _ => self.settings.no_summary_ms,
        };
        let busy = self.busy_until.get(&candidate.member.vm);
        let busy = busy.map_or(Millis::ZERO, |until| until.since(now));
        let extra = match candidate.tier {
            Tier::Remote => self.settings.cross_domain_ms,
            Tier::Reported | Tier::NoSummary => Millis::ZERO,
        };
        let unreported = self
            .unreported
            .wait(now, &candidate.member.vm, is_long(query));
        wait.max(busy) + unreported + extra
    }

    fn record_sent(
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
        let senders_ratio = 1.0 + (daemons - 1.0) * (sampled / daemons).min(1.0);
        let engines = chosen.capacity.map_or(1, |capacity| capacity.engines);
        let work = self.unreported.prefill(view, call.prompt_tokens);
        let owner = &chosen.member.vm;
        let long = is_long(query);
        self.unreported
            .add(now, owner, long, work, (engines, senders_ratio));
    }

    /// Expected prefill time saved by sending the request to its affinity owner.
    fn prefix_saving(&mut self, view: &View<'_>, query: &RouteQuery<'_>) -> Millis {
        let CallTarget::Model(call) = &query.spec.target else {
            return Millis::ZERO;
        };
        let prefill_ms = self.unreported.prefill(view, call.prompt_tokens).get() as f64;
        Millis::new((prefill_ms * self.hit_ratio * PREFIX_SAVING_RATIO) as u64)
    }

    /// Candidates among a random sample of owners of this daemon's failure domain, the affinity
    /// owner included, and one owner of another domain. The sample is larger for long prompts,
    /// because fewer owners have an engine for them.
    fn sample<'a>(
        &self,
        ctx: &mut Context<'_>,
        view: &View<'a>,
        query: &RouteQuery<'_>,
        affinity: Option<&'a Member>,
    ) -> Vec<Candidate<'a>> {
        if query.tried.len() >= self.settings.asked_count {
            return Vec::new();
        }
        let local = view.directory.live_in(&view.me.domain);
        let count = match is_long(query) {
            true => self.settings.sampled_count.max(LONG_PROMPT_SAMPLED_COUNT),
            false => self.settings.sampled_count,
        };
        let chosen: Vec<&Member> = if local.len() <= count {
            local.iter().collect()
        } else {
            let mut indexes: BTreeSet<usize> = BTreeSet::new();
            while indexes.len() < count {
                indexes.insert(ctx.rng.random_range(0..local.len()));
            }
            let sampled = indexes.into_iter().map(|index| &local[index]);
            let others = sampled.filter(|m| affinity.is_none_or(|affinity| affinity.vm != m.vm));
            others.chain(affinity).collect()
        };
        let mut found = candidates_among(view, &view.me.domain, chosen.into_iter(), query);
        found.extend(remote_sample(ctx, view, query));
        found
    }
}

/// The owner preferred for prompts with the same prefix, so that its engines have the prefix
/// cached. Chosen by rendezvous hashing among the live owners of this daemon's failure domain.
fn affinity_owner<'a>(view: &View<'a>, query: &RouteQuery<'_>) -> Option<&'a Member> {
    let CallTarget::Model(call) = &query.spec.target else {
        return None;
    };
    let last_index = call.prefix_blocks.len().checked_sub(1)?;
    let block = call.prefix_blocks[last_index.min(AFFINITY_BLOCK_INDEX)];
    let local = view.directory.live_in(&view.me.domain).iter();
    local.max_by_key(|m| xxh3_64_with_seed(m.vm.as_str().as_bytes(), block.get()))
}

/// A random owner of a random other failure domain, if it is a candidate.
fn remote_sample<'a>(
    ctx: &mut Context<'_>,
    view: &View<'a>,
    query: &RouteQuery<'_>,
) -> Vec<Candidate<'a>> {
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
    candidates_among(view, domain, iter::once(member), query)
}

/// The owner suggested by the last denial, even if it was asked before.
fn suggested_candidate<'a>(
    view: &View<'a>,
    settings: &RoutingSettings,
    query: &RouteQuery<'_>,
) -> Option<Candidate<'a>> {
    let member = view.directory.member(query.suggested_owner?)?;
    if query.tried.len() >= settings.asked_count {
        return None;
    }
    let query = RouteQuery {
        tried: &[],
        ..*query
    };
    candidates_among(view, &member.domain, iter::once(member), &query).pop()
}

fn is_long(query: &RouteQuery<'_>) -> bool {
    match &query.spec.target {
        CallTarget::Model(call) => call.class() >= LengthClass::Long,
        CallTarget::Service(_) => false,
    }
}

impl Router for LeastCost {
    fn route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        check_target(view, query)?;
        if let Some(suggested) = suggested_candidate(view, &self.settings, query) {
            self.record_sent(ctx.now, view, query, &suggested);
            return Ok(suggested.route(None, "named by the last denial"));
        }
        let affinity = affinity_owner(view, query);
        let mut all = self.sample(ctx, view, query, affinity);
        if all.is_empty() {
            all = candidates(view, &self.settings, query)?;
        }
        let saving_ms = self.prefix_saving(view, query);
        all.sort_by_key(|c| {
            let extra = if affinity.map(|affinity| &affinity.vm) == Some(&c.member.vm) {
                Millis::ZERO
            } else {
                saving_ms
            };
            (self.cost(ctx.now, c, query) + extra, c.tier)
        });
        self.record_sent(ctx.now, view, query, &all[0]);
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
                self.hit_ratio += HIT_SMOOTHING_RATIO * (hit - self.hit_ratio);
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
