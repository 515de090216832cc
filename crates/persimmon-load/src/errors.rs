//! Errors of the load tool.

use persimmon_standin::{demo::DemoError, StandinError};
use persimmonctl::CtlError;
use std::{io, path::PathBuf};
use thiserror::Error;

/// Why a run can't be made.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A setting is out of range.
    #[error("{key} is {value}: {remedy}")]
    Setting {
        /// The setting's key.
        key: &'static str,
        /// The refused value.
        value: String,
        /// What to give in its place.
        remedy: &'static str,
    },
    /// A file can't be read or written.
    #[error("{path}: {reason}; check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The stand-ins or daemons did not start.
    #[error(transparent)]
    Fleet(#[from] DemoError),
    /// A stand-in refused a fault or a deployment is malformed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon refused an operator's command.
    #[error(transparent)]
    Operator(#[from] CtlError),
    /// The system refused a thread or its figures.
    #[error("{0}; close other programs and repeat")]
    System(#[from] io::Error),
    /// The plot could not be drawn.
    #[error("the plot can't be drawn: {0}; leave --svg out")]
    Plot(String),
}

/// Refuses a setting that does not hold its range.
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
