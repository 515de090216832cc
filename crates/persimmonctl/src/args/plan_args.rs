//! `persimmonctl plan`.

use argh::FromArgs;
use persimmon_core::ids::{FailureDomain, ModelVersion, PlanId, UpstreamId, WorkspaceId};
use std::path::PathBuf;

/// Answer an intent with a plan. Nothing changes before `confirm`.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// accept a plan that leaves a model without capacity
    #[argh(switch)]
    pub force: bool,
    /// the intent
    #[argh(subcommand)]
    pub command: PlanCommand,
}

/// Intents, and looking at plans.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum PlanCommand {
    /// Take a failure domain out of service.
    DrainDomain(DrainDomainArgs),
    /// Bring a failure domain back.
    ReturnDomain(ReturnDomainArgs),
    /// Take an upstream out of service.
    DrainUpstream(DrainUpstreamArgs),
    /// Bring an upstream back.
    ReturnUpstream(ReturnUpstreamArgs),
    /// Place a model.
    Serve(ServeArgs),
    /// Weigh a workspace.
    SetWeight(SetWeightArgs),
    /// Replace the configuration.
    Replace(ReplaceArgs),
    /// Show a plan.
    Show(PlanShowArgs),
    /// List the plans.
    List(PlanListArgs),
}

/// Take a failure domain out of service.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "drain-domain")]
pub struct DrainDomainArgs {
    /// the failure domain
    #[argh(positional)]
    pub domain: FailureDomain,
}

/// Bring a failure domain back into service.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "return-domain")]
pub struct ReturnDomainArgs {
    /// the failure domain
    #[argh(positional)]
    pub domain: FailureDomain,
}

/// Take an upstream out of service.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "drain-upstream")]
pub struct DrainUpstreamArgs {
    /// the upstream
    #[argh(positional)]
    pub upstream: UpstreamId,
}

/// Bring an upstream back into service.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "return-upstream")]
pub struct ReturnUpstreamArgs {
    /// the upstream
    #[argh(positional)]
    pub upstream: UpstreamId,
}

/// Let a model version serve workspaces in failure domains.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// the model version, as model@version
    #[argh(positional)]
    pub model: ModelVersion,
    /// a workspace; repeat for more, leave out for all
    #[argh(option, long = "workspace")]
    pub workspaces: Vec<WorkspaceId>,
    /// a failure domain; repeat for more, leave out for all
    #[argh(option, long = "domain")]
    pub domains: Vec<FailureDomain>,
}

/// Set the weight of a workspace against others.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "set-weight")]
pub struct SetWeightArgs {
    /// the workspace
    #[argh(positional)]
    pub workspace: WorkspaceId,
    /// its weight, from 1
    #[argh(positional)]
    pub weight_count: u32,
}

/// Replace the whole configuration: the first one, or a change of the inventory.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceArgs {
    /// JSON file as printed by `config show`
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show a plan.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "show")]
pub struct PlanShowArgs {
    /// the plan
    #[argh(positional)]
    pub plan: PlanId,
}

/// List the plans.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "list")]
pub struct PlanListArgs {}
