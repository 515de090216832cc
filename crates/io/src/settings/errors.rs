//! Errors of settings.

use std::path::PathBuf;
use thiserror::Error;

/// A setting that is not allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key} = `{value}`: {remedy}")]
pub struct SettingError {
    /// The key, with dots.
    pub key: String,
    /// The refused value.
    pub value: String,
    /// What to do.
    pub remedy: String,
}

/// Why a settings file is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {reason}: check the path and its permissions")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON ({reason}): correct it there")]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What the parser says.
        reason: String,
    },
    /// A setting is not allowed.
    #[error("{file}: {setting}")]
    Setting {
        /// The file.
        file: PathBuf,
        /// The setting.
        setting: SettingError,
    },
}
