//! Settings of the grant owner.

use crate::{
    routing::RoutingPolicy,
    units::{Millis, RangeCheck, RangeError},
};
use serde::{Deserialize, Serialize};

/// Which engines of a failure domain take long prompts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LongPromptPlacement {
    /// A set of engines whose size follows the demand.
    #[default]
    Bounded,
    /// Any engine.
    Anywhere,
}

/// Grant settings as written in the settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawGrantSettings {
    /// Policy that selects among the owned upstreams.
    pub policy: RoutingPolicy,
    /// Which engines take long prompts.
    pub long_placement: LongPromptPlacement,
    /// Time between two load polls of an upstream, in milliseconds.
    pub poll_ms: u64,
    /// Time between two polls of an engine's cache events, in milliseconds.
    pub cache_poll_ms: u64,
    /// Time after which an unanswered cancel is sent again, in milliseconds.
    pub cancel_retry_ms: u64,
    /// Time after its deadline at which an attempt's grant expires, in milliseconds.
    pub lapse_slack_ms: u64,
    /// Time for which finished attempts are remembered, in milliseconds.
    pub finished_ms: u64,
    /// Grace period of the calls in flight at a drained upstream, in milliseconds.
    pub drain_grace_ms: u64,
    /// Time for which outstanding grants are collected after a pause, in milliseconds.
    pub learning_ms: u64,
    /// Percentage of the limit that is granted while outstanding grants are collected.
    pub learning_percent: u32,
    /// Maximum number of queued requests.
    pub queue_requests: u32,
    /// Initial limit of calls in flight during an upstream's slow start.
    pub ramp_start_requests: u32,
    /// Prefill backlog at an engine above which a request is queued at the owner, in milliseconds.
    pub prefill_ahead_ms: u64,
    /// Time between two recomputations of the engines for long prompts, in milliseconds.
    pub long_set_ms: u64,
}

impl Default for RawGrantSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Cost,
            long_placement: LongPromptPlacement::Bounded,
            poll_ms: 500,
            cache_poll_ms: 1_000,
            cancel_retry_ms: 500,
            lapse_slack_ms: 2_000,
            finished_ms: 60_000,
            drain_grace_ms: 20_000,
            learning_ms: 3_000,
            learning_percent: 25,
            queue_requests: 4_096,
            ramp_start_requests: 2,
            prefill_ahead_ms: 100,
            long_set_ms: 200,
        }
    }
}

/// Checked grant settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "RawGrantSettings")]
pub struct GrantSettings {
    /// Policy that selects among the owned upstreams.
    pub policy: RoutingPolicy,
    /// Which engines take long prompts.
    pub long_placement: LongPromptPlacement,
    /// Time between two load polls of an upstream, in milliseconds.
    pub poll_ms: Millis,
    /// Time between two polls of an engine's cache events, in milliseconds.
    pub cache_poll_ms: Millis,
    /// Time after which an unanswered cancel is sent again, in milliseconds.
    pub cancel_retry_ms: Millis,
    /// Time after its deadline at which an attempt's grant expires, in milliseconds.
    pub lapse_slack_ms: Millis,
    /// Time for which finished attempts are remembered, in milliseconds.
    pub finished_ms: Millis,
    /// Grace period of the calls in flight at a drained upstream, in milliseconds.
    pub drain_grace_ms: Millis,
    /// Time for which outstanding grants are collected after a pause, in milliseconds.
    pub learning_ms: Millis,
    /// Percentage of the limit that is granted while outstanding grants are collected.
    pub learning_percent: u32,
    /// Maximum number of queued requests.
    pub queue_requests: u32,
    /// Initial limit of calls in flight during an upstream's slow start.
    pub ramp_start_requests: u32,
    /// Prefill backlog at an engine above which a request is queued at the owner, in milliseconds.
    pub prefill_ahead_ms: Millis,
    /// Time between two recomputations of the engines for long prompts, in milliseconds.
    pub long_set_ms: Millis,
}

impl TryFrom<RawGrantSettings> for GrantSettings {
    type Error = RangeError;

    fn try_from(raw: RawGrantSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("grant");
        let span = |key, value, min, max| check.span(key, value, min, max);
        let count = |key, value: u32, max| check.number(key, value, 1, max);
        Ok(Self {
            policy: raw.policy,
            long_placement: raw.long_placement,
            poll_ms: span("poll_ms", raw.poll_ms, 50, 60_000)?,
            cache_poll_ms: span("cache_poll_ms", raw.cache_poll_ms, 50, 60_000)?,
            cancel_retry_ms: span("cancel_retry_ms", raw.cancel_retry_ms, 50, 60_000)?,
            lapse_slack_ms: span("lapse_slack_ms", raw.lapse_slack_ms, 100, 600_000)?,
            finished_ms: span("finished_ms", raw.finished_ms, 1_000, 3_600_000)?,
            drain_grace_ms: span("drain_grace_ms", raw.drain_grace_ms, 0, 3_600_000)?,
            learning_ms: span("learning_ms", raw.learning_ms, 100, 60_000)?,
            learning_percent: count("learning_percent", raw.learning_percent, 100)?,
            queue_requests: count("queue_requests", raw.queue_requests, 1_000_000)?,
            ramp_start_requests: count("ramp_start_requests", raw.ramp_start_requests, 100_000)?,
            prefill_ahead_ms: span("prefill_ahead_ms", raw.prefill_ahead_ms, 0, 60_000)?,
            long_set_ms: span("long_set_ms", raw.long_set_ms, 50, 60_000)?,
        })
    }
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self::try_from(RawGrantSettings::default()).expect("the defaults are in range")
    }
}
