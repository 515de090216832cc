//! Exit codes.

use crate::CtlError;
use persimmon_core::operator::OperatorError;
use std::process::ExitCode;

/// Exit code of the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The daemon refused the command and nothing changed, or no log has the request.
    Refused = 1,
    /// The command line, a file, a key or the token is missing or invalid.
    Usage = 2,
    /// The daemon did not answer, rejected the token, or answered something other than a reply.
    Unreachable = 3,
    /// The command may or may not have taken effect.
    OutcomeUnknown = 4,
}

impl From<&CtlError> for Exit {
    fn from(error: &CtlError) -> Self {
        match error {
            CtlError::Refused(OperatorError::OutcomeUnknown(_)) => Self::OutcomeUnknown,
            CtlError::Refused(_) | CtlError::NoSuchRequest { .. } => Self::Refused,
            CtlError::UnexpectedAnswer { .. }
            | CtlError::Unauthorized { .. }
            | CtlError::Unreachable { .. } => Self::Unreachable,
            CtlError::File { .. }
            | CtlError::Keys(_)
            | CtlError::Malformed { .. }
            | CtlError::NoToken
            | CtlError::Operator(_) => Self::Usage,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
