//! A deployment in this process, under load.

use super::{FleetCounts, IdempotencyCounts};
use crate::{
    caller::{self, CallerSettings, LoadBalancer, RunSettings, Sample},
    errors::require,
    measure::{ResourceMeter, ResourceUsage, RunReport},
    workload::{schedule, Arrival, Mix, PromptGenerator, ScheduleSettings},
    LoadError,
};
use persimmon_core::{daemon::ComponentSettings, ids::ModelVersion, units::Millis};
use persimmon_standin::demo::{Deployment, Fleet};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time for a fresh deployment to come to rest: new owners wait for grants that may be out.
const STARTUP_DELAY: Duration = Duration::from_secs(3);

/// Longest wait, after a run, for the engines to give their memory back.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What an experiment runs.
#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// The mix of requests.
    pub mix: Mix,
    /// Seed of arrivals and prompts.
    pub rng_seed: u64,
    /// Length of a run.
    pub duration_ms: Millis,
    /// Load, as a share of the prefill rate of all engines.
    pub load_ratio: f64,
    /// Requests that arrive at the same time.
    pub burst_requests: u32,
    /// Most calls at a time.
    pub threads_count: u32,
}

/// A deployment in this process, ready for load.
pub struct Testbed<'a> {
    settings: &'a ExperimentSettings,
    model: ModelVersion,
    prompt_generator: PromptGenerator,
    /// The deployment.
    pub fleet: Fleet,
    /// Sends callers to its daemons.
    pub balancer: LoadBalancer,
}

/// A run, and what was action_output meanwhile.
#[derive(Debug)]
pub struct RunOutput<T> {
    /// What came of the requests.
    pub samples: Vec<Sample>,
    /// What the action gave.
    pub action_output: T,
    /// What the processors did.
    pub system: ResourceUsage,
}

impl ExperimentSettings {
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
            duration_ms: self.duration_ms,
            burst_requests: self.burst_requests,
            mix: &self.mix,
            workspaces: &workspaces,
            services: &services,
        })
    }
}

impl<'a> Testbed<'a> {
    /// Starts the deployment.
    ///
    /// # Errors
    ///
    /// Names what did not start, or what the deployment lacks.
    pub fn start(
        settings: &'a ExperimentSettings,
        components: &ComponentSettings,
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
        let fleet = Fleet::start(&settings.deployment, components)?;
        let balancer = LoadBalancer::start(fleet.caller_addresses());
        Ok(Self {
            settings,
            model: model.expect("checked above").clone(),
            prompt_generator: PromptGenerator::new(
                settings.rng_seed,
                settings.mix.shared_prefix_tokens,
            ),
            fleet,
            balancer,
        })
    }

    /// Makes the calls of `arrivals` while `action` is done to the fleet from the given instant on.
    ///
    /// # Errors
    ///
    /// A thread can't be started, or `action` fails.
    pub fn run<T>(
        &mut self,
        arrivals: &[Arrival],
        action: impl FnOnce(&mut Fleet, &LoadBalancer, Instant) -> Result<T, LoadError>,
    ) -> Result<RunOutput<T>, LoadError> {
        let caller = CallerSettings {
            model: self.model.clone(),
            timeout_ms: self.settings.mix.timeout_ms,
            rng_seed: self.settings.rng_seed,
        };
        let settings = RunSettings {
            caller: &caller,
            balancer: &self.balancer,
            prompt_generator: &self.prompt_generator,
            threads_count: self.settings.threads_count,
        };
        let (fleet, meter) = (&mut self.fleet, ResourceMeter::start());
        let start = Instant::now() + STARTUP_DELAY;
        let (samples, action_output) = thread::scope(|scope| {
            let calls = scope.spawn(|| caller::run(&settings, start, arrivals));
            let action_output = action(fleet, settings.balancer, start);
            (calls.join(), action_output)
        });
        let samples = samples.unwrap_or_else(|_| {
            require(false, "thread", "panicked", "report this").map(|()| Vec::new())
        })?;
        Ok(RunOutput {
            samples,
            action_output: action_output?,
            system: meter.usage(),
        })
    }

    /// Waits until the engines hold no memory of requests, for a bounded time; then the counts.
    pub fn wait_until_idle(&self) -> FleetCounts {
        let start = Instant::now();
        loop {
            let counts = FleetCounts::of(&self.fleet, start.elapsed());
            if counts.is_idle() || start.elapsed() > IDLE_TIMEOUT {
                return counts;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs of idempotency keys against what callers were told.
    pub fn idempotency_counts(&self, samples: &[Sample]) -> IdempotencyCounts {
        IdempotencyCounts::of(&self.fleet, samples, self.settings.rng_seed)
    }
}

impl<T> RunOutput<T> {
    /// The result of the run.
    pub fn report(&self) -> RunReport {
        RunReport::new(&self.samples, self.system)
    }
}
