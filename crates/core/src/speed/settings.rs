//! Settings of learned speeds.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::Deserialize;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.speeds";

/// Settings as written in the settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawSpeedSettings {
    /// Time after which a sample counts half.
    pub half_life_ms: u64,
    /// Slowdown in percent of the expected duration from which an upstream counts as slow.
    pub slow_from_percent: u64,
}

impl Default for RawSpeedSettings {
    fn default() -> Self {
        Self {
            half_life_ms: 2_000,
            slow_from_percent: 160,
        }
    }
}

/// Validated settings of learned speeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedSettings {
    /// Time after which a sample counts half.
    pub half_life_ms: Millis,
    /// Slowdown in percent of the expected duration from which an upstream counts as slow.
    pub slow_from_percent: u64,
}

impl TryFrom<RawSpeedSettings> for SpeedSettings {
    type Error = RangeError;

    fn try_from(raw: RawSpeedSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        Ok(Self {
            half_life_ms: check.span("half_life_ms", raw.half_life_ms, 100, 60_000)?,
            slow_from_percent: check.number(
                "slow_from_percent",
                raw.slow_from_percent,
                110,
                1_000,
            )?,
        })
    }
}
