//! Why a gateway ends.

use persimmon_io::{logs::LogError, settings::SettingsError};
use std::{io, net::SocketAddr};
use thiserror::Error;

/// Why a gateway ends.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging can't start.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Signals can't be taken over.
    #[error("signals can't be taken over ({0}): check the process's signal mask")]
    Signals(io::Error),
    /// An address can't be listened on.
    #[error("can't listen on {key} = {address} ({reason}): choose a free address of this VM")]
    Listen {
        /// The setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        reason: io::Error,
    },
    /// A thread or the event loop can't be started.
    #[error("can't start a thread ({0}): raise the limit of threads")]
    Thread(io::Error),
    /// The metrics can't be set up.
    #[error("the metrics can't be set up ({0}): check the buckets of the histograms")]
    Telemetry(String),
    /// The control thread ended by a fault.
    #[error("the control thread ended by a fault: see the log")]
    Fault,
}
