//! Command-line arguments.

mod cli;
mod config_args;
mod explain_args;
mod keys_args;
mod plan_args;

pub use cli::{Cli, Command, ConfirmArgs, FleetArgs, StatusArgs};
pub use config_args::{ConfigArgs, ConfigCommand, HistoryArgs, ShowArgs};
pub use explain_args::ExplainArgs;
pub use keys_args::{KeysArgs, KeysCommand, KeysNewArgs};
pub use plan_args::{
    DrainDomainArgs, DrainUpstreamArgs, PlanArgs, PlanCommand, PlanListArgs, PlanShowArgs,
    ReplaceArgs, ReturnDomainArgs, ReturnUpstreamArgs, ServeArgs, SetWeightArgs,
};
