//! Validates the limits of the callers' HTTP interface.

use super::{checked::invalid, raw::RawLimits, SettingError};
use crate::http::HttpLimits;
use persimmon_core::units::{Millis, Tokens};
use std::ops::RangeInclusive;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Allowed ranges of the limits.
const BODY_BYTES: RangeInclusive<u64> = 1024..=1 << 30;
const BODIES_MAX_BYTES: u64 = 1 << 36;
const HEAD_BYTES: RangeInclusive<u64> = 256..=1 << 20;
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
const OUTPUT_TOKENS: RangeInclusive<u64> = 1..=1_000_000;

impl TryFrom<RawLimits> for HttpLimits {
    type Error = SettingError;

    fn try_from(raw: RawLimits) -> Result<Self, SettingError> {
        let defaults = Self::default();
        let (io_range, body_range) = (100..=HOUR_MS, 100..=HOUR_MS);
        let max_timeout = duration(
            "max_timeout_ms",
            raw.max_timeout_ms,
            defaults.max_timeout_ms,
            1..=DAY_MS,
        )?;
        let default_timeout = defaults.default_timeout_ms.min(max_timeout);
        let (timeout_range, default_tokens) =
            (1..=max_timeout.get(), defaults.default_output_tokens.get());
        let body_max_bytes = size(
            "body_max_bytes",
            raw.body_max_bytes,
            defaults.body_max_bytes,
            BODY_BYTES,
        )?;
        Ok(Self {
            body_max_bytes,
            bodies_max_bytes: size(
                "bodies_max_bytes",
                raw.bodies_max_bytes,
                defaults.bodies_max_bytes.max(body_max_bytes),
                body_max_bytes as u64..=BODIES_MAX_BYTES,
            )?,
            head_max_bytes: size(
                "head_max_bytes",
                raw.head_max_bytes,
                defaults.head_max_bytes,
                HEAD_BYTES,
            )?,
            open_max_requests: size(
                "open_max_requests",
                raw.open_max_requests,
                defaults.open_max_requests,
                REQUESTS,
            )?,
            io_time_ms: duration("io_time_ms", raw.io_time_ms, defaults.io_time_ms, io_range)?,
            body_time_ms: duration(
                "body_time_ms",
                raw.body_time_ms,
                defaults.body_time_ms,
                body_range,
            )?,
            default_timeout_ms: duration(
                "default_timeout_ms",
                raw.default_timeout_ms,
                default_timeout,
                timeout_range,
            )?,
            max_timeout_ms: max_timeout,
            default_output_tokens: number(
                "default_output_tokens",
                raw.default_output_tokens,
                default_tokens,
                OUTPUT_TOKENS,
            )
            .map(Tokens::new)?,
        })
    }
}

fn size(
    key: &str,
    value: Option<u64>,
    default: usize,
    allowed: RangeInclusive<u64>,
) -> Result<usize, SettingError> {
    number(key, value, default as u64, allowed).map(|value| value as usize)
}

fn duration(
    key: &str,
    value: Option<u64>,
    default: Millis,
    allowed: RangeInclusive<u64>,
) -> Result<Millis, SettingError> {
    number(key, value, default.get(), allowed).map(Millis::new)
}

fn number(
    key: &str,
    value: Option<u64>,
    default: u64,
    allowed: RangeInclusive<u64>,
) -> Result<u64, SettingError> {
    let value = value.unwrap_or(default);
    if allowed.contains(&value) {
        return Ok(value);
    }
    let remedy = format!("give {} to {}", allowed.start(), allowed.end());
    Err(invalid(&format!("limits.{key}"), value, remedy))
}
