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
use persimmon_core::{daemon::PartSettings, ids::FailureDomain, routing::RoutingPolicy};
use persimmon_standin::{
    demo::{Deployment, DeploymentFields},
    read_settings,
};
use serde::Serialize;
use std::{
    fs,
    path::Path,
    process::ExitCode,
    time::{Duration, Instant},
};

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
    let (settings, parts) = (settings(cli)?, PartSettings::default());
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
        Command::Return(args) => domain(cli, &settings, &parts, &args.domain, args.changes),
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
    let loads = cli.load.is_finite() && cli.load > 0.0 && cli.load <= 10.0;
    require(loads, "load", cli.load, "give a share above 0, at most 10")?;
    let spans = (1..=86_400).contains(&cli.seconds);
    require(spans, "seconds", cli.seconds, "give 1 to 86400")?;
    let bursts = (1..=100_000).contains(&cli.burst);
    require(bursts, "burst", cli.burst, "give 1 to 100000")?;
    let threads = (1..=4_096).contains(&cli.threads);
    require(threads, "threads", cli.threads, "give 1 to 4096")?;
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
        seed: cli.seed,
        span: Duration::from_secs(cli.seconds),
        load_ratio: cli.load,
        burst_requests: cli.burst,
        threads_count: cli.threads,
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

fn own_run(settings: &BenchSettings, parts: &PartSettings) -> Result<RunReport, LoadError> {
    let mut bench = Bench::start(settings, parts)?;
    let watched = bench.run(&settings.arrivals(), |_, _, _| Ok(()))?;
    bench.fleet.stop();
    Ok(watched.report())
}

fn remote_run(settings: &BenchSettings, args: &RunArgs) -> Result<RunReport, LoadError> {
    let rates = args.rate.is_finite() && args.rate > 0.0;
    require(rates, "rate", args.rate, "give requests a second above 0")?;
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
        seed: settings.seed,
        rate_per_s: args.rate,
        span: settings.span,
        burst_requests: settings.burst_requests,
        mix: &settings.mix,
        workspaces: &workspaces,
        services: &services,
    });
    let caller = CallerSettings {
        model: model.clone(),
        timeout_ms: settings.mix.timeout_ms,
        seed: settings.seed,
    };
    let run = RunSettings {
        caller: &caller,
        balancer: &Balancer::start(args.daemon.clone()),
        prompts: &Prompts::new(settings.seed, settings.mix.shared_prefix_tokens),
        threads_count: settings.threads_count,
    };
    let meter = UseMeter::start();
    let samples = caller::run(&run, Instant::now(), &arrivals)?;
    Ok(RunReport::new(&samples, meter.used()))
}

fn domain(
    cli: &Cli,
    settings: &BenchSettings,
    parts: &PartSettings,
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
