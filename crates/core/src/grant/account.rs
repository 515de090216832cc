//! Resource accounting of one owned upstream: slots, KV memory, and estimates.

use super::{
    backlog::PrefillBacklog, breaker::CircuitBreaker, estimates::RateEstimates, orphans::Orphans,
    prefix_cache::PrefixCache, priority_level::PriorityLevel, queue::class_of,
    slow_start::SlowStart,
};
use crate::{
    config::{EngineConfig, UpstreamConfig, UpstreamKind},
    ids::{AttemptId, FencingNumber, Incarnation, ModelVersion, RequestId, UpstreamId},
    message::{GrantOffer, HeldGrant, Member},
    platform::CallToken,
    units::{KvBytes, Millis, Time, Tokens, TokensPerSecond},
    upstream::LoadReport,
};
use std::collections::BTreeMap;

/// State of an active grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GrantState {
    /// The entry daemon uses the grant.
    Running,
    /// The upstream was ordered to cancel the call and has not answered yet.
    Cancelling(CallToken),
}

/// A grant that occupies a slot and memory of an upstream.
#[derive(Clone, Debug)]
pub(super) struct ActiveGrant {
    /// The entry daemon that uses the grant.
    pub(super) entry: Member,
    /// The model version of the call; none for plain services.
    pub(super) model: Option<ModelVersion>,
    /// The priority level at which it runs.
    pub(super) level: PriorityLevel,
    /// KV memory reserved.
    pub(super) kv_bytes: KvBytes,
    /// Expected prefill time that was added to the backlog.
    pub(super) prefill_ms: Millis,
    /// Maximum number of output tokens.
    pub(super) max_output_tokens: Tokens,
    /// The offer that was sent, to answer a repeated request alike.
    pub(super) offer: GrantOffer,
    /// Expected time of its first token.
    pub(super) expected_first: Time,
    /// Expected time of its end.
    pub(super) expected_end: Time,
    /// Whether it runs or is being cancelled.
    pub(super) state: GrantState,
}

/// The account of one owned upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamAccount {
    /// Configuration of the upstream.
    pub(super) config: UpstreamConfig,
    /// Configured limit of calls in flight.
    pub(super) limit_requests: u32,
    /// Fencing number of this ownership.
    pub(super) fencing: FencingNumber,
    /// Until then only `learning_percent` of the limit is granted, because outstanding grants may
    /// still be unknown.
    pub(super) learning_until: Time,
    /// Start of the drain; none if the upstream serves.
    pub(super) drained_since: Option<Time>,
    /// Estimated unfinished prefill work.
    pub(super) backlog: PrefillBacklog,
    /// KV memory reserved for a long prompt that has waited for at least `KV_RESERVATION_WAIT_MS`.
    pub(super) kv_reservation: Option<(AttemptId, KvBytes)>,
    /// Stops new calls while the upstream fails.
    pub(super) breaker: CircuitBreaker,
    /// Limit of calls in flight during slow start.
    pub(super) slow_start: SlowStart,
    /// Estimated prefill and decode times.
    pub(super) rates: RateEstimates,
    /// Prompt prefixes that the engine is estimated to have cached.
    pub(super) cache: PrefixCache,
    /// Requests that the upstream runs without a grant.
    pub(super) orphans: Orphans,
    /// The last load report.
    pub(super) report: Option<LoadReport>,
    active_grants: BTreeMap<AttemptId, ActiveGrant>,
    kv_held_bytes: KvBytes,
}

impl UpstreamAccount {
    pub(super) fn new(
        config: UpstreamConfig,
        limit_requests: u32,
        fencing: FencingNumber,
        learning_until: Time,
        start_requests: u32,
    ) -> Self {
        Self {
            config,
            limit_requests,
            fencing,
            learning_until,
            drained_since: None,
            backlog: PrefillBacklog::default(),
            kv_reservation: None,
            breaker: CircuitBreaker::default(),
            slow_start: SlowStart::new(start_requests),
            rates: RateEstimates::default(),
            cache: PrefixCache::default(),
            orphans: Orphans::default(),
            report: None,
            active_grants: BTreeMap::new(),
            kv_held_bytes: KvBytes::ZERO,
        }
    }

    /// Discards all estimates of the previous process after the upstream has restarted.
    pub(super) fn on_restart(&mut self, now: Time) {
        self.backlog.clear(now);
        self.slow_start.restart();
        self.rates.reset();
        self.cache.invalidate();
    }

    pub(super) fn active_grants(&self) -> impl Iterator<Item = (&AttemptId, &ActiveGrant)> {
        self.active_grants.iter()
    }

    pub(super) fn active_grant(&self, attempt: &AttemptId) -> Option<&ActiveGrant> {
        self.active_grants.get(attempt)
    }

    pub(super) fn set_state(&mut self, attempt: &AttemptId, state: GrantState) {
        if let Some(active) = self.active_grants.get_mut(attempt) {
            active.state = state;
        }
    }

    pub(super) fn add_grant(&mut self, attempt: AttemptId, active: ActiveGrant) {
        self.kv_held_bytes += active.kv_bytes;
        if let Some(earlier) = self.active_grants.insert(attempt, active) {
            self.kv_held_bytes -= earlier.kv_bytes;
        }
    }

    /// An offer of this upstream without predictions.
    pub(super) fn offer(&self, upstream: UpstreamId, level: PriorityLevel) -> GrantOffer {
        GrantOffer {
            upstream,
            address: self.config.address,
            fencing: self.fencing,
            priority: level.priority(),
            predicted_ms: Millis::ZERO,
            runner_up: None,
            cached_tokens: Tokens::ZERO,
            resume: false,
        }
    }

