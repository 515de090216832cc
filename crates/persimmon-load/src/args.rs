//! The command line.

use argh::FromArgs;
use persimmon_core::{
    ids::{FailureDomain, ModelVersion},
    routing::RoutingPolicy,
};
use std::{net::SocketAddr, path::PathBuf};

/// Open-loop load and experiments against persimmonfront.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// the deployment to start in this process, in JSON (default: the jadeleaf example)
    #[argh(option)]
    pub deployment: Option<PathBuf>,
    /// the mix of requests, in JSON (default: the built-in mix)
    #[argh(option)]
    pub mix: Option<PathBuf>,
    /// seed of arrivals and prompts (default 1)
    #[argh(option, long = "seed", default = "1")]
    pub rng_seed: u64,
    /// length of a run in seconds (default 20)
    #[argh(option, long = "seconds", default = "20")]
    pub duration_s: u64,
    /// load as a share of the prefill rate of all engines (default 0.3)
    #[argh(option, long = "load", default = "0.3")]
    pub load_ratio: f64,
    /// requests that arrive at the same time (default 1: Poisson arrivals)
    #[argh(option, long = "burst", default = "1")]
    pub burst_requests: u32,
    /// most calls at a time (default 400)
    #[argh(option, long = "threads", default = "400")]
    pub threads_count: u32,
    /// file for the result in JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// file for a plot in SVG, where the experiment has one
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// the experiment
    #[argh(subcommand)]
    pub command: Command,
}

/// The experiments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// One run.
    Run(RunArgs),
    /// Routing policies in turn.
    Compare(CompareArgs),
    /// Short requests alone and shared.
    Alone(AloneArgs),
    /// A failure domain drained.
    Drain(DrainArgs),
    /// A failure domain drained and returned.
    Return(ReturnArgs),
    /// Faults under load.
    Faults(FaultsArgs),
    /// Cost of control.
    Slopes(SlopesArgs),
}

/// one run, against a deployment in this process or daemons elsewhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// a daemon's address for callers (repeat for more); else a deployment is started
    #[argh(option)]
    pub daemon: Vec<SocketAddr>,
    /// the model and version whose answers the daemons give (with --daemon)
    #[argh(option)]
    pub model: Option<ModelVersion>,
    /// requests a second (with --daemon; default 10)
    #[argh(option, long = "rate", default = "10.0")]
    pub rate_per_s: f64,
}

/// routing policies in turn on the same arrivals, as ratios
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// cost, least_outstanding or round_robin (repeat; default: all three)
    #[argh(option, from_str_fn(parse_policy))]
    pub policy: Vec<RoutingPolicy>,
}

/// short requests alone, then the same ones among all: their slowdown
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "alone")]
pub struct AloneArgs {}

/// a failure domain is drained under load
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the failure domain
    #[argh(option)]
    pub domain: FailureDomain,
}

/// a failure domain is drained and returned under load, several times
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "return")]
pub struct ReturnArgs {
    /// the failure domain
    #[argh(option)]
    pub domain: FailureDomain,
    /// changes: drain and return in turn (default 2)
    #[argh(option, long = "changes", default = "2")]
    pub changes_count: u32,
}

/// faults under load, each on a fresh deployment
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// a fault, such as engine_dies (repeat; default: all)
    #[argh(option, from_str_fn(parse_case))]
    pub case: Vec<crate::experiment::FaultCase>,
}

/// cost of control in idle deployments of several sizes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// daemons and engines of each failure domain, as 3x5 (repeat)
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
