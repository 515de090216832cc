//! The border to a daemon.

use crate::CtlError;
use persimmon_core::operator::{OperatorCommand, OperatorReply};

/// Asks a daemon.
pub trait OperatorClient {
    /// Sends a command and waits for the reply.
    ///
    /// # Errors
    ///
    /// The daemon can't be reached, does not take the token, or answers no reply.
    fn ask(&self, command: &OperatorCommand) -> Result<OperatorReply, CtlError>;
}
