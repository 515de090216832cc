//! Error of a stand-in that closes the connection without an answer.

use thiserror::Error;

/// A stand-in closes the connection without a complete answer.
#[derive(Debug, Error)]
#[error("stand-in closed the connection without a complete answer")]
pub(super) struct NoAnswer;
