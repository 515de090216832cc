//! Settings of routing.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// How an entry daemon chooses the owner to ask.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Lowest predicted wait among sampled owners.
    #[default]
    Cost,
    /// Fewest outstanding grants of this daemon.
    LeastOutstanding,
    /// Round robin.
    RoundRobin,
}

/// Routing settings as read from the settings file, not validated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawRoutingSettings {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Number of owners compared for one request.
    pub sampled_count: u32,
    /// Maximum number of owners asked for one request.
    pub asked_count: u32,
    /// Cost added for an owner of another failure domain.
    pub cross_domain_ms: u64,
    /// Predicted wait of an owner that has not sent a summary.
    pub no_summary_ms: u64,
    /// Retry delay returned to the caller if no owner specified one.
    pub retry_after_ms: u64,
}

impl Default for RawRoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Cost,
            sampled_count: 4,
            asked_count: 4,
            cross_domain_ms: 50,
            no_summary_ms: 200,
            retry_after_ms: 1_000,
        }
    }
}

/// Validated routing settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "RawRoutingSettings")]
pub struct RoutingSettings {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Number of owners compared for one request.
    pub sampled_count: usize,
    /// Maximum number of owners asked for one request.
    pub asked_count: usize,
    /// Cost added for an owner of another failure domain.
    pub cross_domain_ms: Millis,
    /// Predicted wait of an owner that has not sent a summary.
    pub no_summary_ms: Millis,
    /// Retry delay returned to the caller if no owner specified one.
    pub retry_after_ms: Millis,
}

impl TryFrom<RawRoutingSettings> for RoutingSettings {
    type Error = RangeError;

    fn try_from(raw: RawRoutingSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("routing");
        let span = |key, value, min, max| check.span(key, value, min, max);
        let count =
            |key, value: u32, max| check.number(key, value, 1, max).map(|v: u32| v as usize);
        Ok(Self {
            policy: raw.policy,
            sampled_count: count("sampled_count", raw.sampled_count, 64)?,
            asked_count: count("asked_count", raw.asked_count, 64)?,
            cross_domain_ms: span("cross_domain_ms", raw.cross_domain_ms, 0, 60_000)?,
            no_summary_ms: span("no_summary_ms", raw.no_summary_ms, 0, 60_000)?,
            retry_after_ms: span("retry_after_ms", raw.retry_after_ms, 1, 600_000)?,
        })
    }
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self::try_from(RawRoutingSettings::default()).expect("the defaults are in range")
    }
}
