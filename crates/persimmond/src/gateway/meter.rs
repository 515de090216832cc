//! Metrics of the gateway.

use persimmon_core::{
    dispatch::{DispatchRecord, Dispatcher, RefusalReason, SendOutcome},
    units::{Millis, Time},
    watch::{StoreError, Topic},
};
use persimmon_io::telemetry::{Metric, Telemetry};
use std::{sync::Arc, time::Duration};

/// Label value of `class` for requests without a matching route.
const NO_CLASS: &str = "none";

/// Records metrics of the dispatcher's decisions.
pub(super) struct Meter {
    telemetry: Arc<Telemetry>,
}

impl Meter {
    pub(super) const fn new(telemetry: Arc<Telemetry>) -> Self {
        Self { telemetry }
    }

    /// Records one decision.
    pub(super) fn on_record(&self, record: &DispatchRecord) {
        match record {
            DispatchRecord::Sent { class, .. } => {
                self.increment(Metric::ATTEMPTS, &[("class", class)]);
            }
            DispatchRecord::SendFailed {
                end, next, retry, ..
            } => {
                self.increment(
                    Metric::SENDS_FAILED,
                    &[("end", end_name(end)), ("next", next)],
                );
                self.increment(Metric::RETRY_DECISIONS, &[("verdict", retry.name())]);
                self.count_refusal(end);
            }
            DispatchRecord::Refused {
                reason,
                class,
                may_have_run,
                ..
            } => {
                let outcome = if *may_have_run {
                    "refused_unknown"
                } else {
                    "refused_not_run"
                };
                let class = class.unwrap_or(NO_CLASS);
                self.increment(Metric::REQUESTS, &[("outcome", outcome), ("class", class)]);
                self.increment(Metric::REFUSALS, &[("code", reason.name())]);
            }
            DispatchRecord::MemoryRefused {
                unreported_count, ..
            } => {
                let refused_count = unreported_count + 1;
                let labels = [("outcome", "refused_not_run"), ("class", NO_CLASS)];
                let requests = self.telemetry.counter(Metric::REQUESTS, &labels);
                requests.increment(refused_count);
                let code = RefusalReason::MemoryFull.name();
                self.add(Metric::REFUSALS, refused_count, "code", code);
            }
            DispatchRecord::Answered {
                class,
                status,
                first_ms,
                predicted_ms,
                late,
                ..
            } => {
                if let Some(cause) = late {
                    let labels = [("class", *class), ("cause", cause.name())];
                    self.increment(Metric::LATE_RESPONSES, &labels);
                }
                let outcome = if status.is_some() {
                    "failure_passed_on"
                } else {
                    "complete"
                };
                self.increment(Metric::REQUESTS, &[("outcome", outcome), ("class", class)]);
                self.record_first_event(class, *first_ms, *predicted_ms);
            }
            DispatchRecord::CallerLeft { class, .. } => {
                self.increment(
                    Metric::REQUESTS,
                    &[("outcome", "caller_gone"), ("class", class)],
                );
            }
            other => self.on_change(other),
        }
    }

    /// Records a change in what the daemon knows of the store and the upstreams.
    fn on_change(&self, record: &DispatchRecord) {
        match record {
            DispatchRecord::StoreRestored { dependency, .. } => {
                self.increment(Metric::STORE_RESTORES, &[("topic", dependency)]);
            }
            DispatchRecord::FreshnessReportIgnored { .. } => {
                self.increment(Metric::FRESHNESS_IGNORED, &[]);
            }
            DispatchRecord::UpstreamLeaving { reported_by, .. } => {
                self.count_notice("leaving", reported_by.is_some());
            }
            DispatchRecord::UpstreamBackoff { reported_by, .. } => {
                self.count_notice("backoff", reported_by.is_some());
            }
            DispatchRecord::UpstreamRateLimit { reported_by, .. } => {
                self.count_notice("rate_limit", reported_by.is_some());
            }
            DispatchRecord::UpstreamSpeed { .. } => self.count_notice("speed", false),
            DispatchRecord::UpstreamCrashed { .. } => {
                self.increment(Metric::UPSTREAM_CRASHES, &[]);
            }
            DispatchRecord::OverShare { next, .. } => {
                self.increment(Metric::OVER_SHARE, &[("next", next)]);
            }
            DispatchRecord::UpstreamBytesLimit { reported_by, .. } => {
                let told = if reported_by.is_some() {
                    "peer"
                } else {
                    "self"
                };
                self.increment(Metric::UPSTREAM_BYTES_LIMITS, &[("told", told)]);
            }
            DispatchRecord::Relayed { .. } => {
                self.increment(Metric::RELAYED, &[("role", "sent")]);
            }
            DispatchRecord::RelayRequested { refusal, .. } => {
                let role = refusal.map_or("passed_on", |_| "refused");
                self.increment(Metric::RELAYED, &[("role", role)]);
            }
            DispatchRecord::FingerprintQuarantined { .. } => {
                self.increment(Metric::FINGERPRINTS, &[("verdict", "quarantined")]);
            }
            DispatchRecord::FingerprintCleared { .. } => {
                self.increment(Metric::FINGERPRINTS, &[("verdict", "cleared")]);
            }
            DispatchRecord::ReturnPromised {
                keeps_slot,
                is_again,
                ..
            } => {
                let step = if *keeps_slot { "promised" } else { "hinted" };
                self.increment(Metric::RETURNS, &[("step", step)]);
                if *is_again {
                    self.increment(Metric::RETURNS, &[("step", "refused_again")]);
                }
            }
            DispatchRecord::Returned { early_ms, .. } => {
                let step = early_ms.map_or("on_time", |_| "early");
                self.increment(Metric::RETURNS, &[("step", step)]);
            }
            DispatchRecord::PrefixUsed { .. }
            | DispatchRecord::PrefixChecked { .. }
            | DispatchRecord::PrefixesDropped { .. } => self.count_prefixes(record),
            _ => {}
        }
    }

