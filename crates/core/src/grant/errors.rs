//! Errors of the grant settings.

use thiserror::Error;

/// Why the grant settings can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum GrantSettingsError {
    /// A number is outside its range.
    #[error("grant setting {key} is {value}: give {min} to {max}")]
    Range {
        /// Name of the setting.
        key: &'static str,
        /// The refused value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
}
