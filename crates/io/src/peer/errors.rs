//! Errors of the peer link.

use std::{io, path::PathBuf};
use thiserror::Error;

/// Why keys or the peer link can't be used.
#[derive(Debug, Error)]
pub enum PeerError {
    /// A key file can't be read or written.
    #[error("{path}: {source}; make keys with `persimmonctl keys new`")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A key or certificate is malformed.
    #[error("{what}: {reason}; make keys with `persimmonctl keys new`")]
    Malformed {
        /// Which one.
        what: &'static str,
        /// Why.
        reason: String,
    },
    /// The certificate names another VM.
    #[error("the certificate names VM {found}, the settings {wanted}: use the keys of {wanted}")]
    VmMismatch {
        /// The VM in the certificate.
        found: String,
        /// The VM in the settings.
        wanted: String,
    },
    /// The listening address can't be used.
    #[error("can't listen for peers on {address}: {source}; choose another `peer_address`")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The runtime that drives QUIC can't start.
    #[error("can't start the network threads: {0}; check the VM's limits")]
    Runtime(io::Error),
    /// A message is too large or malformed.
    #[error("a peer's message can't be coded: {0}; check that both daemons have one version")]
    Codec(String),
    /// The connection failed.
    #[error("no connection to the peer: {0}; check its address and certificate")]
    Connection(String),
}
