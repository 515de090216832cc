//! A deployment in this process, under load.

use super::{FleetCounts, KeyCounts};
use crate::{
    caller::{self, Balancer, CallerSettings, RunSettings, Sample},
    errors::require,
    measure::{RunReport, SystemUse, UseMeter},
    workload::{schedule, Arrival, Mix, Prompts, ScheduleSettings},
    LoadError,
};
use persimmon_core::{daemon::ComponentSettings, ids::ModelVersion, units::Millis};
use persimmon_standin::demo::{Deployment, Fleet};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time for a fresh deployment to come to rest: new owners wait for grants that may be out.
const LEAD: Duration = Duration::from_secs(3);

/// Longest wait, after a run, for the engines to give their memory back.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What an experiment runs.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// The mix of requests.
    pub mix: Mix,
    /// Seed of arrivals and prompts.
    pub rng_seed: u64,
    /// Length of a run.
    pub span_ms: Millis,
    /// Load, as a share of the prefill rate of all engines.
    pub load_ratio: f64,
    /// Requests that arrive at the same time.
    pub burst_requests: u32,
    /// Most calls at a time.
    pub threads_count: u32,
}

/// A deployment in this process, ready for load.
pub struct Bench<'a> {
    settings: &'a BenchSettings,
    model: ModelVersion,
    prompts: Prompts,
    /// The deployment.
    pub fleet: Fleet,
    /// Sends callers to its daemons.
    pub balancer: Balancer,
}

/// A run, and what was seen meanwhile.
#[derive(Debug)]
pub struct Watched<T> {
    /// What came of the requests.
    pub samples: Vec<Sample>,
    /// What the action gave.
    pub seen: T,
    /// What the processors did.
    pub system: SystemUse,
}

impl BenchSettings {
    /// Requests a second that make up the load.
    pub fn rate_per_s(&self) -> f64 {
        let engines = self.deployment.domains.values().flat_map(|domain| {
            domain.engines_count.iter().filter_map(|(model, count)| {
                let model = self.deployment.models.get(model)?;
                Some(f64::from(*count) * model.engine.prefill_tokens_per_s.get())
            })
        });
        let model_per_s = self.load_ratio * engines.sum::<f64>() / self.mix.mean_prompt_tokens();
        model_per_s / (1.0 - self.mix.service_ratio).max(0.01)
    }

    /// The arrivals of a run.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let workspaces = self.deployment.workspaces.iter();
        let workspaces: Vec<_> = workspaces
            .map(|(id, fields)| (id.clone(), fields.weight_count))
            .collect();
        let services: Vec<_> = self.deployment.services.keys().cloned().collect();
        schedule(&ScheduleSettings {
            rng_seed: self.rng_seed,
            rate_per_s: self.rate_per_s(),
            span_ms: self.span_ms,
            burst_requests: self.burst_requests,
            mix: &self.mix,
            workspaces: &workspaces,
            services: &services,
        })
    }
}

impl<'a> Bench<'a> {
    /// Starts the deployment.
    ///
    /// # Errors
    ///
    /// Names what did not start, or what the deployment lacks.
    pub fn start(
        settings: &'a BenchSettings,
        parts: &ComponentSettings,
    ) -> Result<Self, LoadError> {
        let model = settings.deployment.models.keys().next();
        require(model.is_some(), "models", 0, "give the deployment a model")?;
        let workspaces_count = settings.deployment.workspaces.len();
        require(
            workspaces_count > 0,
            "workspaces",
            0,
            "give the deployment a workspace",
        )?;
        let fleet = Fleet::start(&settings.deployment, parts)?;
        let balancer = Balancer::start(fleet.callers());
        Ok(Self {
            settings,
            model: model.expect("checked above").clone(),
            prompts: Prompts::new(settings.rng_seed, settings.mix.shared_prefix_tokens),
            fleet,
            balancer,
        })
    }

    /// Makes the calls of `arrivals` while `act` is done to the fleet from the given instant on.
    ///
    /// # Errors
    ///
    /// A thread can't be started, or `act` fails.
    pub fn run<T>(
        &mut self,
        arrivals: &[Arrival],
        act: impl FnOnce(&mut Fleet, &Balancer, Instant) -> Result<T, LoadError>,
    ) -> Result<Watched<T>, LoadError> {
        let caller = CallerSettings {
            model: self.model.clone(),
            timeout_ms: self.settings.mix.timeout_ms,
            rng_seed: self.settings.rng_seed,
        };
        let settings = RunSettings {
            caller: &caller,
            balancer: &self.balancer,
            prompts: &self.prompts,
            threads_count: self.settings.threads_count,
        };
        let (fleet, meter) = (&mut self.fleet, UseMeter::start());
        let start = Instant::now() + LEAD;
        let (samples, seen) = thread::scope(|scope| {
            let calls = scope.spawn(|| caller::run(&settings, start, arrivals));
            let seen = act(fleet, settings.balancer, start);
            (calls.join(), seen)
        });
        let samples = samples.unwrap_or_else(|_| {
            require(false, "thread", "panicked", "report this").map(|()| Vec::new())
        })?;
        Ok(Watched {
            samples,
            seen: seen?,
            system: meter.used(),
        })
    }

    /// Waits until the engines hold no memory of requests, for a bounded time; then the counts.
    pub fn settle(&self) -> FleetCounts {
        let start = Instant::now();
        loop {
            let counts = FleetCounts::of(&self.fleet, start.elapsed());
            if counts.is_settled() || start.elapsed() > SETTLE_TIMEOUT {
                return counts;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs of idempotency keys against what callers were told.
    pub fn key_counts(&self, samples: &[Sample]) -> KeyCounts {
        KeyCounts::of(&self.fleet, samples, self.settings.rng_seed)
    }
}

impl<T> Watched<T> {
    /// The result of the run.
    pub fn report(&self) -> RunReport {
        RunReport::new(&self.samples, self.system)
    }
}