    /// Adds a grant that a previous owner gave and the entry daemon reports.
    pub(super) fn restore_grant(&mut self, now: Time, entry: &Member, grant: HeldGrant) {
        let level = PriorityLevel::of(class_of(&grant.spec.target));
        let offer = self.offer(grant.upstream, level);
        let active = ActiveGrant {
            entry: entry.clone(),
            model: grant.model,
            level,
            kv_bytes: grant.kv_bytes,
            prefill_ms: Millis::ZERO,
            max_output_tokens: Tokens::ZERO,
            offer,
            expected_first: now,
            expected_end: now + grant.remaining_ms,
            state: GrantState::Running,
        };
        self.add_grant(grant.attempt, active);
    }

    pub(super) fn remove_grant(&mut self, now: Time, attempt: &AttemptId) -> Option<ActiveGrant> {
        let active = self.active_grants.remove(attempt)?;
        self.kv_held_bytes -= active.kv_bytes;
        if self.active_grants.is_empty() {
            self.backlog.clear(now);
        } else if now < active.expected_first {
            self.backlog
                .remove_work(now, active.level, active.prefill_ms);
        }
        Some(active)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.active_grants.len() as u32
    }

    pub(super) fn kv_held(&self) -> KvBytes {
        self.kv_held_bytes
    }

    pub(super) fn is_engine(&self) -> bool {
        matches!(self.config.kind, UpstreamKind::Engine(_))
    }

    pub(super) fn can_join_group(&self) -> bool {
        matches!(&self.config.kind, UpstreamKind::Engine(engine) if engine.can_group)
    }

    pub(super) fn kv_total(&self) -> KvBytes {
        match &self.config.kind {
            UpstreamKind::Engine(engine) => engine.kv_bytes,
            UpstreamKind::Service(_) => KvBytes::ZERO,
        }
    }

    /// Number of calls that may be in flight now: the lowest of the configured limit, the limit
    /// that the upstream reports, the circuit breaker's and the slow start's.
    pub(super) fn in_flight_limit(&self, now: Time, learning_percent: u32) -> u32 {
        let bearable = self.report.as_ref().and_then(|r| r.bearable_requests);
        let limit = self.limit_requests.min(bearable.unwrap_or(u32::MAX));
        let limit = self
            .breaker
            .limit_in_flight(now, limit.min(self.slow_start.limit()));
        if now < self.learning_until {
            return (limit * learning_percent / 100).max(1).min(limit);
        }
        limit
    }

    /// Calls in flight. While outstanding grants are collected, at least the number that the
    /// upstream reports.
    pub(super) fn slots_in_use(&self, now: Time) -> u32 {
        let reported = self.report.as_ref().map_or(0, |r| r.in_flight_requests);
        match now < self.learning_until {
            true => self.in_flight().max(reported),
            false => self.in_flight(),
        }
    }

    /// Free KV memory. While outstanding grants are collected or orphans are cancelled, at most
    /// what the upstream's own report leaves free.
    pub(super) fn kv_free(&self, now: Time) -> KvBytes {
        let reported = self
            .report
            .as_ref()
            .map_or(KvBytes::ZERO, |r| r.kv_held_bytes);
        let is_incomplete = now < self.learning_until || !self.orphans.is_empty();
        let held = match is_incomplete {
            true => self.kv_held_bytes.max(reported),
            false => self.kv_held_bytes,
        };
        self.kv_total().saturating_sub(held)
    }

    /// Free KV memory for an attempt, without what is reserved for another one.
    pub(super) fn kv_free_for(&self, now: Time, attempt: &AttemptId) -> KvBytes {
        let reserved = self.kv_reservation.filter(|(id, _)| id != attempt);
        let reserved_bytes = reserved.map_or(KvBytes::ZERO, |(_, bytes)| bytes);
        self.kv_free(now).saturating_sub(reserved_bytes)
    }

    /// Whether the upstream has yet to answer a cancel of this request.
    pub(super) fn is_cancelling(&self, request: RequestId) -> bool {
        let of = |(id, h): (&AttemptId, &ActiveGrant)| {
            id.request == request && h.state != GrantState::Running
        };
        self.orphans.is_cancelling(request) || self.active_grants.iter().any(of)
    }

    /// The running attempts of a request at this upstream.
    pub(super) fn running_of(&self, request: RequestId) -> Vec<AttemptId> {
        let of = |(id, h): &(&AttemptId, &ActiveGrant)| {
            id.request == request && h.state == GrantState::Running
        };
        let running = self.active_grants.iter().filter(of);
        running.map(|(id, _)| *id).collect()
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|r| r.incarnation)
    }

    /// Estimated time of a prefill.
    pub(super) fn prefill_estimate(&self, tokens: Tokens) -> Millis {
        let span = self.span(|engine| engine.prefill_tokens_per_s, tokens);
        Millis::new((span.get() as f64 * self.rates.prefill_time_ratio) as u64)
    }

    /// Estimated time of decoding.
    pub(super) fn decode_estimate(&self, tokens: Tokens) -> Millis {
        match self.rates.decode_token_ms {
            Some(token_ms) => Millis::new((tokens.get() as f64 * token_ms) as u64),
            None => self.span(|engine| engine.decode_tokens_per_s, tokens),
        }
    }

    fn span(&self, rate: impl Fn(&EngineConfig) -> TokensPerSecond, tokens: Tokens) -> Millis {
        match &self.config.kind {
            UpstreamKind::Engine(engine) => rate(engine).time_for(tokens),
            UpstreamKind::Service(_) => Millis::ZERO,
        }
    }
}
