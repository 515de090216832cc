//! Top-level arguments and the subcommands.

use super::{ConfigArgs, ExplainArgs, KeysArgs, PlanArgs};
use argh::FromArgs;
use persimmon_core::ids::PlanId;
use std::{net::SocketAddr, path::PathBuf};

/// Operate a persimmonfront deployment through any of its daemons.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(
    error_code(0, "done"),
    error_code(1, "refused: the message names the remedy; nothing changed"),
    error_code(2, "the command line or a file is wrong"),
    error_code(3, "no daemon answered"),
    error_code(4, "the outcome is not known: run `confirm` again")
)]
pub struct Cli {
    /// the daemon's operator address (default 127.0.0.1:7071)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7071))")]
    pub daemon: SocketAddr,
    /// file with the operators' token (default: the variable PERSIMMON_TOKEN)
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// your name in the change history (default: the variable USER)
    #[argh(option)]
    pub operator: Option<String>,
    /// print the daemon's answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum Command {
    /// Show the daemon's state.
    Status(StatusArgs),
    /// Show the upstreams.
    Fleet(FleetArgs),
    /// Show the configuration or its history.
    Config(ConfigArgs),
    /// Plan a change, or show plans.
    Plan(PlanArgs),
    /// Apply a plan.
    Confirm(ConfirmArgs),
    /// Manage the daemons' keys.
    Keys(KeysArgs),
    /// Show what happened to a request, from the daemons' logs.
    Explain(ExplainArgs),
}

/// Show the daemon's state and the members it knows.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Show the upstreams, with the load of those that the daemon owns.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "fleet")]
pub struct FleetArgs {}

/// Apply a plan and wait until the daemons have it in force.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmArgs {
    /// id of the plan
    #[argh(positional)]
    pub plan: PlanId,
}
