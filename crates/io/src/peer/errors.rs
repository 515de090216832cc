//! Errors of keys and peer connections.

use std::{io, path::PathBuf};
use thiserror::Error;

/// An error in reading keys or in talking to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// A key file can't be read or written.
    #[error("{path}: {source}; make keys with `persimmonctl keys new`")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A key or certificate is malformed.
    #[error("{what}: {reason}; make keys with `persimmonctl keys new`")]
    Malformed {
        /// Name of the malformed item.
        what: &'static str,
        /// The cause.
        reason: String,
    },
    /// The certificate names a different VM than the settings.
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
        /// The cause.
        source: io::Error,
    },
    /// The runtime that drives QUIC can't start.
    #[error("can't start the network threads: {0}; check the VM's limits")]
    Runtime(io::Error),
    /// A message is too large, or can't be encoded or decoded.
    #[error("peer message can't be encoded or decoded: {0}; check that both daemons run the same version")]
    Codec(String),
    /// The connection to a peer failed.
    #[error("connection to the peer failed: {0}; check its address and certificate")]
    Connection(String),
}
