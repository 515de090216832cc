//! Settings of the shares.

use super::ShareHolder;
use crate::{
    ids::WorkspaceId,
    units::{Millis, RangeCheck, RangeError},
};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.sharing";

/// Shortest decay time: reports of peers come every 200 ms.
const DECAY_MIN_MS: u64 = 400;

/// Longest decay time: a holder that was large this long ago no longer counts as large.
const DECAY_MAX_MS: u64 = 10_000;

/// Largest weight.
const WEIGHT_MAX: u32 = 1_000;

/// Maximum number of weights.
const WEIGHTS_MAX_LEN: usize = 128;

/// Settings as written in the settings file. Without the section, shares are not used.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawSharingSettings {
    /// Time in which work that was served decays to 37 %.
    pub decay_ms: u64,
    /// Weight of each workspace that has none of its own.
    pub default_weight: u32,
    /// Weight of all calls without a known workspace together.
    pub unknown_weight: u32,
    /// Weights of workspaces.
    pub weights: BTreeMap<WorkspaceId, u32>,
}

impl Default for RawSharingSettings {
    fn default() -> Self {
        Self {
            decay_ms: 1_000,
            default_weight: 10,
            unknown_weight: 1,
            weights: BTreeMap::new(),
        }
    }
}

/// Validated settings of the shares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharingSettings {
    /// Time in which work that was served decays to 37 %.
    pub decay_ms: Millis,
    default_weight: u32,
    unknown_weight: u32,
    weights: BTreeMap<WorkspaceId, u32>,
}

impl SharingSettings {
    /// Weight of a holder.
    pub fn weight(&self, holder: &ShareHolder) -> f64 {
        f64::from(match holder {
            ShareHolder::Workspace(workspace) => {
                *self.weights.get(workspace).unwrap_or(&self.default_weight)
            }
            ShareHolder::Unknown => self.unknown_weight,
        })
    }
}

impl TryFrom<RawSharingSettings> for SharingSettings {
    type Error = RangeError;

    fn try_from(raw: RawSharingSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        let default_weight = check.number("default_weight", raw.default_weight, 1, WEIGHT_MAX)?;
        let weights_len = raw.weights.len() as u64;
        check.number("weights (number)", weights_len, 0, WEIGHTS_MAX_LEN as u64)?;
        for weight in raw.weights.values() {
            check.number("weights", *weight, 1, WEIGHT_MAX)?;
        }
        Ok(Self {
            decay_ms: check.span("decay_ms", raw.decay_ms, DECAY_MIN_MS, DECAY_MAX_MS)?,
            default_weight,
            // Calls of nobody must not get more than those of a workspace.
            unknown_weight: check.number(
                "unknown_weight",
                raw.unknown_weight,
                1,
                default_weight,
            )?,
            weights: raw.weights,
        })
    }
}
