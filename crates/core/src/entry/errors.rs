//! Errors of entry settings.

use crate::claim::ClaimSettingsError;
use thiserror::Error;

/// Why entry settings are refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EntrySettingsError {
    /// A number is outside its range.
    #[error("entry.{key} is {value}: give {low} to {high}")]
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
    /// The settings of claims.
    #[error(transparent)]
    Claims(#[from] ClaimSettingsError),
}
