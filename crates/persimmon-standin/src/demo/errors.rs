//! Errors of demo deployments.

use crate::StandinError;
use persimmon_io::{logs::LogError, peer::PeerError, settings::SettingError};
use persimmonctl::CtlError;
use persimmond::StartError;
use thiserror::Error;

/// Reason why a deployment can't run in this process.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] StartError),
    /// Keys could not be generated.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// A setting that the demo generates is refused.
    #[error("the demo's own setting is refused: {0}; report this")]
    Setting(#[from] SettingError),
    /// Logs can't be written.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A daemon refused the initial configuration or could not be reached.
    #[error("first configuration: {0}")]
    Operator(#[from] CtlError),
    /// The fleet has no such VM.
    #[error("the fleet has no VM {vm}: name one of `Fleet::daemons`")]
    UnknownVm {
        /// The VM.
        vm: String,
    },
    /// A daemon did not become ready in time.
    #[error("{vm} was not ready after {waited_s} s: {notes}; run fewer VMs or a faster VM")]
    NotReady {
        /// The daemon's VM.
        vm: String,
        /// Time waited, in seconds.
        waited_s: u64,
        /// Text of the daemon's readiness page.
        notes: String,
    },
}
