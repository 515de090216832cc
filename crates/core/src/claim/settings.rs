//! Settings of claims.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Claim settings as they are written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawClaimSettings {
    /// Time for the store to take a claim.
    pub claim_timeout_ms: u64,
    /// Time between two reads of a key that is claimed elsewhere.
    pub poll_ms: u64,
    /// Longest wait of a duplicate for the first call's result.
    pub duplicate_wait_ms: u64,
    /// Time until the issuer of a ticket must have answered.
    pub ticket_timeout_ms: u64,
    /// Life of a ticket.
    pub ticket_life_ms: u64,
    /// Most tickets kept at a time.
    pub max_tickets_count: u32,
    /// Largest result that is kept.
    pub max_result_bytes: u32,
    /// Most writes a second of this daemon.
    pub max_writes_per_s: u32,
    /// Length of one epoch of the store's claims.
    pub epoch_ms: u64,
    /// Epochs for which claims and results are kept.
    pub kept_epochs_count: u32,
}

impl Default for RawClaimSettings {
    fn default() -> Self {
        Self {
            claim_timeout_ms: 2_000,
            poll_ms: 250,
            duplicate_wait_ms: 20_000,
            ticket_timeout_ms: 500,
            ticket_life_ms: 600_000,
            max_tickets_count: 10_000,
            max_result_bytes: 64 * 1024,
            max_writes_per_s: 20,
            epoch_ms: 600_000,
            kept_epochs_count: 144,
        }
    }
}

/// Checked claim settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time for the store to take a claim.
    pub claim_timeout: Millis,
    /// Time between two reads of a key that is claimed elsewhere.
    pub poll: Millis,
    /// Longest wait of a duplicate for the first call's result.
    pub duplicate_wait: Millis,
    /// Time until the issuer of a ticket must have answered.
    pub ticket_timeout: Millis,
    /// Life of a ticket.
    pub ticket_life: Millis,
    /// Most tickets kept at a time.
    pub max_tickets_count: u32,
    /// Largest result that is kept.
    pub max_result_bytes: u32,
    /// Most writes a second of this daemon.
    pub max_writes_per_s: u32,
    /// Length of one epoch of the store's claims.
    pub epoch: Millis,
    /// Epochs for which claims and results are kept.
    pub kept_epochs_count: u32,
}

impl TryFrom<RawClaimSettings> for ClaimSettings {
    type Error = RangeError;

    fn try_from(raw: RawClaimSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("entry.claims");
        let max_bytes = 1 << 20;
        Ok(Self {
            claim_timeout: check.span("claim_timeout_ms", raw.claim_timeout_ms, 10, 60_000)?,
            poll: check.span("poll_ms", raw.poll_ms, 10, 60_000)?,
            duplicate_wait: check.span(
                "duplicate_wait_ms",
                raw.duplicate_wait_ms,
                10,
                3_600_000,
            )?,
            ticket_timeout: check.span("ticket_timeout_ms", raw.ticket_timeout_ms, 10, 60_000)?,
            ticket_life: check.span("ticket_life_ms", raw.ticket_life_ms, 1_000, 86_400_000)?,
            max_tickets_count: check.number(
                "max_tickets_count",
                raw.max_tickets_count,
                1,
                1_000_000,
            )?,
            max_result_bytes: check.number(
                "max_result_bytes",
                raw.max_result_bytes,
                1,
                max_bytes,
            )?,
            max_writes_per_s: check.number("max_writes_per_s", raw.max_writes_per_s, 1, 1_000)?,
            epoch: check.span("epoch_ms", raw.epoch_ms, 1_000, 86_400_000)?,
            kept_epochs_count: check.number(
                "kept_epochs_count",
                raw.kept_epochs_count,
                4,
                100_000,
            )?,
        })
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self::try_from(RawClaimSettings::default()).expect("the defaults are in range")
    }
}
