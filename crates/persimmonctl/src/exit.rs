//! Exit codes.

use crate::CtlError;
use persimmon_core::operator::OperatorError;
use std::process::ExitCode;

/// How the client ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The daemon refused; nothing changed.
    Refused = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// No daemon answered.
    Unreachable = 3,
    /// The outcome is not known.
    Unknown = 4,
}

impl From<&CtlError> for Exit {
    fn from(error: &CtlError) -> Self {
        match error {
            CtlError::Refused(OperatorError::OutcomeUnknown(_)) => Self::Unknown,
            CtlError::Refused(_) | CtlError::NoSuchRequest { .. } => Self::Refused,
            CtlError::Answer { .. }
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
