//! Settings of an entry daemon.

use crate::{
    claim::{ClaimSettings, RawClaimSettings},
    units::{Millis, RangeCheck, RangeError},
};
use serde::{Deserialize, Serialize};

/// Entry settings as they are written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Longest time that a caller may give.
    pub max_timeout_ms: u64,
    /// Time before the deadline at which a request that still waits is refused.
    pub answer_margin_ms: u64,
    /// Time until an owner must have answered.
    pub grant_answer_ms: u64,
    /// Time between two questions after a place in an owner's queue.
    pub queue_refresh_ms: u64,
    /// Longest pause before the owners are asked again.
    pub max_pause_ms: u64,
    /// Longest wait for an owner while the upstreams that fit have none, as in a hand-over.
    pub takeover_wait_ms: u64,
    /// Most owners asked for one attempt.
    pub max_owners_count: u32,
    /// Time to the first token on top of the predicted one.
    pub first_token_slack_ms: u64,
    /// Multiple of the predicted time to first token that is waited for.
    pub first_token_factor_count: u32,
    /// Longest gap between two tokens.
    pub token_gap_ms: u64,
    /// Time until an idempotent call of a plain service is tried elsewhere.
    pub service_answer_ms: u64,
    /// Most attempts of one request at upstreams.
    pub max_attempts: u32,
    /// Retries allowed for each hundred successes.
    pub retry_budget_percent: u32,
    /// Retries saved up at most, for each service or model.
    pub retry_reserve_count: u32,
    /// Time for which requests are still taken after the daemon was asked to stop, until those who
    /// send them know.
    pub shutdown_accept_ms: u64,
    /// Time that open requests get after the daemon was asked to stop.
    pub shutdown_grace_ms: u64,
    /// Most requests open at a time.
    pub max_open_requests: u32,
    /// Claims of idempotency keys.
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

/// Checked entry settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Longest time that a caller may give.
    pub max_timeout: Millis,
    /// Time before the deadline at which a request that still waits is refused.
    pub answer_margin: Millis,
    /// Time until an owner must have answered.
    pub grant_answer: Millis,
    /// Time between two questions after a place in an owner's queue.
    pub queue_refresh: Millis,
    /// Longest pause before the owners are asked again.
    pub max_pause: Millis,
    /// Longest wait for an owner while the upstreams that fit have none, as in a hand-over.
    pub takeover_wait: Millis,
    /// Most owners asked for one attempt.
    pub max_owners_count: u32,
    /// Time to the first token on top of the predicted one.
    pub first_token_slack: Millis,
    /// Multiple of the predicted time to first token that is waited for.
    pub first_token_factor_count: u32,
    /// Longest gap between two tokens.
    pub token_gap: Millis,
    /// Time until an idempotent call of a plain service is tried elsewhere.
    pub service_answer: Millis,
    /// Most attempts of one request at upstreams.
    pub max_attempts: u32,
    /// Retries allowed for each hundred successes.
    pub retry_budget_percent: u32,
    /// Retries saved up at most, for each service or model.
    pub retry_reserve_count: u32,
    /// Time for which requests are still taken after the daemon was asked to stop.
    pub shutdown_accept: Millis,
    /// Time that open requests get after the daemon was asked to stop.
    pub shutdown_grace: Millis,
    /// Most requests open at a time.
    pub max_open_requests: u32,
    /// Claims of idempotency keys.
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
