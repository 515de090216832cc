//! The connection to one caller, behind a trait.

use bytes::Bytes;
use persimmon_core::request::{Refusal, StoredResult};
use thiserror::Error;

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller closed its connection: nothing more can be sent to it")]
pub struct CallerDisconnected;

/// A caller that waits for its answer.
pub trait Caller {
    /// Sends a token. For a caller that did not ask for a stream, the token is kept until `finish`.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    fn token(&mut self, token: &Bytes) -> Result<(), CallerDisconnected>;

    /// Signals that the request is still in progress.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    fn keep_alive(&mut self) -> Result<(), CallerDisconnected>;

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    fn finish(&mut self) -> Result<(), CallerDisconnected>;

    /// Sends the answer of a plain service.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    fn result(&mut self, result: &StoredResult) -> Result<(), CallerDisconnected>;

    /// Sends a refusal, or ends an open stream with it.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    fn refuse(&mut self, refusal: &Refusal) -> Result<(), CallerDisconnected>;
}
