//! `persimmonctl keys`.

use argh::FromArgs;
use persimmon_core::ids::VmId;
use std::path::PathBuf;

/// Keys of the daemons.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: KeysCommand,
}

/// What to do with keys.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// Make keys.
    New(KeysNewArgs),
}

/// Make keys for VMs, and a CA where the folder has none yet.
#[derive(Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "new")]
pub struct KeysNewArgs {
    /// folder for ca.pem, ca.key, and a .pem and .key file for each VM
    #[argh(option)]
    pub out: PathBuf,
    /// the VMs
    #[argh(positional)]
    pub vms: Vec<VmId>,
}
