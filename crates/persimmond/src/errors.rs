//! Errors at the start of a daemon.

use persimmon_io::peer::PeerError;
use std::{io, net::SocketAddr};
use thiserror::Error;

/// Reason why a daemon fails to start.
#[derive(Debug, Error)]
pub enum StartError {
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
    /// The link to peers can't be opened.
    #[error("can't open the link to peers ({reason}): check listen.peers and the files of tls")]
    Link {
        /// Error of the link.
        reason: io::Error,
    },
    /// The control thread can't be started.
    #[error("can't start the control thread ({reason}): raise the limit of threads")]
    Thread {
        /// The operating system's error.
        reason: io::Error,
    },
    /// The TLS keys are unusable.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// Setting up the metrics failed.
    #[error("the metrics can't be set up ({reason}): check the buckets of the histograms")]
    Telemetry {
        /// Message of the metrics library.
        reason: String,
    },
}
