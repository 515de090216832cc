//! Errors in settings files.

use std::path::PathBuf;
use thiserror::Error;

/// A setting with a missing or invalid value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key} = `{value}`: {remedy}")]
pub struct SettingError {
    /// Path of the key, with dots between its segments, such as `listen.callers`.
    pub key: String,
    /// The value in the file, escaped, or a placeholder for a value that is absent or secret.
    pub value: String,
    /// How to correct the setting, or the parser's message.
    pub remedy: String,
}

/// Why a settings file is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {reason}: check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The operating system's message.
        reason: String,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON ({reason}): correct it there")]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// The parser's message.
        reason: String,
    },
    /// A setting is missing or has an invalid value.
    #[error("{file}: {setting}")]
    Setting {
        /// Path of the file.
        file: PathBuf,
        /// The setting, with the way to correct it.
        setting: SettingError,
    },
}
