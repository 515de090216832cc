//! An in-process deployment under load.

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

/// Delay before the first request: new owners wait for grants that may still be outstanding.
const STARTUP_DELAY: Duration = Duration::from_secs(3);

/// Timeout, after a run, for the engines to release the KV memory of requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// The request mix.
    pub mix: Mix,
    /// Seed of the random generator for arrivals and prompts.
    pub rng_seed: u64,
    /// Duration of a run.
    pub duration_ms: Millis,
    /// Offered load as a fraction of the total prefill rate of all engines.
    pub load_ratio: f64,
    /// Requests in each burst.
    pub burst_requests: u32,
    /// Maximum number of concurrent calls.
    pub threads_count: u32,
}

/// An in-process deployment, ready for load.
pub struct Testbed<'a> {
    settings: &'a ExperimentSettings,
    model: ModelVersion,
    prompt_generator: PromptGenerator,
    /// The deployment.
    pub fleet: Fleet,
    /// Directs callers to its daemons.
    pub balancer: LoadBalancer,
}

/// The output of a run and of the action performed during it.
#[derive(Debug)]
pub struct RunOutput<T> {
    /// The results of the requests.
    pub samples: Vec<Sample>,
    /// The return value of the action.
    pub action_output: T,
    /// Resource usage during the run.
    pub system: ResourceUsage,
}

impl ExperimentSettings {
    /// Arrival rate, in requests per second, that gives the offered load.
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

    /// Generates the arrivals of a run.
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
    /// Starts the deployment and its load balancer.
    ///
    /// # Errors
    ///
    /// A component fails to start, or the deployment has no model or no workspace.
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

    /// Sends the requests of `arrivals` while `action` runs. `action` receives the fleet, the load
    /// balancer and the instant at which the load starts.
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
            require(
                false,
                "thread",
                "panicked",
                "report this as a bug in persimmon-load",
            )
            .map(|()| Vec::new())
        })?;
        Ok(RunOutput {
            samples,
            action_output: action_output?,
            system: meter.usage(),
        })
    }

    /// Waits until the engines hold no requests and no KV memory, or until a timeout. Returns the
    /// counts at that time.
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

    /// Compares the runs of each idempotency key with the results that callers received.
    pub fn idempotency_counts(&self, samples: &[Sample]) -> IdempotencyCounts {
        IdempotencyCounts::of(&self.fleet, samples, self.settings.rng_seed)
    }
}

impl<T> RunOutput<T> {
    /// Summarises the run.
    pub fn report(&self) -> RunReport {
        RunReport::new(&self.samples, self.system)
    }
}
