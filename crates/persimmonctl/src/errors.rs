//! Errors of the client.

use persimmon_core::operator::OperatorError;
use persimmon_io::peer::PeerError;
use std::{io, net::SocketAddr, path::PathBuf};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file can't be read or made.
    #[error("{path}: {source}; check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is no configuration.
    #[error("{path}: {source}; take the output of `persimmonctl config show` as the model")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// No log names a request.
    #[error("no line about request {request}: give the logs of all daemons of that time")]
    NoSuchRequest {
        /// The caller's id of the request.
        request: String,
    },
    /// No token was given.
    #[error("no operators' token: give --token-file or set PERSIMMON_TOKEN")]
    NoToken,
    /// The operator's name is no identifier.
    #[error("{0}; give --operator")]
    Operator(persimmon_core::ids::IdError),
    /// Keys could not be made.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// The daemon can't be reached.
    #[error("{address}: {reason}; check --daemon or ask another daemon")]
    Unreachable {
        /// The daemon's operator address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The daemon does not take the token.
    #[error("{address} refused the operators' token: take the one of its settings")]
    Unauthorized {
        /// The daemon's operator address.
        address: SocketAddr,
    },
    /// The daemon answered something else than a reply.
    #[error("{address} answered status {status}: {reason}; check that it is the operator address")]
    Answer {
        /// The daemon's operator address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What was wrong.
        reason: String,
    },
    /// The daemon refused the command.
    #[error(transparent)]
    Refused(#[from] OperatorError),
}
