//! Selects the engines of a failure domain that take long prompts.
//!
//! Every owner orders the domain's engines by the same hash, and sizes the set by the demand that
//! all owners of the domain report in their summaries. Only the owner of an engine places prompts
//! there, so a temporary disagreement between owners is harmless.

use super::{owner::Owner, queue::Lane, summary::shortest_wait};
use crate::{
    config::UpstreamKind,
    context::View,
    ids::{FailureDomain, UpstreamId, VmId},
    units::{Millis, Time},
};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Time constant of the exponential decay of demand, in microseconds.
const DEMAND_DECAY_US: f64 = 20_000_000.0;
/// Time in which the queued prefill work should be done, in milliseconds.
const QUEUE_TARGET_MS: u64 = 5_000;
/// Utilisation of the engines for long prompts above which the set grows, in thousandths.
const MAX_LONG_BUSY_PERMILLE: u32 = 800;
/// Utilisation by short prompts that the other engines are sized for, in thousandths.
const MAX_SHORT_BUSY_PERMILLE: u32 = 600;
/// One engine in this many takes long prompts even without demand.
const ENGINES_PER_LONG_ENGINE: usize = 8;
/// Minimum time between two steps in which the set shrinks by one engine.
const SHRINK_INTERVAL_MS: Millis = Millis::new(10_000);

/// Exponentially decaying average of the prefill work of one lane, in busy engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    busy_engines: f64,
    updated_at: Time,
}

impl Demand {
    fn decayed(&self, now: Time) -> f64 {
        let age_us = now.as_us().saturating_sub(self.updated_at.as_us());
        self.busy_engines * (-(age_us as f64) / DEMAND_DECAY_US).exp()
    }

    pub(super) fn add(&mut self, now: Time, work: Millis) {
        let work_us = work.get() as f64 * 1_000.0;
        self.busy_engines = self.decayed(now) + work_us / DEMAND_DECAY_US;
        self.updated_at = now;
    }

    /// Number of engines that the recent work keeps busy, in thousandths.
    pub(super) fn busy_permille(&self, now: Time) -> u32 {
        (self.decayed(now) * 1_000.0) as u32
    }
}

/// The ordered engines of each failure domain, and how many of them take long prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct LongPromptEngines {
    order: BTreeMap<FailureDomain, Vec<UpstreamId>>,
    sizes: BTreeMap<FailureDomain, usize>,
    members: BTreeSet<UpstreamId>,
    shrunk_at: Time,
}

impl LongPromptEngines {
    /// Orders the serving engines of each domain by the hash of their name.
    pub(super) fn rebuild_order(&mut self, view: &View<'_>) {
        self.order.clear();
        for (id, config) in &view.config.upstreams {
            let engine = matches!(config.kind, UpstreamKind::Engine(_));
            if engine && view.config.serves_upstream(id) {
                let engines = self.order.entry(config.domain.clone()).or_default();
                engines.push(id.clone());
            }
        }
        for engines in self.order.values_mut() {
            engines.sort_by_cached_key(|id| xxh3_64(id.as_str().as_bytes()));
        }
    }

    /// Adjusts the size of a domain's set to its demand.
    fn resize(
        &mut self,
        now: Time,
        domain: &FailureDomain,
        short_permille: u32,
        long_permille: u32,
    ) {
        let Some(engines) = self.order.get(domain) else {
            return;
        };
        let (target, max_size) = target_size(engines.len(), short_permille, long_permille);
        let size = self.sizes.entry(domain.clone()).or_insert(target);
        if target > *size {
            *size = target;
        } else if target < *size && now.since(self.shrunk_at) >= SHRINK_INTERVAL_MS {
            *size -= 1;
            self.shrunk_at = now;
        }
        // Engines that short prompts need are returned immediately, without the shrink interval.
        *size = (*size).min(max_size);
    }

    fn rebuild_members(&mut self) {
        self.members.clear();
        for (domain, engines) in &self.order {
            let size = self.sizes.get(domain).copied().unwrap_or_default();
            self.members.extend(engines.iter().take(size).cloned());
        }
    }

    pub(super) fn contains(&self, upstream: &UpstreamId) -> bool {
        self.members.contains(upstream)
    }
}

/// Number of engines of a domain that should take long prompts, and the upper bound.
fn target_size(engines_count: usize, short_permille: u32, long_permille: u32) -> (usize, usize) {
    let min_size = engines_count.div_ceil(ENGINES_PER_LONG_ENGINE).max(1);
    let for_short = short_permille.div_ceil(MAX_SHORT_BUSY_PERMILLE) as usize;
    let for_short = for_short.max(engines_count / 4).max(1);
    let max_size = engines_count.saturating_sub(for_short).max(min_size);
    let for_long = long_permille.div_ceil(MAX_LONG_BUSY_PERMILLE) as usize;
    (for_long.clamp(min_size, max_size), max_size)
}

impl Owner {
    /// Number of engines that this owner's granted and queued work of a lane keeps busy, in
    /// thousandths.
    pub(super) fn demand_permille(&self, now: Time, lane: Lane) -> u32 {
        let waiting = self.queue.prefill_ms(lane).get() * 1_000 / QUEUE_TARGET_MS;
        self.demand[lane as usize].busy_permille(now) + waiting as u32
    }

    /// Recomputes the set from this owner's demand and what the other owners report.
    pub(super) fn refresh_long_prompt_engines(&mut self, now: Time, view: &View<'_>) {
        let domains = self.accounts.values().map(|a| a.config.domain.clone());
        let domains: BTreeSet<FailureDomain> = domains.collect();
        for domain in domains {
            let mut short = self.demand_permille(now, Lane::Short);
            let mut long = self.demand_permille(now, Lane::Long);
            let others = view.directory.live_in(&domain).iter();
            for other in others.filter(|other| other.vm != view.me.vm) {
                if let Some(summary) = view.directory.summary_of(&other.vm) {
                    short += summary.short_busy_permille;
                    long += summary.long_busy_permille;
                }
            }
            self.long_prompt_engines.resize(now, &domain, short, long);
        }
        self.long_prompt_engines.rebuild_members();
    }

    /// The owner, other than this one, of an engine for long prompts with the shortest wait, if
    /// that is at most `max_wait`.
    pub(super) fn owner_for_long_prompt(&self, view: &View<'_>, max_wait: Millis) -> Option<VmId> {
        let owners = self.long_prompt_engines.members.iter();
        let owners = owners.filter_map(|id| view.directory.owner_of(id));
        let owners: BTreeSet<&VmId> = owners.collect();
        owner_with_shortest_wait(view, owners.into_iter(), Lane::Long, max_wait)
    }

    /// The other owner in the domain with the shortest wait for short prompts, if that is at most
    /// `max_wait`.
    pub(super) fn owner_for_short_prompt(&self, view: &View<'_>, max_wait: Millis) -> Option<VmId> {
        let owners = view.directory.live_in(&view.me.domain).iter();
        owner_with_shortest_wait(view, owners.map(|member| &member.vm), Lane::Short, max_wait)
    }
}

fn owner_with_shortest_wait<'a>(
    view: &View<'_>,
    owners: impl Iterator<Item = &'a VmId>,
    lane: Lane,
    max_wait: Millis,
) -> Option<VmId> {
    let others = owners.filter(|vm| **vm != view.me.vm);
    let waits = others.filter_map(|vm| {
        let wait = shortest_wait(view.directory.summary_of(vm)?, lane)?;
        (wait <= max_wait).then_some((wait, vm))
    });
    waits.min().map(|(_, vm)| vm.clone())
}
