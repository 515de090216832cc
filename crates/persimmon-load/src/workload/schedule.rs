//! Open-loop arrivals: their times don't depend on responses.

use super::{Arrival, Mix, PromptRange, RequestKind};
use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    units::{Millis, Tokens},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Parameters of a schedule.
#[derive(Clone, Debug)]
pub struct ScheduleSettings<'a> {
    /// Seed of the random generator.
    pub rng_seed: u64,
    /// Mean arrival rate in requests per second.
    pub rate_per_s: f64,
    /// Duration of the run.
    pub duration_ms: Millis,
    /// Requests in each burst; 1 gives Poisson arrivals.
    pub burst_requests: u32,
    /// The request mix.
    pub mix: &'a Mix,
    /// Workspaces with their weights.
    pub workspaces: &'a [(WorkspaceId, u32)],
    /// Plain services, called with equal probability.
    pub services: &'a [ServiceName],
}

/// Generates the arrivals of a run in chronological order. Equal settings give equal arrivals.
pub fn schedule(settings: &ScheduleSettings<'_>) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.rng_seed);
    let burst = settings.burst_requests.max(1);
    let bursts_per_s = settings.rate_per_s / f64::from(burst);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / bursts_per_s;
        if at_s >= settings.duration_ms.duration().as_secs_f64() {
            return arrivals;
        }
        for _ in 0..burst {
            let number_index = arrivals.len() as u64;
            arrivals.push(Arrival {
                number_index,
                at_us: (at_s * 1e6) as u64,
                workspace: pick_workspace(&mut rng, settings.workspaces),
                kind: pick_request(&mut rng, settings),
            });
        }
    }
}

fn pick_workspace(rng: &mut ChaCha8Rng, workspaces: &[(WorkspaceId, u32)]) -> WorkspaceId {
    let shares: u32 = workspaces.iter().map(|(_, share)| share).sum();
    let mut remaining = rng.random_range(0..shares);
    for (workspace, share) in workspaces {
        if remaining < *share {
            return workspace.clone();
        }
        remaining -= share;
    }
    workspaces[0].0.clone()
}

fn pick_request(rng: &mut ChaCha8Rng, settings: &ScheduleSettings<'_>) -> RequestKind {
    let mix = settings.mix;
    let calls_service = rng.random::<f64>() < mix.service_ratio;
    let prompt_tokens = pick_prompt_tokens(rng, mix);
    let output_tokens =
        Tokens::new(rng.random_range(mix.output_min_tokens.get()..=mix.output_max_tokens.get()));
    let shares_prefix = rng.random::<f64>() < mix.shared_prefix_ratio;
    if calls_service && !settings.services.is_empty() {
        let index = rng.random_range(0..settings.services.len());
        return RequestKind::Service(settings.services[index].clone());
    }
    RequestKind::Model {
        prompt_tokens,
        output_tokens,
        shares_prefix,
    }
}

fn pick_prompt_tokens(rng: &mut ChaCha8Rng, mix: &Mix) -> Tokens {
    let mut remaining = rng.random_range(0..mix.total_shares());
    let position = rng.random::<f64>();
    for range in &mix.prompts {
        if remaining < range.share_count {
            return log_uniform_tokens(range, position);
        }
        remaining -= range.share_count;
    }
    mix.prompts[0].min_tokens
}

/// The length at `position`, from 0 to 1, on the range's logarithmic scale.
fn log_uniform_tokens(range: &PromptRange, position: f64) -> Tokens {
    let (min, max) = (range.min_tokens.get() as f64, range.max_tokens.get() as f64);
    let tokens = min * (max / min).powf(position);
    Tokens::new(tokens.round() as u64).clamp(range.min_tokens, range.max_tokens)
}
