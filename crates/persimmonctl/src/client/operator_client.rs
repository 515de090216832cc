//! Operator interface of a daemon, as the client sees it.

use crate::CtlError;
use persimmon_core::operator::{OperatorCommand, OperatorReply};

/// Sends operator commands to a daemon.
pub trait OperatorClient {
    /// Sends a command and waits for the reply.
    ///
    /// # Errors
    ///
    /// The daemon can't be reached, rejects the token, or answers something other than an
    /// [`OperatorReply`].
    fn send(&self, command: &OperatorCommand) -> Result<OperatorReply, CtlError>;
}
