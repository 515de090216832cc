//! Estimates the prefill work that this daemon sent to each owner recently and that the owners'
//! summaries do not include yet.

use crate::{
    config::UpstreamKind,
    context::View,
    ids::{Generation, VmId},
    units::{Millis, Time, Tokens, TokensPerSecond},
};
use std::collections::BTreeMap;

/// Number of entries at which those without remaining work are removed.
const TRACKED_OWNERS_COUNT: usize = 128;

/// Work sent to one owner for one class of prompts.
#[derive(Clone, Copy, Debug)]
struct OwnerBacklog {
    work_us: f64,
    /// Work of this daemon that the owner's engines complete per microsecond.
    done_ratio: f64,
    at: Time,
}

impl OwnerBacklog {
    fn remaining_us(&self, now: Time) -> f64 {
        let age_us = now.as_us().saturating_sub(self.at.as_us()) as f64;
        (self.work_us - age_us * self.done_ratio).max(0.0)
    }
}

/// Work sent recently, by owner and by whether the prompts are long.
#[derive(Debug, Default)]
pub(super) struct UnreportedWork {
    backlogs: BTreeMap<(VmId, bool), OwnerBacklog>,
    rate: Option<(Generation, TokensPerSecond)>,
}

impl UnreportedWork {
    /// Wait at an owner caused by the work that this daemon sent recently.
    pub(super) fn wait(&self, now: Time, owner: &VmId, long: bool) -> Millis {
        let backlog = self.backlogs.get(&(owner.clone(), long));
        let wait_us = backlog.map_or(0.0, |backlog| {
            backlog.remaining_us(now) / backlog.done_ratio
        });
        Millis::new((wait_us / 1_000.0) as u64)
    }

    /// Adds work. `senders_ratio` is the estimated number of daemons that send to the owner at the
    /// same rate, this one included.
    pub(super) fn add(
        &mut self,
        now: Time,
        owner: &VmId,
        long: bool,
        work: Millis,
        (engines, senders_ratio): (u32, f64),
    ) {
        if self.backlogs.len() >= TRACKED_OWNERS_COUNT {
            self.backlogs
                .retain(|_, backlog| backlog.remaining_us(now) > 0.0);
        }
        let done_ratio = f64::from(engines.max(1)) / senders_ratio;
        let empty = OwnerBacklog {
            work_us: 0.0,
            done_ratio,
            at: now,
        };
        let backlog = self.backlogs.entry((owner.clone(), long)).or_insert(empty);
        let work_us = backlog.remaining_us(now) + work.get() as f64 * 1_000.0;
        *backlog = OwnerBacklog {
            work_us,
            done_ratio,
            at: now,
        };
    }

    /// Prefill time of a prompt at the mean rate of the engines in this daemon's failure domain.
    pub(super) fn prefill(&mut self, view: &View<'_>, tokens: Tokens) -> Millis {
        let generation = view.config.generation;
        let cached = self.rate.filter(|(of, _)| *of == generation);
        let rate = cached
            .map(|(_, rate)| rate)
            .or_else(|| mean_prefill_rate(view));
        self.rate = rate.map(|rate| (generation, rate));
        rate.map_or(Millis::ZERO, |rate| rate.time_for(tokens))
    }
}

fn mean_prefill_rate(view: &View<'_>) -> Option<TokensPerSecond> {
    let upstreams = view.config.upstreams.values();
    let local = upstreams.filter(|config| config.domain == view.me.domain);
    let rates = local.filter_map(|config| match &config.kind {
        UpstreamKind::Engine(engine) => Some(engine.prefill_tokens_per_s.get()),
        UpstreamKind::Service(_) => None,
    });
    let (sum, count) = rates.fold((0.0, 0), |(sum, count), rate| (sum + rate, count + 1));
    TokensPerSecond::try_from(sum / f64::from(count)).ok()
}
