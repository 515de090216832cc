//! Settings of promised retry times.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::Deserialize;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.returns";

/// Upper limit of all durations.
const SPAN_MAX_MS: u64 = 60_000;

/// Shortest `least_ms`. Peers learn of a promise within 200 ms; a caller who returns sooner would reach a
/// daemon that does not know it.
const LEAST_MIN_MS: u64 = 220;

/// Upper limit of `promises_max_len`: 16 MB of promises.
const PROMISES_MAX_LEN: u32 = 100_000;

/// Settings as written in the settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawReturnsSettings {
    /// Part of its remaining time up to which a caller honours `Retry-After`.
    pub honoured_ratio: f64,
    /// Largest part of the slots that become free that is promised to returning callers.
    pub promised_ratio: f64,
    /// Shortest promised time.
    pub least_ms: u64,
    /// Range over which promised times are spread.
    pub spread_ms: u64,
    /// How long before its time a returning caller counts as on time, and a slot is kept for it.
    pub lead_ms: u64,
    /// How long after its time a promise is valid, and a slot is kept.
    pub keep_ms: u64,
    /// Most promises that a daemon remembers.
    pub promises_max_len: u32,
}

impl Default for RawReturnsSettings {
    fn default() -> Self {
        Self {
            honoured_ratio: 0.33,
            promised_ratio: 0.5,
            least_ms: 250,
            spread_ms: 250,
            lead_ms: 100,
            keep_ms: 400,
            promises_max_len: 4_096,
        }
    }
}

/// Validated settings of promised retry times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnsSettings {
    /// Part of its remaining time up to which a caller honours `Retry-After`, in percent.
    pub honoured_percent: u32,
    /// Largest part of the slots that become free that is promised to returning callers, in percent.
    pub promised_percent: u32,
    /// Shortest promised time.
    pub least_ms: Millis,
    /// Range over which promised times are spread.
    pub spread_ms: Millis,
    /// How long before its time a returning caller counts as on time, and a slot is kept for it.
    pub lead_ms: Millis,
    /// How long after its time a promise is valid, and a slot is kept.
    pub keep_ms: Millis,
    /// Most promises that a daemon remembers.
    pub promises_max_len: usize,
}

impl ReturnsSettings {
    /// The longest retry time that a caller with this time left honours.
    pub fn honoured_ms(&self, left_ms: Millis) -> Millis {
        Millis::new(left_ms.get() * u64::from(self.honoured_percent) / 100)
    }

    /// The shortest retry time that a caller with this time left certainly does not honour.
    pub fn unhonoured_ms(&self, left_ms: Millis) -> Millis {
        Millis::new(left_ms.get() * u64::from(self.honoured_percent + 1) / 100 + 1)
    }
}

impl TryFrom<RawReturnsSettings> for ReturnsSettings {
    type Error = RangeError;

    fn try_from(raw: RawReturnsSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        let span = |key, ms, low| check.span(key, ms, low, SPAN_MAX_MS);
        // A negative number and one that is no number become 0, which is out of range.
        let percent = |key, ratio: f64, high| check.number(key, (ratio * 100.0) as u32, 1, high);
        let least_ms = span("least_ms", raw.least_ms, LEAST_MIN_MS)?;
        Ok(Self {
            honoured_percent: percent("honoured_ratio (in percent)", raw.honoured_ratio, 100)?,
            promised_percent: percent("promised_ratio (in percent)", raw.promised_ratio, 90)?,
            least_ms,
            spread_ms: span("spread_ms", raw.spread_ms, 0)?,
            // A lead of a whole promised time would let a caller return at once.
            lead_ms: check.span("lead_ms", raw.lead_ms, 0, least_ms.get() / 2)?,
            keep_ms: span("keep_ms", raw.keep_ms, 1)?,
            promises_max_len: check.number(
                "promises_max_len",
                raw.promises_max_len,
                1,
                PROMISES_MAX_LEN,
            )? as usize,
        })
    }
}
