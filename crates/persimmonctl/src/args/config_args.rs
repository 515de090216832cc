//! Arguments of `persimmonctl config`.

use argh::FromArgs;

/// Show the configuration or its history.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to show
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// Subcommands of `config`.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Print the configuration in force.
    Show(ShowArgs),
    /// Show the change records.
    History(HistoryArgs),
}

/// Print the configuration in force at the daemon, as JSON that `plan replace` accepts.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {}

/// Show who changed what and when.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}
