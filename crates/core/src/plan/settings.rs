//! Settings of plans.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Settings of plans as deserialised, before the range checks.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawPlanSettings {
    plan_lifetime_ms: Millis,
    plan_retention_ms: Millis,
    confirm_wait_ms: Millis,
    call_timeout_ms: Millis,
    retry_ms: Millis,
    store_attempts: u32,
}

/// Settings of plans, with all values in range.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(into = "RawPlanSettings", try_from = "RawPlanSettings")]
pub struct PlanSettings(RawPlanSettings);

impl Default for RawPlanSettings {
    fn default() -> Self {
        Self {
            plan_lifetime_ms: Millis::from_secs(600),
            plan_retention_ms: Millis::from_secs(86_400),
            confirm_wait_ms: Millis::new(3_000),
            call_timeout_ms: Millis::new(1_000),
            retry_ms: Millis::new(200),
            store_attempts: 6,
        }
    }
}

impl From<PlanSettings> for RawPlanSettings {
    fn from(settings: PlanSettings) -> Self {
        settings.0
    }
}

impl TryFrom<RawPlanSettings> for PlanSettings {
    type Error = RangeError;

    fn try_from(raw: RawPlanSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("plan");
        let lifetime_ms = raw.plan_lifetime_ms.get();
        check.number("plan_lifetime_ms", lifetime_ms, 1_000, 86_400_000)?;
        let retention_ms = raw.plan_retention_ms.get();
        check.number("plan_retention_ms", retention_ms, 60_000, 31_536_000_000)?;
        check.number("confirm_wait_ms", raw.confirm_wait_ms.get(), 100, 60_000)?;
        check.number("call_timeout_ms", raw.call_timeout_ms.get(), 50, 60_000)?;
        check.number("retry_ms", raw.retry_ms.get(), 10, 60_000)?;
        check.number("store_attempts", u64::from(raw.store_attempts), 1, 100)?;
        Ok(Self(raw))
    }
}

impl PlanSettings {
    /// Time for which a plan can be confirmed.
    pub fn lifetime(&self) -> Millis {
        self.0.plan_lifetime_ms
    }

    /// Time for which a plan's row is retained after the end of the plan's lifetime.
    pub fn retention(&self) -> Millis {
        self.0.plan_retention_ms
    }

    /// Maximum time that `confirm` waits for all members to apply the generation.
    pub fn confirm_timeout(&self) -> Millis {
        self.0.confirm_wait_ms
    }

    /// Timeout of a call to the store, after which the answer counts as lost.
    pub fn call_timeout(&self) -> Millis {
        self.0.call_timeout_ms
    }

    /// Mean delay before a call to the store is retried.
    pub fn retry_delay(&self) -> Millis {
        self.0.retry_ms
    }

    /// Maximum number of calls to the store for one command before it is refused.
    pub fn max_store_attempts(&self) -> u32 {
        self.0.store_attempts
    }
}
