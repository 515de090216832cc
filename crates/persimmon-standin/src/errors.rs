//! Errors of the stand-ins.

use thiserror::Error;

/// Reason why a stand-in can't start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address can't be bound.
    #[error("can't listen on {address} ({reason}): give a free address or port 0")]
    Listen {
        /// The address.
        address: String,
        /// Error text of the operating system.
        reason: String,
    },
    /// A setting is out of range.
    #[error("setting {key} is {value}: {remedy}")]
    Setting {
        /// The setting's key.
        key: &'static str,
        /// The refused value.
        value: String,
        /// Accepted values.
        remedy: &'static str,
    },
    /// The settings can't be read.
    #[error("can't read settings {file} ({reason}): correct the file")]
    File {
        /// The file.
        file: String,
        /// Cause.
        reason: String,
    },
}

/// Returns an error for the setting unless `holds` is true.
pub(crate) fn require(
    holds: bool,
    key: &'static str,
    value: impl ToString,
    remedy: &'static str,
) -> Result<(), StandinError> {
    if holds {
        return Ok(());
    }
    Err(StandinError::Setting {
        key,
        value: value.to_string(),
        remedy,
    })
}
