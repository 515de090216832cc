//! Settings of the dispatcher.

use crate::{
    engine::gaps::{GapSettings, RawGapSettings},
    memory_budget::{MemorySettings, RawMemorySettings},
    prefix::{PrefixSettings, RawPrefixSettings},
    returns::{RawReturnsSettings, ReturnsSettings},
    sharing::{RawSharingSettings, SharingSettings},
    speed::{RawSpeedSettings, SpeedSettings},
    units::{Millis, RangeCheck, RangeError},
    watch::WatchSettings,
};
use serde::Deserialize;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch";

/// Upper limit of all durations.
const SPAN_MAX_MS: u64 = 600_000;

/// Part of `revoke_ms` kept as a margin for a watch that gets no changes while the store drops its
/// history (one second), and for requests in progress.
const KEY_LEASE_MARGIN_MS: Millis = Millis::new(1_200);

/// Shortest `revoke_ms` that the daemon can meet.
const REVOKE_MIN_MS: u64 = 2_500;

/// Part of `memory_free_ms` kept as a margin, because the engine times reservations by its own clock.
const RESERVATION_MARGIN_MS: Millis = Millis::new(500);

/// Shortest `memory_free_ms` that the daemon can meet.
const MEMORY_FREE_MIN_MS: u64 = 1_500;

/// Shortest `memory_idle_max_ms` that the daemon can meet.
const MEMORY_IDLE_MIN_MS: u64 = 3_000;

/// Settings as written in the settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawDispatchSettings {
    /// Longest time from a key's revocation until no daemon accepts it.
    pub revoke_ms: u64,
    /// Longest time from a request's end until engines have freed its memory.
    pub memory_free_ms: u64,
    /// Longest time for which engines may have memory reserved that no request uses.
    pub memory_idle_max_ms: u64,
    /// Retries per call, over all daemons, in each budget window.
    pub retry_ratio: f64,
    /// Retries beyond that ratio, of all daemons together, in each budget window.
    pub retry_allowance_requests: f64,
    /// Length of the budget window.
    pub retry_window_s: f64,
    /// Time from the request to stop until the process exits.
    pub grace_s: f64,
    /// How long the store may hold a long poll for operators' writes.
    pub operators_wait_ms: u64,
    /// Time between two reads of the list of upstreams.
    pub upstreams_pause_ms: u64,
    /// Timeout of a call to the store.
    pub store_timeout_ms: u64,
    /// Learned speeds of upstreams; none to expect each at the speed of its profile.
    pub speeds: Option<RawSpeedSettings>,
    /// Shares of workspaces; none to not use them.
    pub sharing: Option<RawSharingSettings>,
    /// Promised retry times; none if callers are refused without.
    pub returns: Option<RawReturnsSettings>,
    /// Memory budget; none if bytes are not counted.
    pub memory: Option<RawMemorySettings>,
    /// Prompt prefixes that upstreams still cache; without it, choices disregard them.
    pub prefix: Option<RawPrefixSettings>,
    /// Prediction of gaps; off if absent.
    pub gaps: Option<RawGapSettings>,
}

impl Default for RawDispatchSettings {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            memory_free_ms: 4_000,
            memory_idle_max_ms: 9_000,
            retry_ratio: 0.2,
            retry_allowance_requests: 100.0,
            retry_window_s: 10.0,
            grace_s: 8.0,
            operators_wait_ms: 800,
            upstreams_pause_ms: 1_000,
            store_timeout_ms: 1_000,
            speeds: None,
            sharing: None,
            returns: None,
            memory: None,
            prefix: None,
            gaps: None,
        }
    }
}

