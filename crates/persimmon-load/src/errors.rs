//! Errors of the load generator.

use persimmon_standin::{demo::DemoError, StandinError};
use persimmonctl::CtlError;
use std::{io, path::PathBuf};
use thiserror::Error;

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A setting is out of range.
    #[error("{key} is {value}: {remedy}")]
    Setting {
        /// The name of the setting.
        key: &'static str,
        /// The invalid value.
        value: String,
        /// Which values are valid.
        remedy: &'static str,
    },
    /// A file can't be read or written.
    #[error("{path}: {reason}; check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// Why it can't be read, written or parsed.
        reason: String,
    },
    /// The stand-ins or daemons failed to start.
    #[error(transparent)]
    Fleet(#[from] DemoError),
    /// A stand-in rejected a fault, or the deployment is malformed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon rejected an operator's command.
    #[error(transparent)]
    Operator(#[from] CtlError),
    /// A thread could not be started, or `/proc` could not be read.
    #[error("operating system error: {0}; close other programs and run again")]
    System(#[from] io::Error),
    /// The plot could not be drawn.
    #[error("failed to draw the plot: {0}; run without --svg")]
    Plot(String),
}

/// Returns [`LoadError::Setting`] unless `holds`.
pub(crate) fn require(
    holds: bool,
    key: &'static str,
    value: impl ToString,
    remedy: &'static str,
) -> Result<(), LoadError> {
    if holds {
        return Ok(());
    }
    Err(LoadError::Setting {
        key,
        value: value.to_string(),
        remedy,
    })
}
