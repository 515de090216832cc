//! Settings of claims.

use super::ClaimSettingsError;
use crate::units::Millis;
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

fn within(key: &'static str, value: u64, low: u64, high: u64) -> Result<u64, ClaimSettingsError> {
    if (low..=high).contains(&value) {
        return Ok(value);
    }
    Err(ClaimSettingsError::Range {
        key,
        value,
        low,
        high,
    })
}

fn span(key: &'static str, value: u64, low: u64, high: u64) -> Result<Millis, ClaimSettingsError> {
    within(key, value, low, high).map(Millis::new)
}

fn count(key: &'static str, value: u32, low: u32, high: u32) -> Result<u32, ClaimSettingsError> {
    within(key, value.into(), low.into(), high.into()).map(|_| value)
}

impl TryFrom<RawClaimSettings> for ClaimSettings {
    type Error = ClaimSettingsError;

    fn try_from(raw: RawClaimSettings) -> Result<Self, ClaimSettingsError> {
        let max_bytes = 1 << 20;
        Ok(Self {
            claim_timeout: span("claim_timeout_ms", raw.claim_timeout_ms, 10, 60_000)?,
            poll: span("poll_ms", raw.poll_ms, 10, 60_000)?,
            duplicate_wait: span("duplicate_wait_ms", raw.duplicate_wait_ms, 10, 3_600_000)?,
            ticket_timeout: span("ticket_timeout_ms", raw.ticket_timeout_ms, 10, 60_000)?,
            ticket_life: span("ticket_life_ms", raw.ticket_life_ms, 1_000, 86_400_000)?,
            max_tickets_count: count("max_tickets_count", raw.max_tickets_count, 1, 1_000_000)?,
            max_result_bytes: count("max_result_bytes", raw.max_result_bytes, 1, max_bytes)?,
            max_writes_per_s: count("max_writes_per_s", raw.max_writes_per_s, 1, 1_000)?,
            epoch: span("epoch_ms", raw.epoch_ms, 1_000, 86_400_000)?,
            kept_epochs_count: count("kept_epochs_count", raw.kept_epochs_count, 4, 100_000)?,
        })
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        let raw = RawClaimSettings::default();
        Self {
            claim_timeout: Millis::new(raw.claim_timeout_ms),
            poll: Millis::new(raw.poll_ms),
            duplicate_wait: Millis::new(raw.duplicate_wait_ms),
            ticket_timeout: Millis::new(raw.ticket_timeout_ms),
            ticket_life: Millis::new(raw.ticket_life_ms),
            max_tickets_count: raw.max_tickets_count,
            max_result_bytes: raw.max_result_bytes,
            max_writes_per_s: raw.max_writes_per_s,
            epoch: Millis::new(raw.epoch_ms),
            kept_epochs_count: raw.kept_epochs_count,
        }
    }
}
