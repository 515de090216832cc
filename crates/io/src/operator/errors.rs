//! Errors in operators' calls.

use persimmon_core::ids::IdError;
use thiserror::Error;

/// Why an operator's call gets no reply of the core. The messages go to the operator.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OperatorCallError {
    /// The path or method is not that of the interface.
    #[error("no such page: use POST /operator")]
    UnknownPath,
    /// The bearer token is missing or wrong.
    #[error("not authorized: send the daemon's operator_token as `Authorization: Bearer TOKEN`")]
    Unauthorized,
    /// The header `X-Operator` is missing.
    #[error("the header X-Operator is missing: name the operator")]
    MissingOperator,
    /// The header `X-Operator` holds no valid name.
    #[error("the header X-Operator is not valid: {0}")]
    InvalidOperator(#[from] IdError),
    /// The body exceeds the limit.
    #[error("the command is over {max_bytes} bytes: send less")]
    TooLarge {
        /// Largest size allowed.
        max_bytes: usize,
    },
    /// The body can't be parsed as a command.
    #[error("the body is no command ({reason}): use a persimmonctl of the daemon's version")]
    InvalidCommand {
        /// Message of the parser, or of a failed read.
        reason: String,
    },
    /// Other commands leave no room for the body.
    #[error("other commands are being received: retry")]
    Busy,
    /// The core did not reply in time.
    #[error("no reply from the daemon's core in time: look at `status`, then retry")]
    Timeout,
}

impl OperatorCallError {
    /// The HTTP status that carries this error.
    pub const fn status(&self) -> u16 {
        match self {
            Self::UnknownPath => 404,
            Self::Unauthorized => 401,
            Self::MissingOperator | Self::InvalidOperator(_) | Self::InvalidCommand { .. } => 400,
            Self::TooLarge { .. } => 413,
            Self::Busy => 503,
            Self::Timeout => 504,
        }
    }
}
