//! `persimmonctl config`.

use argh::FromArgs;

/// Show the configuration.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to show
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// What to show.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// The configuration in force.
    Show(ShowArgs),
    /// The change records.
    History(HistoryArgs),
}

/// Print the configuration in force at the daemon, as JSON that `plan replace` takes.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {}

/// Show who changed what and when.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}
