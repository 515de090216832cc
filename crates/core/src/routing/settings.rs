//! Settings of routing.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// How an entry daemon chooses the owner to ask.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Least predicted wait among sampled owners.
    #[default]
    Cost,
    /// Fewest own outstanding grants.
    LeastOutstanding,
    /// Each in turn.
    RoundRobin,
}

/// Routing settings as written in the settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawRoutingSettings {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Owners that are compared for one request.
    pub sampled_count: u32,
    /// Most owners that are asked for one request.
    pub asked_count: u32,
    /// Cost of leaving the own failure domain.
    pub cross_domain_ms: u64,
    /// Cost of an owner whose summary is not known.
    pub no_summary_ms: u64,
    /// When to come back after a refusal for which no owner named a time.
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

/// Checked routing settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "RawRoutingSettings")]
pub struct RoutingSettings {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Owners that are compared for one request.
    pub sampled_count: usize,
    /// Most owners that are asked for one request.
    pub asked_count: usize,
    /// Cost of leaving the own failure domain.
    pub cross_domain_ms: Millis,
    /// Cost of an owner whose summary is not known.
    pub no_summary_ms: Millis,
    /// When to come back after a refusal for which no owner named a time.
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
