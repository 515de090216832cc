//! Sections of the core's parts.

use super::SettingError;
use persimmon_core::{
    config::{self, RawConfigSettings},
    daemon::PartSettings,
    entry::RawEntrySettings,
    grant::{GrantSettingsError, RawGrantSettings},
    membership::RawMembershipSettings,
    ownership::RawOwnershipSettings,
    placement::RawPlacementSettings,
    plan::RawPlanSettings,
    routing::{RawRoutingSettings, RoutingSettingsError},
    units::RangeError,
};

/// Sections of the core's parts as they stand in the file.
#[derive(Clone, Debug, Default)]
pub(super) struct RawParts {
    pub(super) config: RawConfigSettings,
    pub(super) entry: RawEntrySettings,
    pub(super) grant: RawGrantSettings,
    pub(super) membership: RawMembershipSettings,
    pub(super) ownership: RawOwnershipSettings,
    pub(super) placement: RawPlacementSettings,
    pub(super) plan: RawPlanSettings,
    pub(super) routing: RawRoutingSettings,
}

impl TryFrom<RawParts> for PartSettings {
    type Error = SettingError;

    fn try_from(raw: RawParts) -> Result<Self, SettingError> {
        Ok(Self {
            config: checked("config", raw.config)?,
            entry: checked("entry", raw.entry)?,
            grant: checked("grant", raw.grant)?,
            membership: checked("membership", raw.membership)?,
            ownership: checked("ownership", raw.ownership)?,
            placement: checked("placement", raw.placement)?,
            plan: checked("plan", raw.plan)?,
            routing: checked("routing", raw.routing)?,
        })
    }
}

/// A number of a part that is out of its range.
struct OutOfRange {
    key: String,
    value: String,
    low: u64,
    high: u64,
}

fn checked<R, T>(section: &str, raw: R) -> Result<T, SettingError>
where
    T: TryFrom<R, Error: Into<OutOfRange>>,
{
    T::try_from(raw).map_err(|error| {
        let found: OutOfRange = error.into();
        SettingError {
            key: format!("{section}.{}", found.key),
            value: found.value,
            remedy: format!("give {} to {}", found.low, found.high),
        }
    })
}

impl From<config::SettingError> for OutOfRange {
    fn from(error: config::SettingError) -> Self {
        Self {
            key: error.key.into(),
            value: error.value,
            low: *error.range.start(),
            high: *error.range.end(),
        }
    }
}

impl From<GrantSettingsError> for OutOfRange {
    fn from(error: GrantSettingsError) -> Self {
        let GrantSettingsError::Range {
            key,
            value,
            min,
            max,
        } = error;
        Self::new(key, value, min, max)
    }
}

impl From<RoutingSettingsError> for OutOfRange {
    fn from(error: RoutingSettingsError) -> Self {
        let RoutingSettingsError::Range {
            key,
            value,
            min,
            max,
        } = error;
        Self::new(key, value, min, max)
    }
}

impl From<RangeError> for OutOfRange {
    fn from(error: RangeError) -> Self {
        let RangeError {
            section,
            key,
            value,
            low,
            high,
        } = error;
        let nested = section.strip_prefix("entry.");
        let key = nested.map_or_else(|| key.into(), |nested| format!("{nested}.{key}"));
        Self::new(key, value, low, high)
    }
}

impl OutOfRange {
    fn new(key: impl Into<String>, value: u64, low: u64, high: u64) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            low,
            high,
        }
    }
}
