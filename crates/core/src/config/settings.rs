//! Settings of the configuration store.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Settings of the configuration store as deserialised, before the range checks.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawConfigSettings {
    poll_ms: Millis,
    call_timeout_ms: Millis,
    backoff_max_ms: Millis,
    pollers_vms: u32,
    snapshot_every_count: u64,
    history_len: u32,
}

/// Settings of the configuration store, with all values in range.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(into = "RawConfigSettings", try_from = "RawConfigSettings")]
pub struct ConfigSettings(RawConfigSettings);

impl Default for RawConfigSettings {
    fn default() -> Self {
        Self {
            poll_ms: Millis::new(500),
            call_timeout_ms: Millis::new(2_000),
            backoff_max_ms: Millis::new(8_000),
            pollers_vms: 2,
            snapshot_every_count: 64,
            history_len: 256,
        }
    }
}

impl From<ConfigSettings> for RawConfigSettings {
    fn from(settings: ConfigSettings) -> Self {
        settings.0
    }
}

impl TryFrom<RawConfigSettings> for ConfigSettings {
    type Error = RangeError;

    fn try_from(raw: RawConfigSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("config");
        let poll_ms = raw.poll_ms.get();
        check.number("poll_ms", poll_ms, 50, 60_000)?;
        check.number("call_timeout_ms", raw.call_timeout_ms.get(), 100, 60_000)?;
        check.number("backoff_max_ms", raw.backoff_max_ms.get(), poll_ms, 600_000)?;
        check.number("pollers_vms", u64::from(raw.pollers_vms), 1, 16)?;
        check.number("snapshot_every_count", raw.snapshot_every_count, 1, 100_000)?;
        check.number("history_len", u64::from(raw.history_len), 1, 10_000)?;
        Ok(Self(raw))
    }
}

impl ConfigSettings {
    /// Interval at which a polling daemon reads the head.
    pub fn poll_interval(&self) -> Millis {
        self.0.poll_ms
    }

    /// Timeout of a call to the store.
    pub fn call_timeout(&self) -> Millis {
        self.0.call_timeout_ms
    }

    /// Maximum delay between two polls while the store is down.
    pub fn max_backoff(&self) -> Millis {
        self.0.backoff_max_ms
    }

    /// Number of daemons per failure domain that poll the head.
    pub fn pollers_per_domain(&self) -> usize {
        self.0.pollers_vms as usize
    }

    /// Number of generations between two snapshots.
    pub fn snapshot_interval(&self) -> u64 {
        self.0.snapshot_every_count
    }

    /// Number of change records to retain in memory.
    pub fn max_history_len(&self) -> usize {
        self.0.history_len as usize
    }
}
