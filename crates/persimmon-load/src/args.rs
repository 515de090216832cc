//! The command line.

use argh::FromArgs;
use persimmon_core::{
    ids::{FailureDomain, ModelVersion},
    routing::RoutingPolicy,
};
use std::{net::SocketAddr, path::PathBuf};

/// Open-loop load generator and experiments for persimmonfront.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// the deployment to start in this process, in JSON (default: the jadeleaf example)
    #[argh(option)]
    pub deployment: Option<PathBuf>,
    /// the mix of requests, in JSON (default: the built-in mix)
    #[argh(option)]
    pub mix: Option<PathBuf>,
    /// seed of the random generator for arrivals and prompts (default 1)
    #[argh(option, long = "seed", default = "1")]
    pub rng_seed: u64,
    /// duration of a run in seconds (default 20)
    #[argh(option, long = "seconds", default = "20")]
    pub duration_s: u64,
    /// offered load as a fraction of the total prefill rate of all engines (default 0.3)
    #[argh(option, long = "load", default = "0.3")]
    pub load_ratio: f64,
    /// requests in each burst (default 1: Poisson arrivals)
    #[argh(option, long = "burst", default = "1")]
    pub burst_requests: u32,
    /// maximum number of concurrent calls (default 400)
    #[argh(option, long = "threads", default = "400")]
    pub threads_count: u32,
    /// file to write the result to, in JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// file to write the plot to, in SVG, if the experiment has one
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// the experiment to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The experiments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// A single run.
    Run(RunArgs),
    /// Comparison of routing policies.
    Compare(CompareArgs),
    /// Slowdown of short requests by long ones.
    Alone(AloneArgs),
    /// Drain of a failure domain.
    Drain(DrainArgs),
    /// Drain and return of a failure domain.
    Return(ReturnArgs),
    /// Fault injection under load.
    Faults(FaultsArgs),
    /// Cost of the control plane by fleet size.
    Slopes(SlopesArgs),
}

/// one run, against an in-process deployment or running daemons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// a daemon's address for callers (repeatable; default: start an in-process deployment)
    #[argh(option)]
    pub daemon: Vec<SocketAddr>,
    /// the model and version that the daemons serve (with --daemon)
    #[argh(option)]
    pub model: Option<ModelVersion>,
    /// requests per second (with --daemon; default 10)
    #[argh(option, long = "rate", default = "10.0")]
    pub rate_per_s: f64,
}

/// run each routing policy on the same arrivals and print the ratios
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// cost, least_outstanding or round_robin (repeatable; default: all three)
    #[argh(option, from_str_fn(parse_policy))]
    pub policy: Vec<RoutingPolicy>,
}

/// measure the slowdown of short requests when long ones run too
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "alone")]
pub struct AloneArgs {}

/// drain a failure domain under load
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the failure domain to change
    #[argh(option)]
    pub domain: FailureDomain,
}

/// drain and return a failure domain under load, several times
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "return")]
pub struct ReturnArgs {
    /// the failure domain to change
    #[argh(option)]
    pub domain: FailureDomain,
    /// number of changes, drain and return alternating (default 2)
    #[argh(option, long = "changes", default = "2")]
    pub changes_count: u32,
}

/// inject faults under load, each on a fresh deployment
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// a fault, such as engine_dies (repeatable; default: all)
    #[argh(option, from_str_fn(parse_case))]
    pub case: Vec<crate::experiment::FaultCase>,
}

/// measure the cost of the control plane in idle deployments of several sizes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// daemons and engines per failure domain, such as 3x5 (repeatable)
    #[argh(option, from_str_fn(parse_size))]
    pub size: Vec<(u32, u32)>,
}

fn parse_snake_case<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_value(text.into()).map_err(|error| error.to_string())
}

fn parse_policy(text: &str) -> Result<RoutingPolicy, String> {
    parse_snake_case(text)
}

fn parse_case(text: &str) -> Result<crate::experiment::FaultCase, String> {
    parse_snake_case(text)
}

fn parse_size(text: &str) -> Result<(u32, u32), String> {
    let parsed = text
        .split_once('x')
        .and_then(|(daemons, engines)| Some((daemons.parse().ok()?, engines.parse().ok()?)));
    parsed.ok_or_else(|| "give daemons and engines as 3x5".into())
}
