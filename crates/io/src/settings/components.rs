//! Settings sections of the core's components.

use super::SettingError;
use persimmon_core::{
    config::RawConfigSettings, daemon::ComponentSettings, entry::RawEntrySettings,
    grant::RawGrantSettings, membership::RawMembershipSettings, ownership::RawOwnershipSettings,
    placement::RawPlacementSettings, plan::RawPlanSettings, routing::RawRoutingSettings,
    units::RangeError,
};

/// Settings sections of the core's components as written in the file, before the ranges are checked.
#[derive(Clone, Debug, Default)]
pub(super) struct RawComponents {
    pub(super) config: RawConfigSettings,
    pub(super) entry: RawEntrySettings,
    pub(super) grant: RawGrantSettings,
    pub(super) membership: RawMembershipSettings,
    pub(super) ownership: RawOwnershipSettings,
    pub(super) placement: RawPlacementSettings,
    pub(super) plan: RawPlanSettings,
    pub(super) routing: RawRoutingSettings,
}

impl TryFrom<RawComponents> for ComponentSettings {
    type Error = SettingError;

    fn try_from(raw: RawComponents) -> Result<Self, SettingError> {
        Ok(Self {
            config: validated(raw.config)?,
            entry: validated(raw.entry)?,
            grant: validated(raw.grant)?,
            membership: validated(raw.membership)?,
            ownership: validated(raw.ownership)?,
            placement: validated(raw.placement)?,
            plan: validated(raw.plan)?,
            routing: validated(raw.routing)?,
        })
    }
}

/// Validates one section. An error names its section, key and allowed range.
pub(super) fn validated<R, T>(raw: R) -> Result<T, SettingError>
where
    T: TryFrom<R, Error = RangeError>,
{
    T::try_from(raw).map_err(SettingError::from)
}

impl From<RangeError> for SettingError {
    fn from(error: RangeError) -> Self {
        Self {
            key: format!("{}.{}", error.section, error.key),
            value: error.value.to_string(),
            remedy: format!("give {} to {}", error.low, error.high),
        }
    }
}
