//! Runs the experiment that the command line selects.

use crate::{
    args::{Cli, Command, RunArgs},
    caller::{self, CallerSettings, LoadBalancer, RunSettings},
    errors::require,
    experiment::{
        change_domain, compare, control_cost, faults, interference, DomainChangeReport,
        ExperimentSettings, FaultCase, FaultReport, RatePoint, Testbed,
    },
    measure::{ResourceMeter, RunReport},
    plot::plot,
    workload::{schedule, Mix, PromptGenerator, ScheduleSettings},
    LoadError,
};
use persimmon_core::{
    daemon::ComponentSettings, ids::FailureDomain, routing::RoutingPolicy, units::Millis,
};
use persimmon_standin::{
    demo::{Deployment, DeploymentFields},
    read_settings,
};
use serde::Serialize;
use std::{fs, path::Path, process::ExitCode, time::Instant};

/// Fleet sizes that `slopes` measures by default: daemons and engines per failure domain.
const DEFAULT_FLEET_SIZES: [(u32, u32); 6] = [(1, 2), (3, 2), (6, 2), (3, 5), (3, 10), (3, 30)];

/// Runs one experiment, prints its table and writes the result file if one is requested.
pub fn run(cli: &Cli) -> ExitCode {
    match run_command(cli) {
        Ok(table) => {
            print!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("persimmon-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(cli: &Cli) -> Result<String, LoadError> {
    let (settings, components) = (experiment_settings(cli)?, ComponentSettings::default());
    match &cli.command {
        Command::Run(args) => {
            let report = match args.daemon.is_empty() {
                true => run_local(&settings, &components)?,
                false => run_remote(&settings, args)?,
            };
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Compare(args) => {
            let report = compare(&settings, &policies_or_default(&args.policy))?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Alone(_) => {
            let report = interference(&settings, &components)?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Drain(args) => run_domain_change(cli, &settings, &components, &args.domain, 1),
        Command::Return(args) => run_domain_change(
            cli,
            &settings,
            &components,
            &args.domain,
            args.changes_count,
        ),
        Command::Faults(args) => {
            let cases = match args.case.is_empty() {
                true => &FaultCase::ALL[..],
                false => &args.case,
            };
            let rows = faults(&settings, &components, cases)?;
            write_json(cli, &rows)?;
            Ok(rows.iter().map(FaultReport::line).collect())
        }
        Command::Slopes(args) => {
            let sizes = match args.size.is_empty() {
                true => &DEFAULT_FLEET_SIZES[..],
                false => &args.size,
            };
            let report = control_cost(&settings, &components, sizes)?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
    }
}

fn experiment_settings(cli: &Cli) -> Result<ExperimentSettings, LoadError> {
    let load_valid = cli.load_ratio.is_finite() && cli.load_ratio > 0.0 && cli.load_ratio <= 10.0;
    require(
        load_valid,
        "load",
        cli.load_ratio,
        "give a fraction above 0 and at most 10",
    )?;
    let duration_valid = (1..=86_400).contains(&cli.duration_s);
    require(duration_valid, "seconds", cli.duration_s, "give 1 to 86400")?;
    let burst_valid = (1..=100_000).contains(&cli.burst_requests);
    require(burst_valid, "burst", cli.burst_requests, "give 1 to 100000")?;
    let threads_valid = (1..=4_096).contains(&cli.threads_count);
    require(
        threads_valid,
        "threads",
        cli.threads_count,
        "give 1 to 4096",
    )?;
    let mix = match &cli.mix {
        Some(file) => Mix::read(file)?,
        None => Mix::example()?,
    };
    let deployment = match &cli.deployment {
        Some(file) => read_settings::<DeploymentFields, Deployment>(file)?,
        None => Deployment::example()?,
    };
    Ok(ExperimentSettings {
        deployment,
        mix,
        rng_seed: cli.rng_seed,
        duration_ms: Millis::from_secs(cli.duration_s),
        load_ratio: cli.load_ratio,
        burst_requests: cli.burst_requests,
        threads_count: cli.threads_count,
    })
}

fn policies_or_default(requested: &[RoutingPolicy]) -> Vec<RoutingPolicy> {
    match requested.is_empty() {
        true => vec![
            RoutingPolicy::Cost,
            RoutingPolicy::RoundRobin,
            RoutingPolicy::LeastOutstanding,
        ],
        false => requested.to_vec(),
    }
}

fn run_local(
    settings: &ExperimentSettings,
    components: &ComponentSettings,
) -> Result<RunReport, LoadError> {
    let mut testbed = Testbed::start(settings, components)?;
    let output = testbed.run(&settings.arrivals(), |_, _, _| Ok(()))?;
    testbed.fleet.stop();
    Ok(output.report())
}

fn run_remote(settings: &ExperimentSettings, args: &RunArgs) -> Result<RunReport, LoadError> {
    let rate_valid = args.rate_per_s.is_finite() && args.rate_per_s > 0.0;
    require(
        rate_valid,
        "rate",
        args.rate_per_s,
        "give a rate above 0 requests per second",
    )?;
    let example = settings.deployment.models.keys().next();
    let model = args.model.as_ref().or(example).ok_or(LoadError::Setting {
        key: "model",
        value: "absent".into(),
        remedy: "give --model NAME@VERSION",
    })?;
    let workspaces = settings.deployment.workspaces.iter();
    let workspaces: Vec<_> = workspaces
        .map(|(id, fields)| (id.clone(), fields.weight_count))
        .collect();
    let services: Vec<_> = settings.deployment.services.keys().cloned().collect();
    let arrivals = schedule(&ScheduleSettings {
        rng_seed: settings.rng_seed,
        rate_per_s: args.rate_per_s,
        duration_ms: settings.duration_ms,
        burst_requests: settings.burst_requests,
        mix: &settings.mix,
        workspaces: &workspaces,
        services: &services,
    });
    let caller = CallerSettings {
        model: model.clone(),
        timeout_ms: settings.mix.timeout_ms,
        rng_seed: settings.rng_seed,
    };
    let run = RunSettings {
        caller: &caller,
        balancer: &LoadBalancer::start(args.daemon.clone()),
        prompt_generator: &PromptGenerator::new(
            settings.rng_seed,
            settings.mix.shared_prefix_tokens,
        ),
        threads_count: settings.threads_count,
    };
    let meter = ResourceMeter::start();
    let samples = caller::run(&run, Instant::now(), &arrivals)?;
    Ok(RunReport::new(&samples, meter.usage()))
}

fn run_domain_change(
    cli: &Cli,
    settings: &ExperimentSettings,
    components: &ComponentSettings,
    domain: &FailureDomain,
    changes_count: u32,
) -> Result<String, LoadError> {
    let report = change_domain(settings, components, domain, changes_count)?;
    write_json(cli, &report)?;
    if let Some(file) = &cli.svg {
        plot_domain_change(&report, &report.points, file)?;
    }
    Ok(report.table())
}

fn plot_domain_change(
    report: &DomainChangeReport,
    points: &[RatePoint],
    file: &Path,
) -> Result<(), LoadError> {
    let domain = &report.domain;
    plot(points, &format!("{domain} drained and returned"), file)
}

fn write_json(cli: &Cli, report: &impl Serialize) -> Result<(), LoadError> {
    let Some(path) = &cli.json else {
        return Ok(());
    };
    let failed = |reason: String| LoadError::File {
        path: path.clone(),
        reason,
    };
    let text = serde_json::to_string_pretty(report).map_err(|error| failed(error.to_string()))?;
    fs::write(path, text + "\n").map_err(|error| failed(error.to_string()))
}
