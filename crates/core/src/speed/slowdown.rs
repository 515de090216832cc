//! How much slower an upstream is than expected.

use crate::{catalog::EngineProfile, units::UnitError};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Largest ratio that is believed. A hanging upstream gives no samples; ejection answers for it.
const RATIO_MAX: f64 = 20.0;

/// Expected duration of work divided into its observed duration: 1 is the expected speed, 4 is four times as slow.
/// Faster upstreams count as 1.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct SlowdownRatio(f64);

impl SlowdownRatio {
    /// The expected speed.
    pub const NONE: Self = Self(1.0);

    /// The ratio for the logarithm of a mean of samples.
    pub(super) fn from_log(log: f64) -> Self {
        Self(log.exp().clamp(1.0, RATIO_MAX))
    }

    /// The ratio as a number of 1 or more.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Whether the upstream counts as slower than expected.
    pub fn is_slow(self) -> bool {
        self > Self::NONE
    }

    /// The profile of an engine that is slower by this ratio.
    pub fn apply(self, profile: &EngineProfile) -> EngineProfile {
        EngineProfile {
            step_ms: profile.step_ms * self.0,
            per_sequence_ms: profile.per_sequence_ms * self.0,
            per_k_context_ms: profile.per_k_context_ms * self.0,
            prefill_tokens_per_ms: profile.prefill_tokens_per_ms / self.0,
            per_m_pairs_ms: profile.per_m_pairs_ms * self.0,
            ..profile.clone()
        }
    }
}

impl Default for SlowdownRatio {
    fn default() -> Self {
        Self::NONE
    }
}

impl From<SlowdownRatio> for f64 {
    fn from(ratio: SlowdownRatio) -> f64 {
        ratio.0
    }
}

impl TryFrom<f64> for SlowdownRatio {
    type Error = UnitError;

    fn try_from(value: f64) -> Result<Self, UnitError> {
        if (1.0..=RATIO_MAX).contains(&value) {
            Ok(Self(value))
        } else {
            Err(UnitError::Range {
                kind: "slowdown ratio",
                value,
                least: "from 1 to 20",
            })
        }
    }
}

impl fmt::Display for SlowdownRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for SlowdownRatio {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number: f64 = text.parse().map_err(|_| UnitError::Number {
            kind: "slowdown ratio",
            text: text.into(),
        })?;
        Self::try_from(number)
    }
}