/// Validated settings of the dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// Longest time since the last contact with the store for which keys are accepted.
    pub key_lease_ms: Millis,
    /// Time after which an engine drops a reservation that is not renewed.
    pub reservation_ttl_ms: Millis,
    /// Time after which an engine drops a reservation whose request has not begun.
    pub reservation_unused_max_ms: Millis,
    /// Retries per 100 calls, over all daemons, in each budget window.
    pub retry_percent: u32,
    /// Retries beyond that ratio, of all daemons together, in each budget window.
    pub retry_allowance_requests: u32,
    /// Length of the budget window.
    pub retry_window_ms: Millis,
    /// Time from the request to stop until the process exits.
    pub grace_ms: Millis,
    /// Learned speeds of upstreams.
    pub speeds: Option<SpeedSettings>,
    /// How the daemon watches operators' writes.
    pub operators: WatchSettings,
    /// How the daemon watches the list of upstreams.
    pub upstreams: WatchSettings,
    /// Shares of workspaces, if they are used.
    pub sharing: Option<SharingSettings>,
    /// Promised retry times; none if the component is off.
    pub returns: Option<ReturnsSettings>,
    /// Memory budget; none if bytes are not counted.
    pub memory: Option<MemorySettings>,
    /// Prompt prefixes that upstreams still cache, if choices regard them.
    pub prefix: Option<PrefixSettings>,
    /// Prediction of gaps; none if it is off.
    pub gaps: Option<GapSettings>,
}

impl TryFrom<RawDispatchSettings> for DispatchSettings {
    type Error = RangeError;

    fn try_from(raw: RawDispatchSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        let span = |key, ms| check.span(key, ms, 1, SPAN_MAX_MS);
        let timeout_ms = span("store_timeout_ms", raw.store_timeout_ms)?;
        let revoke_ms = check.span("revoke_ms", raw.revoke_ms, REVOKE_MIN_MS, SPAN_MAX_MS)?;
        let key_lease_ms = revoke_ms.saturating_sub(KEY_LEASE_MARGIN_MS);
        let memory_release_ms = check.span(
            "memory_free_ms",
            raw.memory_free_ms,
            MEMORY_FREE_MIN_MS,
            SPAN_MAX_MS,
        )?;
        let memory_idle_max_ms = check.span(
            "memory_idle_max_ms",
            raw.memory_idle_max_ms,
            MEMORY_IDLE_MIN_MS,
            SPAN_MAX_MS,
        )?;
        // If a change comes at the end of a long poll, the daemon's knowledge is up to two polls old.
        let poll_max_ms = key_lease_ms.get() / 3;
        Ok(Self {
            key_lease_ms,
            reservation_ttl_ms: memory_release_ms.saturating_sub(RESERVATION_MARGIN_MS),
            reservation_unused_max_ms: memory_idle_max_ms.saturating_sub(RESERVATION_MARGIN_MS),
            retry_percent: check.number("retry_ratio", (raw.retry_ratio * 100.0) as u32, 0, 100)?,
            retry_allowance_requests: raw.retry_allowance_requests as u32,
            retry_window_ms: span("retry_window_s", (raw.retry_window_s * 1e3) as u64)?,
            speeds: raw.speeds.map(SpeedSettings::try_from).transpose()?,
            grace_ms: span("grace_s", (raw.grace_s * 1e3) as u64)?,
            operators: WatchSettings {
                wait_ms: check.span("operators_wait_ms", raw.operators_wait_ms, 1, poll_max_ms)?,
                pause_ms: Millis::ZERO,
                timeout_ms,
            },
            upstreams: WatchSettings {
                wait_ms: Millis::ZERO,
                pause_ms: span("upstreams_pause_ms", raw.upstreams_pause_ms)?,
                timeout_ms,
            },
            sharing: raw.sharing.map(SharingSettings::try_from).transpose()?,
            returns: raw.returns.map(ReturnsSettings::try_from).transpose()?,
            memory: raw.memory.map(MemorySettings::try_from).transpose()?,
            prefix: raw.prefix.map(PrefixSettings::try_from).transpose()?,
            gaps: raw.gaps.map(GapSettings::try_from).transpose()?,
        })
    }
}
