//! Errors of a demo.

use crate::StandinError;
use persimmon_io::{logs::LogError, peer::PeerError, settings::SettingError};
use persimmonctl::CtlError;
use persimmond::StartError;
use thiserror::Error;

/// Why a deployment can't run in this process.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] StartError),
    /// Keys could not be made.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// A setting that the demo makes is refused.
    #[error("the demo's own setting is refused: {0}; report this")]
    Setting(#[from] SettingError),
    /// Logs can't be written.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A daemon refused the first configuration or could not be asked.
    #[error("first configuration: {0}")]
    Operator(#[from] CtlError),
    /// The fleet has no such VM.
    #[error("the fleet has no VM {vm}: name one of `Fleet::daemons`")]
    UnknownVm {
        /// The VM.
        vm: String,
    },
    /// Not every daemon got ready in time.
    #[error("{vm} was not ready after {waited_s} s: {notes}; run fewer VMs or a faster VM")]
    NotReady {
        /// The daemon's VM.
        vm: String,
        /// How long it was waited for.
        waited_s: u64,
        /// What the daemon says.
        notes: String,
    },
}
