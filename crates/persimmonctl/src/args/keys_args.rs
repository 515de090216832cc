//! Arguments of `persimmonctl keys`.

use argh::FromArgs;
use persimmon_core::ids::VmId;
use std::path::PathBuf;

/// Manage the daemons' keys.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: KeysCommand,
}

/// Subcommands of `keys`.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// Generate keys.
    New(KeysNewArgs),
}

/// Generate keys for VMs, and a CA if the folder has none yet.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "new")]
pub struct KeysNewArgs {
    /// folder for ca.pem, ca.key, and a .pem and .key file for each VM
    #[argh(option)]
    pub out: PathBuf,
    /// ids of the VMs
    #[argh(positional)]
    pub vms: Vec<VmId>,
}
