//! Settings of an entry daemon.

use crate::{
    claim::{ClaimSettings, RawClaimSettings},
    units::{Millis, RangeCheck, RangeError},
};
use serde::{Deserialize, Serialize};

/// Entry settings as deserialised, before their ranges are checked.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Upper bound on the time-out that a caller may set.
    pub max_timeout_ms: u64,
    /// Margin before the caller's deadline at which an unfinished request is refused, so that the
    /// refusal arrives in time.
    pub answer_margin_ms: u64,
    /// Time-out of a grant request to an owner.
    pub grant_answer_ms: u64,
    /// Interval at which a queued grant request is sent again to the owner.
    pub queue_refresh_ms: u64,
    /// Upper bound on the backoff before owners are asked again.
    pub max_pause_ms: u64,
    /// Longest wait for an owner while none of the suitable upstreams has one, as during a change
    /// of ownership.
    pub takeover_wait_ms: u64,
    /// Maximum number of owners asked for one attempt.
    pub max_owners_count: u32,
    /// Constant part of the time-out for the first token; it is added to `first_token_factor_count`
    /// times the predicted time.
    pub first_token_slack_ms: u64,
    /// Factor by which the predicted time to first token is multiplied in the time-out for the
    /// first token.
    pub first_token_factor_count: u32,
    /// Time-out between two tokens of a stream.
    pub token_gap_ms: u64,
    /// Time-out of an idempotent call of a plain service, after which the call is retried at
    /// another upstream.
    pub service_answer_ms: u64,
    /// Maximum number of attempts of one request at upstreams.
    pub max_attempts: u32,
    /// Retries added to the retry budget for each hundred successful requests.
    pub retry_budget_percent: u32,
    /// Capacity of the retry budget of each service or model, in retries.
    pub retry_reserve_count: u32,
    /// Time for which new requests are still accepted after the daemon was asked to stop, so that
    /// their senders can learn of the shutdown first.
    pub shutdown_accept_ms: u64,
    /// Time that open requests have to finish after the daemon was asked to stop.
    pub shutdown_grace_ms: u64,
    /// Maximum number of open requests.
    pub max_open_requests: u32,
    /// Settings for claims of idempotency keys.
    pub claims: RawClaimSettings,
}

impl Default for RawEntrySettings {
    fn default() -> Self {
        Self {
            max_timeout_ms: 900_000,
            answer_margin_ms: 50,
            grant_answer_ms: 300,
            queue_refresh_ms: 1_000,
            max_pause_ms: 1_000,
            takeover_wait_ms: 3_000,
            max_owners_count: 6,
            first_token_slack_ms: 2_000,
            first_token_factor_count: 3,
            token_gap_ms: 2_000,
            service_answer_ms: 10_000,
            max_attempts: 4,
            retry_budget_percent: 20,
            retry_reserve_count: 10,
            shutdown_accept_ms: 2_000,
            shutdown_grace_ms: 30_000,
            max_open_requests: 20_000,
            claims: RawClaimSettings::default(),
        }
    }
}

/// Entry settings whose values are within their ranges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Upper bound on the time-out that a caller may set.
    pub max_timeout: Millis,
    /// Margin before the caller's deadline at which an unfinished request is refused, so that the
    /// refusal arrives in time.
    pub answer_margin: Millis,
    /// Time-out of a grant request to an owner.
    pub grant_answer: Millis,
    /// Interval at which a queued grant request is sent again to the owner.
    pub queue_refresh: Millis,
    /// Upper bound on the backoff before owners are asked again.
    pub max_pause: Millis,
    /// Longest wait for an owner while none of the suitable upstreams has one, as during a change
    /// of ownership.
    pub takeover_wait: Millis,
    /// Maximum number of owners asked for one attempt.
    pub max_owners_count: u32,
    /// Constant part of the time-out for the first token; it is added to `first_token_factor_count`
    /// times the predicted time.
    pub first_token_slack: Millis,
    /// Factor by which the predicted time to first token is multiplied in the time-out for the
    /// first token.
    pub first_token_factor_count: u32,
    /// Time-out between two tokens of a stream.
    pub token_gap: Millis,
    /// Time-out of an idempotent call of a plain service, after which the call is retried at
    /// another upstream.
    pub service_answer: Millis,
    /// Maximum number of attempts of one request at upstreams.
    pub max_attempts: u32,
    /// Retries added to the retry budget for each hundred successful requests.
    pub retry_budget_percent: u32,
    /// Capacity of the retry budget of each service or model, in retries.
    pub retry_reserve_count: u32,
    /// Time for which new requests are still accepted after the daemon was asked to stop.
    pub shutdown_accept: Millis,
    /// Time that open requests have to finish after the daemon was asked to stop.
    pub shutdown_grace: Millis,
    /// Maximum number of open requests.
    pub max_open_requests: u32,
    /// Settings for claims of idempotency keys.
    pub claims: ClaimSettings,
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = RangeError;

    fn try_from(raw: RawEntrySettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("entry");
        let budget = raw.retry_budget_percent;
        let slack = raw.first_token_slack_ms;
        let factor = raw.first_token_factor_count;
        let reserve = raw.retry_reserve_count;
        Ok(Self {
            max_timeout: check.span("max_timeout_ms", raw.max_timeout_ms, 100, 86_400_000)?,
            answer_margin: check.span("answer_margin_ms", raw.answer_margin_ms, 0, 5_000)?,
            grant_answer: check.span("grant_answer_ms", raw.grant_answer_ms, 5, 10_000)?,
            queue_refresh: check.span("queue_refresh_ms", raw.queue_refresh_ms, 10, 60_000)?,
            max_pause: check.span("max_pause_ms", raw.max_pause_ms, 10, 60_000)?,
            takeover_wait: check.span("takeover_wait_ms", raw.takeover_wait_ms, 0, 60_000)?,
            max_owners_count: check.number("max_owners_count", raw.max_owners_count, 1, 100)?,
            first_token_slack: check.span("first_token_slack_ms", slack, 10, 600_000)?,
            first_token_factor_count: check.number("first_token_factor_count", factor, 1, 100)?,
            token_gap: check.span("token_gap_ms", raw.token_gap_ms, 10, 600_000)?,
            service_answer: check.span(
                "service_answer_ms",
                raw.service_answer_ms,
                10,
                3_600_000,
            )?,
            max_attempts: check.number("max_attempts", raw.max_attempts, 1, 20)?,
            retry_budget_percent: check.number("retry_budget_percent", budget, 0, 100)?,
            retry_reserve_count: check.number("retry_reserve_count", reserve, 0, 1_000)?,
            shutdown_accept: check.span("shutdown_accept_ms", raw.shutdown_accept_ms, 0, 60_000)?,
            shutdown_grace: check.span("shutdown_grace_ms", raw.shutdown_grace_ms, 0, 3_600_000)?,
            max_open_requests: check.number(
                "max_open_requests",
                raw.max_open_requests,
                1,
                1_000_000,
            )?,
            claims: raw.claims.try_into()?,
        })
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self::try_from(RawEntrySettings::default()).expect("the defaults are in range")
    }
}
