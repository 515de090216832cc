//! Errors of the routing settings.

use thiserror::Error;

/// Why the routing settings can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RoutingSettingsError {
    /// A number is outside its range.
    #[error("routing setting {key} is {value}: give {min} to {max}")]
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
