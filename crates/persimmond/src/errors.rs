//! Errors of a daemon's start.

use persimmon_io::peer::PeerError;
use std::{io, net::SocketAddr};
use thiserror::Error;

/// Why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
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
    /// The link to peers can't be opened.
    #[error("can't open the link to peers ({reason}): check listen.peers and the files of tls")]
    Link {
        /// What went wrong.
        reason: io::Error,
    },
    /// The control thread can't be started.
    #[error("can't start the control thread ({reason}): raise the limit of threads")]
    Thread {
        /// What the system says.
        reason: io::Error,
    },
    /// The keys can't be used.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// The metrics can't be set up.
    #[error("the metrics can't be set up ({reason}): check the buckets of the histograms")]
    Telemetry {
        /// What the library says.
        reason: String,
    },
}
