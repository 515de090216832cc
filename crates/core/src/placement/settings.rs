//! Settings of placement.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Placement settings as read from the settings file, not validated.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawPlacementSettings {
    order_timeout_ms: Millis,
    backoff_ms: Millis,
    backoff_max_ms: Millis,
    report_age_ms: Millis,
    loads_at_once_count: u32,
}

/// Validated placement settings.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(into = "RawPlacementSettings", try_from = "RawPlacementSettings")]
pub struct PlacementSettings(RawPlacementSettings);

impl Default for RawPlacementSettings {
    fn default() -> Self {
        Self {
            order_timeout_ms: Millis::from_secs(30),
            backoff_ms: Millis::new(500),
            backoff_max_ms: Millis::from_secs(30),
            report_age_ms: Millis::from_secs(5),
            loads_at_once_count: 2,
        }
    }
}

impl From<PlacementSettings> for RawPlacementSettings {
    fn from(settings: PlacementSettings) -> Self {
        settings.0
    }
}

impl TryFrom<RawPlacementSettings> for PlacementSettings {
    type Error = RangeError;

    fn try_from(raw: RawPlacementSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("placement");
        check.number("order_timeout_ms", raw.order_timeout_ms.get(), 100, 600_000)?;
        let backoff_ms = raw.backoff_ms.get();
        check.number("backoff_ms", backoff_ms, 10, 60_000)?;
        check.number(
            "backoff_max_ms",
            raw.backoff_max_ms.get(),
            backoff_ms,
            600_000,
        )?;
        check.number("report_age_ms", raw.report_age_ms.get(), 100, 600_000)?;
        let loads = u64::from(raw.loads_at_once_count);
        check.number("loads_at_once_count", loads, 1, 1_000)?;
        Ok(Self(raw))
    }
}

impl PlacementSettings {
    /// Time after which an order without an answer has failed.
    pub fn order_timeout(&self) -> Millis {
        self.0.order_timeout_ms
    }

    /// Initial backoff after a failure. Doubles with each further failure.
    pub fn backoff(&self) -> Millis {
        self.0.backoff_ms
    }

    /// Upper bound of the backoff.
    pub fn backoff_max(&self) -> Millis {
        self.0.backoff_max_ms
    }

    /// Age at which a load report is too old to act on.
    pub fn report_age(&self) -> Millis {
        self.0.report_age_ms
    }

    /// Maximum number of an owner's engines that load weights at the same time.
    pub fn loads_at_once(&self) -> usize {
        self.0.loads_at_once_count as usize
    }
}
