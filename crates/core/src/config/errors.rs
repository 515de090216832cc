//! Errors of the configuration.

use crate::ids::{FailureDomain, ModelVersion, ServiceName, UpstreamId, WorkspaceId};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Why a change can't be applied to a configuration.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// No such failure domain.
    #[error("no failure domain {0}: `persimmonctl fleet` lists them")]
    UnknownDomain(FailureDomain),
    /// No such model version.
    #[error("no model version {0}: add it to the configuration first")]
    UnknownModel(ModelVersion),
    /// No such service.
    #[error("no service {0}: add it to the configuration first")]
    UnknownService(ServiceName),
    /// No such upstream.
    #[error("no upstream {0}: `persimmonctl fleet` lists them")]
    UnknownUpstream(UpstreamId),
    /// No such workspace.
    #[error("no workspace {0}: `persimmonctl config show` lists them")]
    UnknownWorkspace(WorkspaceId),
    /// A weight is zero.
    #[error("workspace {0} would have weight 0: give 1 or more")]
    ZeroWeight(WorkspaceId),
}

/// A setting outside its range.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("setting {key} is {value}: give {} to {}", .range.start(), .range.end())]
pub struct SettingError {
    /// The setting's name.
    pub key: &'static str,
    /// The refused value.
    pub value: String,
    /// The values allowed.
    pub range: RangeInclusive<u64>,
}

impl SettingError {
    /// Checks that a setting lies in its range.
    ///
    /// # Errors
    ///
    /// Names the setting, its value and the range.
    pub fn check(key: &'static str, value: u64, low: u64, high: u64) -> Result<(), Self> {
        let range = low..=high;
        if range.contains(&value) {
            return Ok(());
        }
        Err(Self {
            key,
            value: value.to_string(),
            range,
        })
    }
}
