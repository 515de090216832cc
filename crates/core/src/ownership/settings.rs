//! Settings of ownership.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Settings of ownership as deserialised, before the range checks.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawOwnershipSettings {
    lease_ms: Millis,
    join_window_ms: Millis,
    store_wait_ms: Millis,
    adopted_learning_ms: Millis,
    fencing_block_len: u64,
}

/// Settings of ownership, with all values in range.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(into = "RawOwnershipSettings", try_from = "RawOwnershipSettings")]
pub struct OwnershipSettings(RawOwnershipSettings);

impl Default for RawOwnershipSettings {
    fn default() -> Self {
        Self {
            lease_ms: Millis::new(2_000),
            join_window_ms: Millis::new(1_000),
            store_wait_ms: Millis::new(1_000),
            adopted_learning_ms: Millis::from_secs(60),
            fencing_block_len: 16,
        }
    }
}

impl From<OwnershipSettings> for RawOwnershipSettings {
    fn from(settings: OwnershipSettings) -> Self {
        settings.0
    }
}

impl TryFrom<RawOwnershipSettings> for OwnershipSettings {
    type Error = RangeError;

    fn try_from(raw: RawOwnershipSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("ownership");
        check.number("lease_ms", raw.lease_ms.get(), 200, 60_000)?;
        check.number("join_window_ms", raw.join_window_ms.get(), 1, 60_000)?;
        check.number("store_wait_ms", raw.store_wait_ms.get(), 50, 60_000)?;
        let adopted_ms = raw.adopted_learning_ms.get();
        check.number(
            "adopted_learning_ms",
            adopted_ms,
            raw.lease_ms.get(),
            3_600_000,
        )?;
        check.number("fencing_block_len", raw.fencing_block_len, 1, 65_536)?;
        Ok(Self(raw))
    }
}

impl OwnershipSettings {
    /// Lifetime of a grant's lease without a heartbeat.
    pub fn lease(&self) -> Millis {
        self.0.lease_ms
    }

    /// Time that a daemon listens for members after its start before it owns upstreams.
    pub fn join_window(&self) -> Millis {
        self.0.join_window_ms
    }

    /// Time that a takeover waits for the store before it proceeds without an answer.
    pub fn store_timeout(&self) -> Millis {
        self.0.store_wait_ms
    }

    /// Learning period of upstreams adopted from a failure domain without daemons.
    pub fn adopted_learning_period(&self) -> Millis {
        self.0.adopted_learning_ms
    }

    /// Number of epochs reserved per write.
    pub fn fencing_block_len(&self) -> u64 {
        self.0.fencing_block_len
    }
}
