//! Settings for claims of idempotency keys.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Claim settings as deserialised, before their ranges are checked.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawClaimSettings {
    /// Time-out for claiming a key in the store.
    pub claim_timeout_ms: u64,
    /// Interval between two reads of a key that another request has claimed.
    pub poll_ms: u64,
    /// Longest time that a duplicate call waits for the result of the first one.
    pub duplicate_wait_ms: u64,
    /// Time-out of a request to the issuer of a ticket.
    pub ticket_timeout_ms: u64,
    /// Time after which a ticket expires.
    pub ticket_life_ms: u64,
    /// Maximum number of unexpired tickets of this daemon.
    pub max_tickets_count: u32,
    /// Maximum size of the body of a stored result.
    pub max_result_bytes: u32,
    /// Maximum rate of this daemon's writes for claims and results.
    pub max_writes_per_s: u32,
    /// Length of one epoch. The expiry of claims is counted in epochs.
    pub epoch_ms: u64,
    /// Number of epochs for which claims and results are retained.
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

/// Claim settings whose values are within their ranges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time-out for claiming a key in the store.
    pub claim_timeout: Millis,
    /// Interval between two reads of a key that another request has claimed.
    pub poll: Millis,
    /// Longest time that a duplicate call waits for the result of the first one.
    pub duplicate_wait: Millis,
    /// Time-out of a request to the issuer of a ticket.
    pub ticket_timeout: Millis,
    /// Time after which a ticket expires.
    pub ticket_life: Millis,
    /// Maximum number of unexpired tickets of this daemon.
    pub max_tickets_count: u32,
    /// Maximum size of the body of a stored result.
    pub max_result_bytes: u32,
    /// Maximum rate of this daemon's writes for claims and results.
    pub max_writes_per_s: u32,
    /// Length of one epoch. The expiry of claims is counted in epochs.
    pub epoch: Millis,
    /// Number of epochs for which claims and results are retained.
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
