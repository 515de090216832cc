//! Checks the limits of the callers' interface.

use super::{checked::refuse, raw::RawLimits, SettingError};
use crate::http::HttpLimits;
use persimmon_core::units::{Millis, Tokens};
use std::ops::RangeInclusive;

/// Milliseconds of an hour and of a day.
const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Allowed sizes.
const BODY_BYTES: RangeInclusive<u64> = 1024..=1 << 30;
const HEAD_BYTES: RangeInclusive<u64> = 256..=1 << 20;
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
const OUTPUT_TOKENS: RangeInclusive<u64> = 1..=1_000_000;

impl TryFrom<RawLimits> for HttpLimits {
    type Error = SettingError;

    fn try_from(raw: RawLimits) -> Result<Self, SettingError> {
        let usual = Self::default();
        let (io, body) = (100..=HOUR_MS, 100..=HOUR_MS);
        let max = span(
            "max_timeout_ms",
            raw.max_timeout_ms,
            usual.max_timeout_ms,
            1..=DAY_MS,
        )?;
        let timeout = usual.default_timeout_ms.min(max);
        let (timeouts, tokens) = (1..=max.get(), usual.default_output_tokens.get());
        Ok(Self {
            body_max_bytes: size(
                "body_max_bytes",
                raw.body_max_bytes,
                usual.body_max_bytes,
                BODY_BYTES,
            )?,
            head_max_bytes: size(
                "head_max_bytes",
                raw.head_max_bytes,
                usual.head_max_bytes,
                HEAD_BYTES,
            )?,
            open_max_requests: size(
                "open_max_requests",
                raw.open_max_requests,
                usual.open_max_requests,
                REQUESTS,
            )?,
            io_time_ms: span("io_time_ms", raw.io_time_ms, usual.io_time_ms, io)?,
            body_time_ms: span("body_time_ms", raw.body_time_ms, usual.body_time_ms, body)?,
            default_timeout_ms: span(
                "default_timeout_ms",
                raw.default_timeout_ms,
                timeout,
                timeouts,
            )?,
            max_timeout_ms: max,
            default_output_tokens: number(
                "default_output_tokens",
                raw.default_output_tokens,
                tokens,
                OUTPUT_TOKENS,
            )
            .map(Tokens::new)?,
        })
    }
}

fn size(
    key: &str,
    value: Option<u64>,
    usual: usize,
    allowed: RangeInclusive<u64>,
) -> Result<usize, SettingError> {
    number(key, value, usual as u64, allowed).map(|value| value as usize)
}

fn span(
    key: &str,
    value: Option<u64>,
    usual: Millis,
    allowed: RangeInclusive<u64>,
) -> Result<Millis, SettingError> {
    number(key, value, usual.get(), allowed).map(Millis::new)
}

fn number(
    key: &str,
    value: Option<u64>,
    usual: u64,
    allowed: RangeInclusive<u64>,
) -> Result<u64, SettingError> {
    let value = value.unwrap_or(usual);
    if allowed.contains(&value) {
        return Ok(value);
    }
    let remedy = format!("give {} to {}", allowed.start(), allowed.end());
    Err(refuse(&format!("limits.{key}"), value, remedy))
}
