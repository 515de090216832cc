//! The border to one caller.

use bytes::Bytes;
use persimmon_core::request::{Refusal, StoredResult};
use thiserror::Error;

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller closed its connection: nothing more can be told to it")]
pub struct CallerDisconnected;

/// One caller that waits for its answer.
pub trait Caller {
    /// Passes a token on. Where the caller wants no stream it is kept until `finish`.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    fn token(&mut self, token: &Bytes) -> Result<(), CallerDisconnected>;

    /// Shows that the answer is still on its way.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    fn keep_alive(&mut self) -> Result<(), CallerDisconnected>;

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    fn finish(&mut self) -> Result<(), CallerDisconnected>;

    /// Gives the answer of a plain service.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    fn result(&mut self, result: &StoredResult) -> Result<(), CallerDisconnected>;

    /// Gives a refusal, or ends an open stream with it.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    fn refuse(&mut self, refusal: &Refusal) -> Result<(), CallerDisconnected>;
}
