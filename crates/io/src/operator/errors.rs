//! Errors of operators' calls.

use persimmon_core::ids::IdError;
use thiserror::Error;

/// Why an operator's call is refused before it reaches the core.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OperatorCallError {
    /// Wrong path or method.
    #[error("no such page: use POST /operator")]
    UnknownPath,
    /// The token is missing or wrong.
    #[error("not authorized: send the daemon's operator_token as `Authorization: Bearer TOKEN`")]
    Unauthorized,
    /// The operator's name is missing.
    #[error("the header X-Operator is missing: name the operator")]
    MissingOperator,
    /// The operator's name is not valid.
    #[error("the header X-Operator is not valid: {0}")]
    InvalidOperator(#[from] IdError),
    /// The body is over the limit.
    #[error("the command is over {max_bytes} bytes: send less")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The body is no command.
    #[error("the body is no command ({reason}): use a persimmonctl of the daemon's version")]
    InvalidCommand {
        /// What the parser says.
        reason: String,
    },
    /// No reply in time.
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
            Self::Timeout => 504,
        }
    }
}
