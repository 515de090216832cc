//! Errors that end a gateway.

use persimmon_io::{logs::LogError, settings::SettingsError};
use std::{io, net::SocketAddr};
use thiserror::Error;

/// Error that ends a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Starting the log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Installing the signal handlers failed.
    #[error("can't install the signal handlers ({0}): check the process's signal mask")]
    Signals(io::Error),
    /// Binding or listening on an address failed.
    #[error("can't listen on {key} = {address} ({reason}): choose a free address of this VM")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        reason: io::Error,
    },
    /// Starting a thread or the event loop failed.
    #[error("can't start a thread ({0}): raise the limit of threads")]
    Thread(io::Error),
    /// Setting up the metrics failed.
    #[error("the metrics can't be set up ({0}): check the buckets of the histograms")]
    Telemetry(String),
    /// The control thread panicked.
    #[error("the control thread panicked: see the log")]
    ControlPanicked,
}
