//! Arrivals of an open loop: they don't wait for answers.

use super::{Arrival, Mix, PromptRange, Work};
use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    units::Tokens,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What a schedule is made from.
#[derive(Clone, Debug)]
pub struct ScheduleSettings<'a> {
    /// Seed of the generator.
    pub seed: u64,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Length of the run.
    pub span: Duration,
    /// Requests that arrive at the same time; 1 makes Poisson arrivals.
    pub burst_requests: u32,
    /// The mix.
    pub mix: &'a Mix,
    /// Workspaces with their shares.
    pub workspaces: &'a [(WorkspaceId, u32)],
    /// Plain services.
    pub services: &'a [ServiceName],
}

/// The arrivals of a run, in order. The same settings give the same arrivals.
pub fn schedule(settings: &ScheduleSettings<'_>) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let burst = settings.burst_requests.max(1);
    let groups_per_s = settings.rate_per_s / f64::from(burst);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / groups_per_s;
        if at_s >= settings.span.as_secs_f64() {
            return arrivals;
        }
        for _ in 0..burst {
            let number_index = arrivals.len() as u64;
            arrivals.push(Arrival {
                number_index,
                at: Duration::from_secs_f64(at_s),
                workspace: workspace(&mut rng, settings.workspaces),
                work: work(&mut rng, settings),
            });
        }
    }
}

fn workspace(rng: &mut ChaCha8Rng, workspaces: &[(WorkspaceId, u32)]) -> WorkspaceId {
    let shares: u32 = workspaces.iter().map(|(_, share)| share).sum();
    let mut left = rng.random_range(0..shares);
    for (workspace, share) in workspaces {
        if left < *share {
            return workspace.clone();
        }
        left -= share;
    }
    workspaces[0].0.clone()
}

fn work(rng: &mut ChaCha8Rng, settings: &ScheduleSettings<'_>) -> Work {
    let mix = settings.mix;
    let calls_service = rng.random::<f64>() < mix.service_ratio;
    let prompt_tokens = prompt_tokens(rng, mix);
    let output_tokens =
        Tokens::new(rng.random_range(mix.output_min_tokens.get()..=mix.output_max_tokens.get()));
    let shares_prefix = rng.random::<f64>() < mix.shared_prefix_ratio;
    if calls_service && !settings.services.is_empty() {
        let index = rng.random_range(0..settings.services.len());
        return Work::Service(settings.services[index].clone());
    }
    Work::Model {
        prompt_tokens,
        output_tokens,
        shares_prefix,
    }
}

fn prompt_tokens(rng: &mut ChaCha8Rng, mix: &Mix) -> Tokens {
    let mut left = rng.random_range(0..mix.share_count());
    let at = rng.random::<f64>();
    for range in &mix.prompts {
        if left < range.share_count {
            return length(range, at);
        }
        left -= range.share_count;
    }
    mix.prompts[0].min_tokens
}

/// The length at a point from 0 to 1 of the range's logarithmic scale.
fn length(range: &PromptRange, at: f64) -> Tokens {
    let (min, max) = (range.min_tokens.get() as f64, range.max_tokens.get() as f64);
    let tokens = min * (max / min).powf(at);
    Tokens::new(tokens.round() as u64).clamp(range.min_tokens, range.max_tokens)
}
