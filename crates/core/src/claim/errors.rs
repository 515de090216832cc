//! Errors of claim settings.

use thiserror::Error;

/// Why claim settings are refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClaimSettingsError {
    /// A number is outside its range.
    #[error("claims.{key} is {value}: give {low} to {high}")]
    Range {
        /// The setting.
        key: &'static str,
        /// Its value.
        value: u64,
        /// Lowest allowed.
        low: u64,
        /// Highest allowed.
        high: u64,
    },
}
