//! Arguments of `persimmonctl explain`.

use argh::FromArgs;
use std::path::PathBuf;

/// Show what happened to a request, from the daemons' logs.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id that the caller gave the request
    #[argh(positional)]
    pub request: String,
    /// log files of the daemons
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}