    fn count_prefixes(&self, record: &DispatchRecord) {
        match record {
            DispatchRecord::PrefixUsed {
                prefix_tokens,
                held_tokens,
                ..
            } => {
                let missing = prefix_tokens.saturating_sub(*held_tokens);
                self.add(Metric::PREFIX_TOKENS, held_tokens.get(), "belief", "held");
                self.add(Metric::PREFIX_TOKENS, missing.get(), "belief", "missing");
            }
            DispatchRecord::PrefixChecked {
                is_hit,
                dropped_tokens,
                ..
            } => {
                let result = if *is_hit { "hit" } else { "miss" };
                self.increment(Metric::PREFIX_CHECKS, &[("result", result)]);
                let dropped = dropped_tokens.get();
                self.add(Metric::PREFIX_DROPPED_TOKENS, dropped, "reason", "miss");
            }
            DispatchRecord::PrefixesDropped {
                reason,
                dropped_tokens,
                ..
            } => {
                let dropped = dropped_tokens.get();
                self.add(Metric::PREFIX_DROPPED_TOKENS, dropped, "reason", reason);
            }
            _ => {}
        }
    }

    fn count_notice(&self, notice: &str, is_reported: bool) {
        let told = if is_reported { "peer" } else { "self" };
        let labels = [("notice", notice), ("told", told)];
        self.increment(Metric::UPSTREAM_NOTICES, &labels);
    }

    /// Counts a call to the store by its result.
    pub(super) fn count_store_call<T>(&self, topic: Topic, answer: &Result<T, StoreError>) {
        let result = match answer {
            Ok(_) => "ok",
            Err(StoreError::Refused { .. } | StoreError::Conflict) => "refused",
            Err(StoreError::HistoryGone) => "history_gone",
            Err(StoreError::Lost { .. }) => "answer_lost",
            Err(StoreError::Malformed { .. }) => "malformed",
        };
        let labels = [("service", topic.name()), ("result", result)];
        self.increment(Metric::STORE_CALLS, &labels);
    }

    /// Updates the gauges.
    pub(super) fn update_gauges(&self, now: Time, dispatcher: &Dispatcher) {
        let set = |metric, value: usize| self.telemetry.gauge(metric, &[]).set(value as f64);
        set(Metric::OPEN_REQUESTS, dispatcher.open_len());
        set(Metric::WAITING_REQUESTS, dispatcher.waiting_len());
        set(Metric::MEMBERS, dispatcher.members_len());
        set(Metric::SHARING_DAEMONS, dispatcher.sharing_daemons_len());
        set(Metric::LOST_DOMAINS, dispatcher.lost_domains_len());
        set(Metric::RELAYED_CONNECTIONS, dispatcher.relayed_len());
        set(Metric::SHARE_HOLDERS, dispatcher.share_holders_len());
        set(Metric::KEPT_SLOTS, dispatcher.kept_slots_total_len(now));
        self.telemetry.run_upkeep();
    }

    fn record_first_event(
        &self,
        class: &str,
        first_ms: Option<Millis>,
        predicted_ms: Option<Millis>,
    ) {
        let Some(first_ms) = first_ms else { return };
        let labels = [("class", class)];
        let first = self.telemetry.histogram(Metric::FIRST_TOKEN, &labels);
        first.record(first_ms.duration());
        if let Some(predicted_ms) = predicted_ms {
            let error = self.telemetry.histogram(Metric::FIRST_EVENT_ERROR, &labels);
            error.record(abs_difference(first_ms, predicted_ms));
        }
    }

    /// Counts a response that says that the request was not run.
    fn count_refusal(&self, end: &SendOutcome) {
        let SendOutcome::Failed {
            not_run: true,
            origin,
            ..
        } = end
        else {
            return;
        };
        let labels = [
            ("connection", origin.connection.name()),
            ("stated", origin.stated.name()),
        ];
        self.increment(Metric::UPSTREAM_REFUSALS, &labels);
    }

    fn increment(&self, metric: Metric, labels: &[(&'static str, &str)]) {
        self.telemetry.counter(metric, labels).increment(1);
    }

    fn add(&self, metric: Metric, count: u64, label: &'static str, value: &str) {
        let labels = [(label, value)];
        self.telemetry.counter(metric, &labels).increment(count);
    }
}

const fn end_name(end: &SendOutcome) -> &'static str {
    match end {
        SendOutcome::Delivered => "delivered",
        SendOutcome::Busy => "busy",
        SendOutcome::Failed { not_run: true, .. } => "not_run",
        SendOutcome::Failed { .. } => "failed",
        SendOutcome::Unproven { .. } => "unproven",
        SendOutcome::NotSent { .. } => "not_sent",
        SendOutcome::Lost { stalled: true, .. } => "stalled",
        SendOutcome::Lost { .. } => "lost",
    }
}

fn abs_difference(a: Millis, b: Millis) -> Duration {
    a.duration().abs_diff(b.duration())
}
