//! Errors of the client.

use persimmon_core::operator::OperatorError;
use persimmon_io::peer::PeerError;
use std::{io, net::SocketAddr, path::PathBuf};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file can't be read or created.
    #[error("{path}: {source}; check the path and its permissions")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file does not hold a valid configuration.
    #[error("{path}: {source}; use the output of `persimmonctl config show` as a template")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parse error.
        source: serde_json::Error,
    },
    /// No log has a line about the request.
    #[error("no line about request {request}: give the logs of all daemons of that time")]
    NoSuchRequest {
        /// The caller's id of the request.
        request: String,
    },
    /// No token was given.
    #[error("no operators' token: give --token-file or set PERSIMMON_TOKEN")]
    NoToken,
    /// The operator's name is not a valid identifier.
    #[error("{0}; give --operator")]
    Operator(persimmon_core::ids::IdError),
    /// Keys could not be read, generated or written.
    #[error(transparent)]
    Keys(#[from] PeerError),
    /// The daemon can't be reached.
    #[error("{address}: {reason}; check --daemon or ask another daemon")]
    Unreachable {
        /// The daemon's operator address.
        address: SocketAddr,
        /// The connection error.
        reason: String,
    },
    /// The daemon rejected the token.
    #[error("{address} rejected the operators' token: use the token from its settings")]
    Unauthorized {
        /// The daemon's operator address.
        address: SocketAddr,
    },
    /// The daemon's answer is not an operator reply.
    #[error("{address} answered status {status}: {reason}; check that it is the operator address")]
    UnexpectedAnswer {
        /// The daemon's operator address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Start of the answer, or why the command could not be encoded.
        reason: String,
    },
    /// The daemon refused the command.
    #[error(transparent)]
    Refused(#[from] OperatorError),
}
