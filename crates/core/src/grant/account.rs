//! The account of one owned upstream.

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

/// How a grant's account stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GrantState {
    /// The entry daemon holds it.
    Running,
    /// A cancel was ordered and is not answered yet.
    Cancelling(CallToken),
}

/// One grant's share of an upstream.
#[derive(Clone, Debug)]
pub(super) struct ActiveGrant {
    /// The entry daemon.
    pub(super) entry: Member,
    /// The version it runs on.
    pub(super) model: Option<ModelVersion>,
    /// The level at which it runs.
    pub(super) level: PriorityLevel,
    /// KV memory reserved.
    pub(super) kv_bytes: KvBytes,
    /// Time that its prefill takes.
    pub(super) prefill_ms: Millis,
    /// Most tokens of its answer.
    pub(super) max_output_tokens: Tokens,
    /// The answer given, to repeat it.
    pub(super) offer: GrantOffer,
    /// When its first token probably comes.
    pub(super) expected_first: Time,
    /// When it probably ends.
    pub(super) expected_end: Time,
    /// How it stands.
    pub(super) state: GrantState,
}

/// The account of one owned upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamAccount {
    /// Its configuration.
    pub(super) config: UpstreamConfig,
    /// Most calls at a time.
    pub(super) limit_requests: u32,
    /// The owner's fencing number.
    pub(super) fencing: FencingNumber,
    /// Until then only a share of the limit is granted.
    pub(super) learning_until: Time,
    /// Since when it is drained.
    pub(super) drained_since: Option<Time>,
    /// Prefill work granted and probably not done yet.
    pub(super) backlog: PrefillBacklog,
    /// Memory kept free for a waiting long prompt.
    pub(super) kv_reservation: Option<(AttemptId, KvBytes)>,
    /// Keeps work away while it fails.
    pub(super) breaker: CircuitBreaker,
    /// The start-up limit.
    pub(super) slow_start: SlowStart,
    /// What was learnt of its rates.
    pub(super) rates: RateEstimates,
    /// Prompt prefixes that it has probably cached.
    pub(super) cache: PrefixCache,
    /// What it runs and no grant accounts for.
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

    /// The upstream's process is a new one: nothing of the old one holds.
    pub(super) fn on_restart(&mut self, now: Time) {
        self.backlog.clear(now);
        self.slow_start.restart();
        self.rates.reset();
        self.cache.clear();
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

    /// An offer of this upstream that predicts nothing.
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

    /// Takes over a grant that an earlier owner gave.
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
            self.backlog.remove(now, active.level, active.prefill_ms);
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

    /// Calls that may be in flight now.
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

    /// Calls in flight; while grants are collected, the upstream's own figure counts as well.
    pub(super) fn slots_in_use(&self, now: Time) -> u32 {
        let reported = self.report.as_ref().map_or(0, |r| r.in_flight_requests);
        match now < self.learning_until {
            true => self.in_flight().max(reported),
            false => self.in_flight(),
        }
    }

    /// Free KV memory; while grants are collected or orphans are cancelled, the upstream's own
    /// figure counts as well.
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

    /// Free KV memory for an attempt: none of what is kept for another one.
    pub(super) fn kv_free_for(&self, now: Time, attempt: &AttemptId) -> KvBytes {
        let reserved = self.kv_reservation.filter(|(id, _)| id != attempt);
        let reserved_bytes = reserved.map_or(KvBytes::ZERO, |(_, bytes)| bytes);
        self.kv_free(now).saturating_sub(reserved_bytes)
    }

    /// Whether a cancel of this request is still on its way to the upstream.
    pub(super) fn is_cancelling(&self, request: RequestId) -> bool {
        let of = |(id, h): (&AttemptId, &ActiveGrant)| {
            id.request == request && h.state != GrantState::Running
        };
        self.orphans.is_cancelling(request) || self.active_grants.iter().any(of)
    }

    /// The attempts of a request that run here.
    pub(super) fn running_of(&self, request: RequestId) -> Vec<AttemptId> {
        let of = |(id, h): &(&AttemptId, &ActiveGrant)| {
            id.request == request && h.state == GrantState::Running
        };
        let found = self.active_grants.iter().filter(of);
        found.map(|(id, _)| *id).collect()
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|r| r.incarnation)
    }

    /// Time that a prefill takes.
    pub(super) fn prefill_estimate(&self, tokens: Tokens) -> Millis {
        let span = self.span(|engine| engine.prefill_tokens_per_s, tokens);
        Millis::new((span.get() as f64 * self.rates.prefill_time_ratio) as u64)
    }

    /// Time that decoding takes.
    pub(super) fn decode_estimate(&self, tokens: Tokens) -> Millis {
        match self.rates.decode_token_ms {
            Some(token_ms) => Millis::new((tokens.get() as f64 * token_ms) as u64),
            None => self.span(|engine| engine.decode_tokens_per_s, tokens),
        }
    }

    fn span(&self, rate: impl Fn(&EngineConfig) -> TokensPerSecond, tokens: Tokens) -> Millis {
        match &self.config.kind {
            UpstreamKind::Engine(engine) => rate(engine).span(tokens),
            UpstreamKind::Service(_) => Millis::ZERO,
        }
    }
}
