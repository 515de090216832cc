//! Arguments of `persimmonctl plan`.

use argh::FromArgs;
use persimmon_core::ids::{FailureDomain, ModelVersion, PlanId, UpstreamId, WorkspaceId};
use std::path::PathBuf;

/// Plan a change, or show plans. Nothing changes before `confirm`.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// allow a plan that leaves a model without capacity
    #[argh(switch)]
    pub force: bool,
    /// the change to plan
    #[argh(subcommand)]
    pub command: PlanCommand,
}

/// Subcommands of `plan`: changes to plan, and views of plans.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum PlanCommand {
    /// Take a failure domain out of service.
    DrainDomain(DrainDomainArgs),
    /// Return a failure domain to service.
    ReturnDomain(ReturnDomainArgs),
    /// Take an upstream out of service.
    DrainUpstream(DrainUpstreamArgs),
    /// Return an upstream to service.
    ReturnUpstream(ReturnUpstreamArgs),
    /// Set where a model serves, and for whom.
    Serve(ServeArgs),
    /// Set a workspace's weight.
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

/// Return a failure domain to service.
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

/// Return an upstream to service.
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
    /// a workspace; may be repeated, all workspaces if omitted
    #[argh(option, long = "workspace")]
    pub workspaces: Vec<WorkspaceId>,
    /// a failure domain; may be repeated, all failure domains if omitted
    #[argh(option, long = "domain")]
    pub domains: Vec<FailureDomain>,
}

/// Set the weight of a workspace relative to the others.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "set-weight")]
pub struct SetWeightArgs {
    /// the workspace
    #[argh(positional)]
    pub workspace: WorkspaceId,
    /// its weight, at least 1
    #[argh(positional)]
    pub weight_count: u32,
}

/// Replace the whole configuration: to write the first one, or to change the inventory.
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
    /// id of the plan
    #[argh(positional)]
    pub plan: PlanId,
}

/// List the plans.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "list")]
pub struct PlanListArgs {}
