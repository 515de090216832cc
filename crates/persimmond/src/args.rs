//! Command line arguments.

use argh::FromArgs;
use std::path::PathBuf;

/// Serve callers in front of model engines and plain services.
#[derive(Debug, FromArgs, PartialEq)]
pub struct Args {
    /// file with the settings as JSON
    #[argh(option)]
    pub settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
}
