//! Settings of the prediction of gaps.

use crate::units::{RangeCheck, RangeError, Tokens};
use serde::Deserialize;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.gaps";

/// Settings as written in the section `gaps` of the settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawGapSettings {
    /// Percentage of a gap target up to which a predicted gap is allowed.
    pub limit_percent: u32,
    /// Cost of a late response of the kind with the shortest gap target that another prompt delays, in percent of
    /// that of other late responses.
    pub delayed_cost_percent: u32,
    /// Memory, in tokens, that a long prompt leaves free at an engine for short requests that other daemons place
    /// at the same time.
    pub room_tokens: u64,
}

impl Default for RawGapSettings {
    fn default() -> Self {
        Self {
            limit_percent: 90,
            delayed_cost_percent: 150,
            room_tokens: 30_000,
        }
    }
}

/// Validated settings of the prediction of gaps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GapSettings {
    /// Percentage of a gap target up to which a predicted gap is allowed.
    pub limit_percent: u32,
    /// Cost of a late response of the kind with the shortest gap target that another prompt delays, in percent of
    /// that of other late responses.
    pub delayed_cost_percent: u32,
    /// Memory that a long prompt leaves free at an engine for short requests that other daemons place at the same
    /// time.
    pub room_tokens: Tokens,
}

impl TryFrom<RawGapSettings> for GapSettings {
    type Error = RangeError;

    fn try_from(raw: RawGapSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        Ok(Self {
            limit_percent: check.number("limit_percent", raw.limit_percent, 10, 100)?,
            delayed_cost_percent: check.number(
                "delayed_cost_percent",
                raw.delayed_cost_percent,
                0,
                10_000,
            )?,
            room_tokens: Tokens::new(check.number(
                "room_tokens",
                raw.room_tokens,
                0,
                10_000_000,
            )?),
        })
    }
}
