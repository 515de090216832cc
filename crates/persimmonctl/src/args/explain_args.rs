//! `persimmonctl explain`.

use argh::FromArgs;
use std::path::PathBuf;

/// Tell a request's story from the daemons' logs.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the caller's id of the request
    #[argh(positional)]
    pub request: String,
    /// log files of the daemons
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}
