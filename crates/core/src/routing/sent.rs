//! Prefill work that this daemon sent to each owner lately and that no summary shows yet.

use crate::{
    config::UpstreamKind,
    context::View,
    ids::{Generation, VmId},
    units::{Millis, Time, Tokens, TokensPerSecond},
};
use std::collections::BTreeMap;

/// Owners that are remembered before the idle ones are forgotten.
const KEPT_COUNT: usize = 128;

/// Work sent to one owner.
#[derive(Clone, Copy, Debug)]
struct Sent {
    work_us: f64,
    /// Work that its engines do in a microsecond, as seen from this daemon alone.
    done_ratio: f64,
    at: Time,
}

impl Sent {
    fn left_us(&self, now: Time) -> f64 {
        let age_us = now.as_us().saturating_sub(self.at.as_us()) as f64;
        (self.work_us - age_us * self.done_ratio).max(0.0)
    }
}

/// Work sent, by owner and by whether the prompts are long.
#[derive(Debug, Default)]
pub(super) struct SentWork {
    sent: BTreeMap<(VmId, bool), Sent>,
    rate: Option<(Generation, TokensPerSecond)>,
}

impl SentWork {
    /// Wait that the work sent lately adds at an owner.
    pub(super) fn wait(&self, now: Time, owner: &VmId, long: bool) -> Millis {
        let sent = self.sent.get(&(owner.clone(), long));
        let wait_us = sent.map_or(0.0, |sent| sent.left_us(now) / sent.done_ratio);
        Millis::new((wait_us / 1_000.0) as u64)
    }

    /// Adds work. `alike_ratio` is how many daemons probably send alike, this one included.
    pub(super) fn add(
        &mut self,
        now: Time,
        owner: &VmId,
        long: bool,
        work: Millis,
        (engines, alike_ratio): (u32, f64),
    ) {
        if self.sent.len() >= KEPT_COUNT {
            self.sent.retain(|_, sent| sent.left_us(now) > 0.0);
        }
        let done_ratio = f64::from(engines.max(1)) / alike_ratio;
        let fresh = Sent {
            work_us: 0.0,
            done_ratio,
            at: now,
        };
        let sent = self.sent.entry((owner.clone(), long)).or_insert(fresh);
        let work_us = sent.left_us(now) + work.get() as f64 * 1_000.0;
        *sent = Sent {
            work_us,
            done_ratio,
            at: now,
        };
    }

    /// Prefill time of a prompt at a typical engine of the own failure domain.
    pub(super) fn prefill(&mut self, view: &View<'_>, tokens: Tokens) -> Millis {
        let generation = view.config.generation;
        let known = self.rate.filter(|(of, _)| *of == generation);
        let rate = known.map(|(_, rate)| rate).or_else(|| typical_rate(view));
        self.rate = rate.map(|rate| (generation, rate));
        rate.map_or(Millis::ZERO, |rate| rate.span(tokens))
    }
}

fn typical_rate(view: &View<'_>) -> Option<TokensPerSecond> {
    let upstreams = view.config.upstreams.values();
    let near = upstreams.filter(|config| config.domain == view.me.domain);
    let rates = near.filter_map(|config| match &config.kind {
        UpstreamKind::Engine(engine) => Some(engine.prefill_tokens_per_s.get()),
        UpstreamKind::Service(_) => None,
    });
    let (sum, count) = rates.fold((0.0, 0), |(sum, count), rate| (sum + rate, count + 1));
    TokensPerSecond::try_from(sum / f64::from(count)).ok()
}
