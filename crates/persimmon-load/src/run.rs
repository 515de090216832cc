//! From the command line to the result.

use crate::{
    args::{Cli, Command, RunArgs},
    caller::{self, Balancer, CallerSettings, RunSettings},
    errors::require,
    experiment::{
        alone, change_domain, compare, faults, slopes, Bench, BenchSettings, ChangeReport,
        FaultCase, FaultRow, Point,
    },
    measure::{RunReport, UseMeter},
    plot::plot,
    workload::{schedule, Mix, Prompts, ScheduleSettings},
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

/// Sizes that `slopes` measures where none is named: daemons and engines of a failure domain.
const SLOPE_SIZES: [(u32, u32); 6] = [(1, 2), (3, 2), (6, 2), (3, 5), (3, 10), (3, 30)];

/// Runs one experiment, prints its table and writes its result.
pub fn run(cli: &Cli) -> ExitCode {
    match experiment(cli) {
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

fn experiment(cli: &Cli) -> Result<String, LoadError> {
    let (settings, parts) = (settings(cli)?, ComponentSettings::default());
    match &cli.command {
        Command::Run(args) => {
            let report = match args.daemon.is_empty() {
                true => own_run(&settings, &parts)?,
                false => remote_run(&settings, args)?,
            };
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Compare(args) => {
            let report = compare(&settings, &policies(&args.policy))?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Alone(_) => {
            let report = alone(&settings, &parts)?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
        Command::Drain(args) => domain(cli, &settings, &parts, &args.domain, 1),
        Command::Return(args) => domain(cli, &settings, &parts, &args.domain, args.changes_count),
        Command::Faults(args) => {
            let cases = match args.case.is_empty() {
                true => &FaultCase::ALL[..],
                false => &args.case,
            };
            let rows = faults(&settings, &parts, cases)?;
            write_json(cli, &rows)?;
            Ok(rows.iter().map(FaultRow::line).collect())
        }
        Command::Slopes(args) => {
            let sizes = match args.size.is_empty() {
                true => &SLOPE_SIZES[..],
                false => &args.size,
            };
            let report = slopes(&settings, &parts, sizes)?;
            write_json(cli, &report)?;
            Ok(report.table())
        }
    }
}

fn settings(cli: &Cli) -> Result<BenchSettings, LoadError> {
    let loads = cli.load_ratio.is_finite() && cli.load_ratio > 0.0 && cli.load_ratio <= 10.0;
    require(
        loads,
        "load",
        cli.load_ratio,
        "give a share above 0, at most 10",
    )?;
    let spans = (1..=86_400).contains(&cli.span_s);
    require(spans, "seconds", cli.span_s, "give 1 to 86400")?;
    let bursts = (1..=100_000).contains(&cli.burst_requests);
    require(bursts, "burst", cli.burst_requests, "give 1 to 100000")?;
    let threads = (1..=4_096).contains(&cli.threads_count);
    require(threads, "threads", cli.threads_count, "give 1 to 4096")?;
    let mix = match &cli.mix {
        Some(file) => Mix::read(file)?,
        None => Mix::example()?,
    };
    let deployment = match &cli.deployment {
        Some(file) => read_settings::<DeploymentFields, Deployment>(file)?,
        None => Deployment::example()?,
    };
    Ok(BenchSettings {
        deployment,
        mix,
        rng_seed: cli.rng_seed,
        span_ms: Millis::from_secs(cli.span_s),
        load_ratio: cli.load_ratio,
        burst_requests: cli.burst_requests,
        threads_count: cli.threads_count,
    })
}

fn policies(named: &[RoutingPolicy]) -> Vec<RoutingPolicy> {
    match named.is_empty() {
        true => vec![
            RoutingPolicy::Cost,
            RoutingPolicy::RoundRobin,
            RoutingPolicy::LeastOutstanding,
        ],
        false => named.to_vec(),
    }
}

fn own_run(settings: &BenchSettings, parts: &ComponentSettings) -> Result<RunReport, LoadError> {
    let mut bench = Bench::start(settings, parts)?;
    let watched = bench.run(&settings.arrivals(), |_, _, _| Ok(()))?;
    bench.fleet.stop();
    Ok(watched.report())
}

fn remote_run(settings: &BenchSettings, args: &RunArgs) -> Result<RunReport, LoadError> {
    let rates = args.rate_per_s.is_finite() && args.rate_per_s > 0.0;
    require(
        rates,
        "rate",
        args.rate_per_s,
        "give requests a second above 0",
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
        span_ms: settings.span_ms,
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
        balancer: &Balancer::start(args.daemon.clone()),
        prompts: &Prompts::new(settings.rng_seed, settings.mix.shared_prefix_tokens),
        threads_count: settings.threads_count,
    };
    let meter = UseMeter::start();
    let samples = caller::run(&run, Instant::now(), &arrivals)?;
    Ok(RunReport::new(&samples, meter.used()))
}

fn domain(
    cli: &Cli,
    settings: &BenchSettings,
    parts: &ComponentSettings,
    domain: &FailureDomain,
    changes_count: u32,
) -> Result<String, LoadError> {
    let report = change_domain(settings, parts, domain, changes_count)?;
    write_json(cli, &report)?;
    if let Some(file) = &cli.svg {
        plot_change(&report, &report.points, file)?;
    }
    Ok(report.table())
}

fn plot_change(report: &ChangeReport, points: &[Point], file: &Path) -> Result<(), LoadError> {
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
